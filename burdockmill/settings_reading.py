"""Store what was read from settings, with the problems that were found."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from burdockmill.forwarding.settings import ForwardingSettings
    from burdockmill.settings_fields import SettingProblem


class SettingsReading(NamedTuple):
    """Store settings in which each problem is replaced by a usable value.

    `settings` is None if a value is missing that nothing can replace.
    """

    settings: ForwardingSettings | None
    problems: tuple[SettingProblem, ...] = ()
