"""Apply settings that change while a host runs."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from loguru import logger
from returns.result import Success

if TYPE_CHECKING:
    from collections.abc import Callable

    from returns.result import Result

    from burdockmill.forwarding.settings import ForwardingSettings
    from burdockmill.settings_fields import SettingProblem

    ReadSettings = Callable[[], Result[ForwardingSettings, tuple[SettingProblem, ...]]]

# Polling interval; a change of the file is applied within this time without a signal.
POLL_SECONDS = 2.0


class SettingsWatcher:
    """Read settings periodically and on demand; apply them when they have changed."""

    def __init__(
        self,
        settings: ForwardingSettings,
        read: ReadSettings,
        apply: Callable[[ForwardingSettings], None],
    ) -> None:
        self._settings = settings
        self._read = read
        self._apply = apply
        self._problems: tuple[SettingProblem, ...] = ()

    async def run(self) -> None:
        """Check the settings periodically until cancelled."""
        while True:
            await asyncio.sleep(POLL_SECONDS)
            self.check()

    def check(self) -> None:
        """Read the settings and apply changes.

        Invalid settings are reported once, and the last valid ones stay active.
        """
        try:
            parsed = self._read()
        except (OSError, UnicodeDecodeError) as error:
            logger.warning(
                "settings: cannot be read ({}); the last valid settings stay active.",
                error,
            )
            return
        if not isinstance(parsed, Success):
            self._report_problems(parsed.failure())
            return
        self._problems = ()
        settings = parsed.unwrap()
        changed = [
            name
            for name, value in settings._asdict().items()
            if value != getattr(self._settings, name)
        ]
        if changed:
            self._settings = settings
            logger.info("settings: changed {}.", ", ".join(changed))
            self._apply(settings)

    def _report_problems(self, problems: tuple[SettingProblem, ...]) -> None:
        if problems == self._problems:
            return
        self._problems = problems
        for problem in problems:
            logger.error("settings: {}; the last valid settings stay active.", problem)
