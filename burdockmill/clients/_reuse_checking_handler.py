"""Detect when a connection to an upstream cannot carry another request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp.client_proto import ResponseHandler

if TYPE_CHECKING:
    import asyncio

# A connection is not reused this close to its idle timeout: the upstream may close
# it while the request is on its way.
IDLE_MARGIN_S = 0.5


class ReuseCheckingHandler(ResponseHandler):
    """Detect unsolicited bytes, resets and expired idle timeouts."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.expects_response = False
        self.was_reset = False
        self.idle_timeout_s: float | None = None

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; close the connection if no response is expected."""
        if data and not self.expects_response:
            self.force_close()
            self.close()
            return
        super().data_received(data)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Record whether the connection ended with an error."""
        self.was_reset = exc is not None
        super().connection_lost(exc)

    def is_reusable(self, idle_s: float) -> bool:
        """Return whether a connection may be reused after `idle_s` idle seconds."""
        if self.should_close or not self.is_connected():
            return False
        timeout_s = self.idle_timeout_s
        return timeout_s is None or idle_s < timeout_s - IDLE_MARGIN_S
