"""Check attempts in flight for silence while no upstream is heard."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from burdockmill.clock import Clock
    from burdockmill.forwarding.reach_monitor import OpenAttempt, ReachMonitor
    from burdockmill.forwarding.silence_monitor import SilenceMonitor

MILLISECONDS_PER_SECOND = 1_000
CHECK_INTERVAL_MS = 40.0


class ReachTimer:
    """Run the monitors' checks periodically while there are attempts in flight."""

    def __init__(
        self,
        monitor: ReachMonitor,
        silence: SilenceMonitor,
        clock: Clock,
        attempts: Callable[[], Iterable[OpenAttempt]],
    ) -> None:
        self._monitor = monitor
        self._silence = silence
        self._clock = clock
        self._attempts = attempts
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Check periodically from now on, until no attempt is in flight."""
        if self._timer is None:
            wait_s = CHECK_INTERVAL_MS / MILLISECONDS_PER_SECOND
            self._timer = asyncio.get_running_loop().call_later(wait_s, self._check)

    def close(self) -> None:
        """Stop checking."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check(self) -> None:
        self._timer = None
        attempts = list(self._attempts())
        now_ms = self._clock.now_ms()
        if not attempts and not self._silence.is_testing(now_ms):
            return
        if now_ms - self._monitor.reach.heard_ms >= CHECK_INTERVAL_MS:
            self._monitor.check(attempts, now_ms)
        self._silence.check(attempts, now_ms)
        self.start()
