"""Measure the lag of the event loop with a periodic timer."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burdockmill.clock import Clock
    from burdockmill.forwarding.room_monitor import RoomMonitor

MILLISECONDS_PER_SECOND = 1_000
# Ten samples in the window of the policy cost under 0.1 % of a small host's time.
INTERVAL_MS = 60.0


class LagTimer:
    """Measure the lag while the routes of the configuration have different ranks."""

    def __init__(self, room: RoomMonitor, clock: Clock) -> None:
        self._room = room
        self._clock = clock
        self._timer: asyncio.TimerHandle | None = None
        self._due_ms = 0.0

    def follow(self) -> None:
        """Start or stop after a change of the configuration."""
        if not self._room.has_ranks:
            self.close()
        elif self._timer is None:
            self._start()

    def close(self) -> None:
        """Stop measuring."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _start(self) -> None:
        self._due_ms = self._clock.now_ms() + INTERVAL_MS
        wait_s = INTERVAL_MS / MILLISECONDS_PER_SECOND
        self._timer = asyncio.get_running_loop().call_later(wait_s, self._measure)

    def _measure(self) -> None:
        now_ms = self._clock.now_ms()
        self._room.lagged(max(0.0, now_ms - self._due_ms), now_ms)
        self._start()
