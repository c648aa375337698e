"""Read the platform's settings file."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from burdockmill.forwarding.settings import (
    ForwardingSettings,
    check_forwarding_settings,
)

if TYPE_CHECKING:
    from returns.result import Result

    from burdockmill.settings_fields import SettingProblem

# Where operators and the platform fetch metrics; deploy/system.toml names it too.
OPERATOR_PORT = 9464
MILLISECONDS_PER_SECOND = 1_000


def parse_platform_settings(
    text: str,
) -> Result[ForwardingSettings, tuple[SettingProblem, ...]]:
    """Return a host's settings, or every problem; unknown keys are ignored."""
    found = _pairs(text)
    document: dict[str, Any] = {}
    for key, name in TEXT_BY_KEY.items():
        if name in found:
            document[key] = found[name]
    for key, name in NUMBER_BY_KEY.items():
        if name in found:
            document[key] = _number(found[name])
    numbers = [_number(found.get(name)) for name in CHANGE_LIMITS]
    limits = [one for one in numbers if isinstance(one, int)]
    if len(limits) == len(CHANGE_LIMITS):
        document["change_limit_ms"] = min(limits)
    for key, name in SECONDS_BY_KEY.items():
        seconds = _number(found.get(name))
        if isinstance(seconds, int | float):
            document[key] = int(seconds * MILLISECONDS_PER_SECOND)
    document["seeds"] = [one for one in found.get("seeds", "").split(",") if one]
    document["region_by_domain"] = {
        name.removeprefix("zones."): region
        for name, region in found.items()
        if name.startswith("zones.")
    }
    if "ip" in found:
        document["operator_address"] = f"{found['ip']}:{OPERATOR_PORT}"
    return check_forwarding_settings(document)


# The address of the peers is a host's name among them: seeds name hosts by it alone.
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
# Changes of configuration and of registrations travel the same way, so the
# stricter bound holds for both.
CHANGE_LIMITS = ("bounds.config-apply-ms", "bounds.drain-ms")


def _pairs(text: str) -> dict[str, str]:
    pairs: dict[str, str] = {}
    for line in text.splitlines():
        name, equals, value = line.partition("=")
        if equals and not name.startswith("#"):
            pairs[name.strip()] = value.strip()
    return pairs


def _number(text: str | None) -> int | float | str | None:
    """Return a number where the text is one; the check names what is not."""
    if text is None:
        return None
    for kind in (int, float):
        try:
            return kind(text)
        except ValueError:
            continue
    return text
