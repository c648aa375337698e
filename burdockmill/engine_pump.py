"""Run an engine's ticks on the event loop, upon events and when timers expire."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Callable

    from burdockmill.clock import Clock
    from burdockmill.engine import Engine
    from burdockmill.messages.actions import Action
    from burdockmill.messages.events import Event

MILLISECONDS_PER_SECOND = 1_000
FAILED_WAIT_MS = 100.0
FAILURE_LOG_INTERVAL_MS = 10_000.0
TICK = "a tick"


class EnginePump:
    """Tick an engine soon after each event and whenever a timer of it expires."""

    def __init__(
        self,
        engine: Engine,
        clock: Clock,
        carry_out: Callable[[list[Action], float], None],
        counts: Counter[str],
    ) -> None:
        self._engine = engine
        self._clock = clock
        self._carry_out = carry_out
        self._counts = counts
        self._is_tick_queued = False
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due_ms = 0.0
        self._failed_in_tick = False
        self._logged_ms_by_name: dict[str, float] = {}
        engine.on_failure = self._record_failure

    def post(self, event: Event) -> None:
        """Queue an event for the next tick, which the event loop runs soon."""
        self._engine.post(event)
        if not self._is_tick_queued:
            self._is_tick_queued = True
            asyncio.get_running_loop().call_soon(self._tick)

    def close(self) -> None:
        """Cancel the tick that is scheduled for the next expiring timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timer(self) -> None:
        self._timer = None
        self._tick()

    def _tick(self) -> None:
        self._is_tick_queued = False
        self._failed_in_tick = False
        now_ms = self._clock.now_ms()
        try:
            self._carry_out(self._engine.tick(now_ms), now_ms)
        except Exception as error:
            self._record_failure(TICK, error)
        self._set_timer(now_ms)

    def _record_failure(self, name: str, error: Exception) -> None:
        """Count the failure of a system or a tick; log it at a bounded rate."""
        self._failed_in_tick = True
        self._counts["ticks_failed"] += 1
        now_ms = self._clock.now_ms()
        logged_ms = self._logged_ms_by_name.get(name)
        if logged_ms is not None and now_ms - logged_ms < FAILURE_LOG_INTERVAL_MS:
            return
        self._logged_ms_by_name[name] = now_ms
        logger.opt(exception=error).error("core: {} failed.", name)

    def _set_timer(self, now_ms: float) -> None:
        due_ms = self._engine.next_due_ms()
        if due_ms is None:
            self.close()
            return
        if self._timer is not None and self._timer_due_ms <= due_ms:
            # The timer fires early and is set again then, which costs less than to set
            # it after every event.
            return
        self.close()
        # A timer that a failed system leaves behind must not expire without end.
        least_ms = FAILED_WAIT_MS if self._failed_in_tick else 0.0
        wait_s = max(least_ms, due_ms - now_ms) / MILLISECONDS_PER_SECOND
        self._timer = asyncio.get_running_loop().call_later(wait_s, self._on_timer)
        self._timer_due_ms = due_ms
