"""Take in settings that change while a host runs."""

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

    Read = Callable[[], Result[ForwardingSettings, tuple[SettingProblem, ...]]]

# A change without a signal is noticed within this time.
POLL_S = 2.0


class SettingsWatch:
    """Read settings on demand and from time to time; hand on what has changed."""

    def __init__(
        self,
        settings: ForwardingSettings,
        read: Read,
        apply: Callable[[ForwardingSettings], None],
    ) -> None:
        self._settings = settings
        self._read = read
        self._apply = apply
        self._problems: tuple[SettingProblem, ...] = ()

    async def run(self) -> None:
        """Check from time to time until cancelled."""
        while True:
            await asyncio.sleep(POLL_S)
            self.check()

    def check(self) -> None:
        """Read the settings; wrong ones are reported once and leave the old ones."""
        try:
            parsed = self._read()
        except (OSError, UnicodeDecodeError) as error:
            logger.warning("settings: cannot be read ({}); the last ones stay.", error)
            return
        if not isinstance(parsed, Success):
            self._report(parsed.failure())
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

    def _report(self, problems: tuple[SettingProblem, ...]) -> None:
        if problems == self._problems:
            return
        self._problems = problems
        for problem in problems:
            logger.error("settings: {}; the last ones stay in force.", problem)
