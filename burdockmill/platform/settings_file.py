"""Parse the platform's settings file; replace what is missing or malformed."""

from __future__ import annotations

import math
from typing import Any, NamedTuple

from burdockmill.forwarding.settings import FIELD_BY_KEY, ForwardingSettings
from burdockmill.rules.addresses import is_address
from burdockmill.settings_fields import SettingProblem, read_object
from burdockmill.settings_reading import SettingsReading

# The port for metrics and other operator requests, also set in deploy/system.toml.
OPERATOR_PORT = 9464
SEEDS_REMEDY = "give IP:PORT, ... with ports from 1 to 65535; it may be empty"
MISSING = "it is missing"
# Characters of a malformed value that a problem shows.
SHOWN_LENGTH = 80
MILLISECONDS_PER_SECOND = 1_000


class Figure(NamedTuple):
    """Name the entries whose least is a number of the settings, and its bounds.

    `unit` converts an entry to the setting's unit. Those of `optional_names` may be
    missing.
    """

    names: tuple[str, ...]
    lowest: float
    highest: float
    unit: float = 1.0
    is_whole: bool = True
    optional_names: tuple[str, ...] = ()

    @property
    def remedy(self) -> str:
        """Return what to write."""
        return f"give a whole number or a fraction as {' and '.join(self.names)}"


# A host is named by its address for peers, the only name that the seeds contain.
TEXT_BY_KEY = {
    "host": "listen.control",
    "domain": "zone",
    "region": "region",
    "ingress_address": "listen.front",
    "ready_address": "listen.ready",
    "peer_address": "listen.control",
    "store_address": "platform.address",
}
LONGEST_MS = 600_000
HIGHEST_RATIO = 1_000.0
HIGHEST_ALLOWANCE = 1e9
FIGURE_BY_KEY = {
    "repeat_ratio": Figure(("bounds.retry-ratio",), 0.0, HIGHEST_RATIO, is_whole=False),
    "repeat_allowance": Figure(
        ("bounds.retry-extra",), 0.0, HIGHEST_ALLOWANCE, is_whole=False
    ),
    "repeat_window_ms": Figure(
        ("bounds.retry-window-s",), 100, LONGEST_MS, MILLISECONDS_PER_SECOND
    ),
    # Changes of the configuration and of registrations are read and disseminated in
    # the same way, so the stricter limit applies to both.
    "change_limit_ms": Figure(
        ("bounds.config-apply-ms", "bounds.drain-ms"),
        100,
        LONGEST_MS,
        optional_names=("bounds.evacuate-ms",),
    ),
    "stop_grace_ms": Figure(
        ("bounds.grace-s",), 0, LONGEST_MS, MILLISECONDS_PER_SECOND
    ),
}
HIGHEST_MACHINE = 1e9
# These are not part of every deployment's settings.
OPTIONAL_FIGURE_BY_KEY = {
    "processor_share": Figure(
        ("limits.cpu-share",), 0.0, HIGHEST_MACHINE, is_whole=False
    ),
    # How many times as fast as one core the share of a core is.
    "processor_speed": Figure(("limits.cores",), 0.0, HIGHEST_MACHINE, is_whole=False),
    "memory_mb": Figure(("limits.memory-mb",), 0.0, HIGHEST_MACHINE, is_whole=False),
    "link_mbps": Figure(("limits.link-mbps",), 0.0, HIGHEST_MACHINE, is_whole=False),
    "descriptors_limit": Figure(("limits.max-fds",), 0.0, HIGHEST_MACHINE),
    "cold_ratio": Figure(("bounds.cold-excess",), 0.0, HIGHEST_RATIO, is_whole=False),
    "cold_allowance": Figure(
        ("bounds.cold-slack",), 0.0, HIGHEST_ALLOWANCE, is_whole=False
    ),
}
# What a starting host uses for a value that is missing or malformed: no attempt is
# repeated, changes are read often, and a stop ends early. Its own addresses and the
# store's have no default.
DEFAULT_BY_KEY: dict[str, Any] = {
    "domain": "unknown",
    "region": "unknown",
    "repeat_ratio": 0.0,
    "repeat_allowance": 0.0,
    "repeat_window_ms": 60_000,
    "change_limit_ms": 1_000,
    "stop_grace_ms": 3_000,
    "processor_share": 0.0,
    "processor_speed": 1.0,
    "memory_mb": 0.0,
    "link_mbps": 0.0,
    "descriptors_limit": 0,
    "cold_ratio": 1.0,
    "cold_allowance": 0.0,
}


