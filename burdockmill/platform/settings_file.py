"""Parse the platform's settings file."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from burdockmill.forwarding.settings import (
    ForwardingSettings,
    check_forwarding_settings,
)

if TYPE_CHECKING:
    from returns.result import Result

    from burdockmill.settings_fields import SettingProblem

# The port for metrics and other operator requests, also set in deploy/system.toml.
OPERATOR_PORT = 9464
MILLISECONDS_PER_SECOND = 1_000


def parse_platform_settings(
    text: str,
) -> Result[ForwardingSettings, tuple[SettingProblem, ...]]:
    """Return a host's settings, or all problems; ignore unknown keys."""
    values = _parse_lines(text)
    document: dict[str, Any] = {}
    for key, name in TEXT_BY_KEY.items():
        if name in values:
            document[key] = values[name]
    for key, name in NUMBER_BY_KEY.items():
        if name in values:
            document[key] = _parse_number(values[name])
    numbers = [_parse_number(values.get(name)) for name in CHANGE_LIMITS]
    limits = [number for number in numbers if isinstance(number, int)]
    if len(limits) == len(CHANGE_LIMITS):
        document["change_limit_ms"] = min(limits)
    for key, name in SECONDS_BY_KEY.items():
        seconds = _parse_number(values.get(name))
        if isinstance(seconds, int | float):
            document[key] = int(seconds * MILLISECONDS_PER_SECOND)
    document["seeds"] = [seed for seed in values.get("seeds", "").split(",") if seed]
    document["region_by_domain"] = {
        name.removeprefix("zones."): region
        for name, region in values.items()
        if name.startswith("zones.")
    }
    if "ip" in values:
        document["operator_address"] = f"{values['ip']}:{OPERATOR_PORT}"
    return check_forwarding_settings(document)


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
NUMBER_BY_KEY = {
    "repeat_ratio": "bounds.retry-ratio",
    "repeat_allowance": "bounds.retry-extra",
}
SECONDS_BY_KEY = {
    "repeat_window_ms": "bounds.retry-window-s",
    "stop_grace_ms": "bounds.grace-s",
}
# Changes of the configuration and of registrations are read and disseminated in the
# same way, so the stricter limit applies to both.
CHANGE_LIMITS = ("bounds.config-apply-ms", "bounds.drain-ms")


def _parse_lines(text: str) -> dict[str, str]:
    pairs: dict[str, str] = {}
    for line in text.splitlines():
        name, equals, value = line.partition("=")
        if equals and not name.startswith("#"):
            pairs[name.strip()] = value.strip()
    return pairs


def _parse_number(text: str | None) -> int | float | str | None:
    """Return the text as a number, or unchanged for the check to report."""
    if text is None:
        return None
    for kind in (int, float):
        try:
            return kind(text)
        except ValueError:
            continue
    return text
