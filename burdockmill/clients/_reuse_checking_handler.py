"""Detect when a connection to an upstream cannot carry another request."""

from __future__ import annotations

import fcntl
import sys
import termios
from contextlib import suppress
from typing import TYPE_CHECKING

from aiohttp import ClientPayloadError, hdrs
from aiohttp.client_proto import ResponseHandler
from aiohttp.streams import EMPTY_PAYLOAD

from burdockmill.clients._upstream_codec import WrongAnswerError
from burdockmill.clients.receive_budget import ReceiveBudget
from burdockmill.clients.receiver import Receiver
from burdockmill.errors import free_frames

if TYPE_CHECKING:
    import asyncio

    from aiohttp.http import RawResponseMessage
    from aiohttp.streams import StreamReader

# A connection is not reused this close to its idle timeout: the upstream may close
# it while the request is on its way.
IDLE_MARGIN_S = 0.5
# The size of an integer of the kernel.
INT_BYTES = 4
RESPONSE_LIMIT_BYTES = 8 * 1024 * 1024
# Everything but the body, such as heads, chunk sizes and answers that are skipped, may
# exceed the size of the body by this much.
OVERHEAD_LIMIT_BYTES = 1024 * 1024
# Bytes are parsed in pieces: a head of a few bytes becomes objects of some kilobytes.
PIECE_BYTES = 16 * 1024
# Heads that are parsed and not read yet, such as those of interim answers.
UNREAD_HEADS_LIMIT = 64


class ReuseCheckingHandler(ResponseHandler, Receiver):
    """Detect unsolicited and endless bytes, resets and expired idle timeouts.

    `received_bytes` is how much came since the request was sent, `body_bytes` how much
    of the bodies was read.
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
        self.received_bytes = self.stated_bytes = 0
        self._budget = ReceiveBudget()
        self.failure: ClientPayloadError | WrongAnswerError | None = None

    def start_exchange(self, budget: ReceiveBudget) -> None:
        """Expect a response from now on, whose bytes count for a budget."""
        self.expects_response = True
        self.body_bytes = self.received_bytes = self.stated_bytes = 0
        self._budget = budget
        self.failure = None
        budget.start(self)

    def end_exchange(self) -> None:
        """Discount the bytes of the exchange that is over."""
        self._budget.end(self)
        self.received_bytes = 0

    @property
    def pending_bytes(self) -> int:
        """Return how many bytes wait in the kernel, 0 if the connection is closed."""
        if self.transport is None or self.transport.is_closing():
            return 0
        descriptor = self.transport.get_extra_info("socket").fileno()
        count = fcntl.ioctl(descriptor, termios.FIONREAD, bytes(INT_BYTES))
        return int.from_bytes(count, sys.byteorder)

    def hold(self) -> None:
        """Stop reading, whether the reader of the body keeps up or not."""
        if not self._buffer_paused:
            self._pause_reading_for_buffer()

    def resume(self) -> None:
        """Read again, unless the reader of the body does not keep up."""
        if self._buffer_paused:
            self._resume_reading_for_buffer()

    def cut_off(self) -> None:
        """Fail the exchange, for what all exchanges have received."""
        self._fail(WrongAnswerError("size of all answers"))

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
        self.received_bytes += len(data)
        # All of these bytes are discounted at the end, whatever comes of them.
        self._budget.add(self, len(data))
        if self.received_bytes > OVERHEAD_LIMIT_BYTES + 2 * self.body_bytes:
            self._fail(WrongAnswerError("size"))
            return
        if self.failure is not None:
            return
        if len(data) <= PIECE_BYTES:
            self._parse(data)
            return
        for start in range(0, len(data), PIECE_BYTES):
            if self.failure is not None or self.exception() is not None:
                return
            self._parse(data[start : start + PIECE_BYTES])

    def feed_data(
        self, data: tuple[RawResponseMessage, StreamReader], size: int = 0
    ) -> None:
        """Keep a parsed head for its reader; note the size of the body that follows."""
        super().feed_data(data, size)
        message, payload = data
        stated = message.headers.get(hdrs.CONTENT_LENGTH, "")
        if payload is EMPTY_PAYLOAD or not stated.isdecimal():
            return
        self.stated_bytes = int(stated)
        if self.stated_bytes > RESPONSE_LIMIT_BYTES:
            self._fail(WrongAnswerError("size"))
        else:
            self._budget.expect(self)

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