def parse_platform_settings(
    text: str, last: ForwardingSettings | None = None
) -> SettingsReading:
    """Return a host's settings and all problems; ignore unknown keys.

    What is missing or malformed is replaced by its value in `last`, or by a default.
    """
    entries = _parse_lines(text)
    problems: list[SettingProblem] = []
    document: dict[str, Any] = {
        key: entries[name] for key, name in TEXT_BY_KEY.items() if name in entries
    }
    for key, figure in FIGURE_BY_KEY.items():
        number = _read_figure(key, figure, entries, problems, last)
        document[key] = int(number) if figure.is_whole else number
    document |= _read_optional(entries, problems)
    document["seeds"] = _read_seeds(entries.get("seeds"), problems, last)
    document["region_by_domain"] = {
        name.removeprefix("zones."): region
        for name, region in entries.items()
        if name.startswith("zones.")
    }
    document["operator_address"] = _operator_address(entries, problems)
    malformed: list[SettingProblem] = []
    values = read_object("", document, FIELD_BY_KEY, malformed)
    for problem in malformed:
        values[problem.key] = _replacement(problem.key, last)
    problems += malformed
    if any(values[problem.key] is None for problem in malformed):
        return SettingsReading(None, tuple(problems))
    return SettingsReading(ForwardingSettings(**values), tuple(problems))


def _replacement(key: str, last: ForwardingSettings | None) -> Any:  # noqa: ANN401
    """Return what a key has if its entry is missing or malformed, None if nothing."""
    return DEFAULT_BY_KEY.get(key) if last is None else getattr(last, key)


def _parse_lines(text: str) -> dict[str, str]:
    pairs: dict[str, str] = {}
    for line in text.splitlines():
        name, equals, value = line.partition("=")
        if equals and not name.startswith("#"):
            pairs[name.strip()] = value.strip()
    return pairs


def _read_figure(
    key: str,
    figure: Figure,
    entries: dict[str, str],
    problems: list[SettingProblem],
    last: ForwardingSettings | None,
) -> float:
    """Return the least of a figure's entries within its bounds, or a replacement."""
    names = (*figure.names, *figure.optional_names)
    texts = [entries[name] for name in names if name in entries]
    missing = [name for name in figure.names if name not in entries]
    numbers = [number for number in map(_parse_number, texts) if number is not None]
    usable = [
        number * figure.unit for number in numbers if number > 0.0 or not figure.lowest
    ]
    message = ""
    if missing:
        message = MISSING
    elif len(usable) < len(texts):
        message = f"no such number: {_shortened(', '.join(texts))}"
    elif min(usable) > figure.highest:
        message = f"above {figure.highest:.0f}: {_shortened(', '.join(texts))}"
    if message:
        problems.append(SettingProblem(key, message, figure.remedy))
        if last is not None or not usable:
            return float(_replacement(key, last))
    return min(max(min(usable), figure.lowest), figure.highest)


def _read_optional(
    entries: dict[str, str], problems: list[SettingProblem]
) -> dict[str, float]:
    """Return the optional figures, with a default for what is missing or malformed."""
    numbers: dict[str, float] = {}
    for key, figure in OPTIONAL_FIGURE_BY_KEY.items():
        numbers[key] = float(DEFAULT_BY_KEY[key])
        if figure.names[0] in entries:
            numbers[key] = _read_figure(key, figure, entries, problems, None)
    speed = numbers.pop("processor_speed")
    numbers["processor_cores"] = numbers.pop("processor_share") * speed
    numbers["descriptors_limit"] = int(numbers["descriptors_limit"])
    return numbers


def _parse_number(text: str) -> float | None:
    """Return a whole number or a fraction of at least 0, None if it is neither."""
    try:
        number = float(text)
    except ValueError:
        return None
    return number if math.isfinite(number) and number >= 0.0 else None


def _read_seeds(
    text: str | None,
    problems: list[SettingProblem],
    last: ForwardingSettings | None,
) -> list[str] | tuple[str, ...]:
    """Return the seeds that are addresses; report the others."""
    if text is None:
        problems.append(SettingProblem("seeds", MISSING, SEEDS_REMEDY))
        return () if last is None else last.seeds
    seeds = [seed.strip() for seed in text.split(",") if seed.strip()]
    malformed = [seed for seed in seeds if not is_address(seed)]
    if malformed:
        message = f"no addresses: {_shortened(', '.join(malformed))}"
        problems.append(SettingProblem("seeds", message, SEEDS_REMEDY))
    return [seed for seed in seeds if is_address(seed)]


def _operator_address(entries: dict[str, str], problems: list[SettingProblem]) -> str:
    """Return the operators' address at this host's IP, or else at that for peers."""
    address = f"{entries.get('ip', '')}:{OPERATOR_PORT}"
    if is_address(address):
        return address
    message = f"no IP: {_shortened(entries.get('ip', ''))}"
    problems.append(SettingProblem("operator_address", message, "give ip=IP"))
    own_ip = entries.get("listen.control", "").rpartition(":")[0]
    return f"{own_ip}:{OPERATOR_PORT}"


def _shortened(text: str) -> str:
    """Return a value as it is shown in a problem, on one line of bounded length."""
    return ascii(text[:SHOWN_LENGTH])
