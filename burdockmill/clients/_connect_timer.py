"""Time how long connecting takes, without what this process delays it."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from burdockmill.clock import MonotonicClock

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

MILLISECONDS_PER_SECOND = 1_000
# The event loop runs timers before it looks at connections. One that fires this late
# was delayed by other work, and so was the connection.
LATE_MS = 20.0
# A process that is always late still gives up after so many times the limit.
EXTENSIONS_LIMIT = 3


class ConnectTimer:
    """Call back once connecting takes too long, not counting stalls of this process."""

    def __init__(self, limit_ms: float, on_timeout: Callable[[], None]) -> None:
        # The event loop's own time stands still while it is busy.
        self._clock = MonotonicClock()
        self._limit_ms = limit_ms
        self._on_timeout = on_timeout
        self._extensions = 0
        self._wait(limit_ms)

    def cancel(self) -> None:
        """Stop timing; the connection is ready, or its attempt is over."""
        self._handle.cancel()

    def _wait(self, wait_ms: float) -> None:
        self._due_ms = self._clock.now_ms() + wait_ms
        self._handle = asyncio.get_running_loop().call_later(
            wait_ms / MILLISECONDS_PER_SECOND, self._fire
        )

    def _fire(self) -> None:
        late_ms = self._clock.now_ms() - self._due_ms
        if late_ms <= LATE_MS or self._extensions == EXTENSIONS_LIMIT:
            self._on_timeout()
            return
        self._extensions += 1
        self._wait(min(late_ms, self._limit_ms))


@asynccontextmanager
async def connect_timeout(limit_ms: float) -> AsyncIterator[None]:
    """Raise TimeoutError once connecting takes too long, as `ConnectTimer` does."""
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(None) as scope:
        timer = ConnectTimer(limit_ms, lambda: scope.reschedule(loop.time()))
        try:
            yield
        finally:
            timer.cancel()
