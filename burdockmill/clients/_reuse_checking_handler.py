"""Detect when a connection to an upstream cannot carry another request."""

from __future__ import annotations

from contextlib import suppress
from typing import TYPE_CHECKING

from aiohttp import ClientPayloadError
from aiohttp.client_proto import ResponseHandler

from burdockmill.clients._upstream_codec import WrongAnswerError
from burdockmill.clients.receive_budget import ReceiveBudget
from burdockmill.errors import free_frames

if TYPE_CHECKING:
    import asyncio

    from aiohttp.http import RawResponseMessage
    from aiohttp.streams import StreamReader

# A connection is not reused this close to its idle timeout: the upstream may close
# it while the request is on its way.
IDLE_MARGIN_S = 0.5
# Everything but the body, such as heads, chunk sizes and answers that are skipped, may
# exceed the size of the body by this much.
OVERHEAD_LIMIT_BYTES = 1024 * 1024
# Bytes are parsed in pieces: a head of a few bytes becomes objects of some kilobytes.
PIECE_BYTES = 16 * 1024
# Heads that are parsed and not read yet, such as those of interim answers.
UNREAD_HEADS_LIMIT = 64


class ReuseCheckingHandler(ResponseHandler):
    """Detect unsolicited and endless bytes, resets and expired idle timeouts.

    `body_bytes` is how much of the bodies was read since the request was sent.
    `failure` is why this host ended the exchange, None if it did not.
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
        self._budget = ReceiveBudget()
        self.failure: ClientPayloadError | WrongAnswerError | None = None

    def start_exchange(self, budget: ReceiveBudget) -> None:
        """Expect a response from now on, whose bytes count for a budget."""
        self.expects_response = True
        self.body_bytes = self._received_bytes = 0
        self._budget = budget
        self.failure = None

    def end_exchange(self) -> None:
        """Discount the bytes of the exchange that is over."""
        self._budget.release(self._received_bytes)
        self._received_bytes = 0

    def free_frames(self) -> None:
        """Drop the tracebacks of the errors that this connection keeps."""
        for error in (self.failure, self.exception()):
            if error is not None:
                free_frames(error)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; close the connection if there are too many."""
        if self.failure is not None:
            # Taking what was received of a body lets the library parse what is left.
            return
        if data and not self.expects_response:
            self.force_close()
            self.close()
            return
        self._received_bytes += len(data)
        # All of these bytes are discounted at the end, whatever comes of them.
        has_room = self._budget.add(len(data), self._received_bytes)
        if self._received_bytes > OVERHEAD_LIMIT_BYTES + 2 * self.body_bytes:
            self._fail(WrongAnswerError("size"))
            return
        if not has_room:
            self._fail(WrongAnswerError("size of all answers"))
            return
        if len(data) <= PIECE_BYTES:
            self._parse(data)
            return
        for start in range(0, len(data), PIECE_BYTES):
            if self.failure is not None or self.exception() is not None:
                return
            self._parse(data[start : start + PIECE_BYTES])

    async def read(self) -> tuple[RawResponseMessage, StreamReader]:
        """Return the next head and its body; raise the error that ended the exchange.

        Closing a connection drops the error that the library keeps.
        """
        if self.failure is not None:
            raise self.failure
        return await super().read()

    def _parse(self, data: bytes) -> None:
        super().data_received(data)
        if len(self) > UNREAD_HEADS_LIMIT:
            self._fail(WrongAnswerError("heads"))
            return
        payload = self._payload
        if self.exception() is not None and payload and not payload.is_eof():
            # The parser's error reaches the reader of the next head, not of this body.
            self._fail(ClientPayloadError("The response's body is malformed."))

    def _fail(self, error: ClientPayloadError | WrongAnswerError) -> None:
        self.failure = error
        self.set_exception(error)
        if self._payload is not None:
            discard_unread(self._payload)
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


def discard_unread(payload: StreamReader) -> None:
    """Free the bytes of a body that are received, and that nobody will read.

    The parser refers to the body until its connection is collected as garbage.
    """
    with suppress(RuntimeError, ClientPayloadError, WrongAnswerError):
        payload.read_nowait()
