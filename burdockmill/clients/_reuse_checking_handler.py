"""Detect when a connection to an upstream cannot carry another request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import ClientPayloadError
from aiohttp.client_proto import ResponseHandler

if TYPE_CHECKING:
    import asyncio

# A connection is not reused this close to its idle timeout: the upstream may close
# it while the request is on its way.
IDLE_MARGIN_S = 0.5
# Everything but the body, such as heads, chunk sizes and answers that are skipped, may
# exceed the size of the body by this much.
OVERHEAD_LIMIT_BYTES = 1024 * 1024


class ReuseCheckingHandler(ResponseHandler):
    """Detect unsolicited and endless bytes, resets and expired idle timeouts.

    `body_bytes` is how much of the bodies was read since the request was sent.
    `states_requests` is whether answers on this connection state whose they are.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.expects_response = False
        self.was_reset = False
        self.idle_timeout_s: float | None = None
        self.states_requests = False
        self.body_bytes = 0
        self._received_bytes = 0

    def start_exchange(self) -> None:
        """Expect a response from now on."""
        self.expects_response = True
        self.body_bytes = self._received_bytes = 0

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; close the connection if there are too many."""
        if data and not self.expects_response:
            self.force_close()
            self.close()
            return
        self._received_bytes += len(data)
        if self._received_bytes > OVERHEAD_LIMIT_BYTES + 2 * self.body_bytes:
            self._fail(ClientPayloadError("The response has too many bytes."))
            return
        super().data_received(data)
        payload = self._payload
        if self.exception() is not None and payload and not payload.is_eof():
            # The parser's error reaches the reader of the next head, not of this body.
            self._fail(ClientPayloadError("The response's body is malformed."))

    def _fail(self, error: ClientPayloadError) -> None:
        self.set_exception(error)
        if self._payload is not None:
            self._payload.set_exception(error)
        self.force_close()
        self.close()

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
