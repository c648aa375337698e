"""Apply settings that change while a host runs."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockmill.forwarding.settings import ForwardingSettings
    from burdockmill.settings_fields import SettingProblem
    from burdockmill.settings_reading import SettingsReading

    ReadSettings = Callable[[ForwardingSettings | None], SettingsReading]

# Polling interval; a change of the file is applied within this time without a signal.
POLL_SECONDS = 2.0


class SettingsWatcher:
    """Read settings periodically and on demand; apply them when they have changed."""

    def __init__(
        self,
        settings: ForwardingSettings,
        read: ReadSettings,
        apply: Callable[[ForwardingSettings], None],
        problems: tuple[SettingProblem, ...] = (),
    ) -> None:
        """Watch settings that were read with some problems, each one reported."""
        self._settings = settings
        self._read = read
        self._apply = apply
        self._problems = problems
        self._read_error = ""

    @property
    def problem_count(self) -> int:
        """Return how many settings have a replacement for what the file states."""
        return len(self._problems)

    async def run(self) -> None:
        """Check the settings periodically until cancelled."""
        while True:
            await asyncio.sleep(POLL_SECONDS)
            self.check()

    def check(self) -> None:
        """Read the settings and apply changes.

        Invalid settings are reported once, and their last valid values stay active.
        """
        try:
            reading = self._read(self._settings)
        except OSError as error:
            self._report_read_error(str(error))
            return
        self._read_error = ""
        self._report_problems(reading.problems)
        settings = reading.settings
        if settings is None:
            return
        changed = [
            name
            for name, value in settings._asdict().items()
            if value != getattr(self._settings, name)
        ]
        if changed:
            self._settings = settings
            logger.info("settings: changed {}.", ", ".join(changed))
            self._apply(settings)

    def _report_read_error(self, error: str) -> None:
        if error == self._read_error:
            return
        self._read_error = error
        logger.warning(
            "settings: cannot be read ({}); the last valid settings stay active.", error
        )

    def _report_problems(self, problems: tuple[SettingProblem, ...]) -> None:
        if problems == self._problems:
            return
        self._problems = problems
        for problem in problems:
            logger.error("settings: {}; the last valid value stays active.", problem)
