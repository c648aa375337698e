"""Notice what makes an upstream's connection unfit for another request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp.client_proto import ResponseHandler

if TYPE_CHECKING:
    import asyncio

# An idle connection is not used this shortly before its upstream closes it.
IDLE_MARGIN_S = 0.5


class WatchfulHandler(ResponseHandler):
    """Notice bytes that nobody asked for, resets, and the upstream's idle limit."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.expects_answer = False
        self.was_reset = False
        self.idle_limit_s: float | None = None

    def data_received(self, data: bytes) -> None:
        """Take bytes; close when no answer is due."""
        if data and not self.expects_answer:
            self.force_close()
            self.close()
            return
        super().data_received(data)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Note whether the connection ended by an error."""
        self.was_reset = exc is not None
        super().connection_lost(exc)

    def is_reusable(self, idle_s: float) -> bool:
        """Tell whether a connection that was idle for so long may be used."""
        if self.should_close or not self.is_connected():
            return False
        limit_s = self.idle_limit_s
        return limit_s is None or idle_s < limit_s - IDLE_MARGIN_S
