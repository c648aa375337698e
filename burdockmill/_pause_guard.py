"""Detect process pauses and shorten the deadlines of work that waited unread."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from burdockmill.errors import DeadlineExceededError

if TYPE_CHECKING:
    from burdockmill.clock import Clock
    from burdockmill.messages.events import RequestReceived
    from burdockmill.messages.peer import WorkRequest

HEARTBEAT_INTERVAL_MS = 50.0
MIN_PAUSE_MS = 150.0
BACKLOG_WINDOW_MS = 250.0
MILLISECONDS_PER_SECOND = 1_000


class PauseGuard:
    """Estimate how long input may have waited unread in socket buffers.

    Input that is read within BACKLOG_WINDOW_MS after a pause may have arrived at the
    start of the pause.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._last_heartbeat_ms = clock.now_ms()
        self._backlog_until_ms = 0.0
        self._pause_ms = 0.0
        self.pause_count = 0

    async def run_heartbeat(self) -> None:
        """Record a heartbeat at each interval until cancelled."""
        while True:
            self.record_heartbeat()
            await asyncio.sleep(HEARTBEAT_INTERVAL_MS / MILLISECONDS_PER_SECOND)

    def record_heartbeat(self) -> None:
        """Record that the process runs; detect a pause since the last heartbeat."""
        now_ms = self._clock.now_ms()
        pause_ms = now_ms - self._last_heartbeat_ms
        self._last_heartbeat_ms = now_ms
        if pause_ms < MIN_PAUSE_MS:
            return
        self.pause_count += 1
        in_backlog = now_ms < self._backlog_until_ms
        self._pause_ms = max(pause_ms, self._pause_ms) if in_backlog else pause_ms
        self._backlog_until_ms = now_ms + BACKLOG_WINDOW_MS

    def shorten_request(self, request: RequestReceived) -> RequestReceived:
        """Return a request, its deadline less the possible delay; raise if past."""
        deadline_ms = request.deadline_ms - self.input_delay_ms()
        if deadline_ms <= self._clock.now_ms():
            raise DeadlineExceededError(
                "The deadline passed while this host was paused."
            )
        return request._replace(deadline_ms=deadline_ms)

    def shorten_work(self, request: WorkRequest) -> WorkRequest:
        """Return a peer's request, its remaining time less the possible delay."""
        remaining_ms = request.remaining_ms - self.input_delay_ms()
        return request._replace(remaining_ms=remaining_ms)

    def input_delay_ms(self) -> float:
        """Return how many milliseconds input that is read now may have waited."""
        self.record_heartbeat()
        return (
            self._pause_ms if self._last_heartbeat_ms < self._backlog_until_ms else 0.0
        )
