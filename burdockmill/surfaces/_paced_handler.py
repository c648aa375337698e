"""Give aiohttp's parser what a client sends in pieces, one request at a time."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, cast

from aiohttp import hdrs, web
from aiohttp.http import RawRequestMessage
from aiohttp.streams import EMPTY_PAYLOAD

from burdockmill.errors import BadRequestError
from burdockmill.policies.connection_memory import (
    SHORTEST_LINE_BYTES,
    lines_cost,
)
from burdockmill.policies.json_values import JsonValueCount
from burdockmill.policies.request_pieces import PIECE_BYTES, Phase, RequestPieces
from burdockmill.task_frames import free_task_frames

if TYPE_CHECKING:
    import asyncio

    from aiohttp.streams import StreamReader

    from burdockmill.errors import BurdockmillError
    from burdockmill.surfaces._bounded_server import BoundedServer

# Above this, nothing more is read until the parser may have what was received.
UNPARSED_LIMIT_BYTES = 16_384
# How many lines and chunks are parsed for a connection between two sweeps before it
# takes turns with others; about 12 ms of parsing, or 300 requests of 12 lines.
FREE_COST = 4_096
# What a turn may cost: a piece of the shortest lines.
TURN_COST = PIECE_BYTES // SHORTEST_LINE_BYTES


class PacedHandler(web.RequestHandler):
    """Parse nothing while an answer waits to be made, written or read."""

    def __init__(
        self,
        server: BoundedServer,
        *,
        loop: asyncio.AbstractEventLoop,
        **kwargs: Any,  # noqa: ANN401
    ) -> None:
        super().__init__(server, loop=loop, **kwargs)
        self._guard = server.guard
        self._pieces = RequestPieces()
        # The body of the last request, None if it has none.
        self._payload: StreamReader | None = None
        self._is_answering = False
        self._has_turn = False
        self._has_resumed = False
        self._cost = 0
        self._received_bytes = 0
        self._head_cost = 0

    def connection_lost(self, exc: BaseException | None) -> None:
        """Free what the connection had without waiting for the garbage collector."""
        task = self._task_handler
        super().connection_lost(exc)
        # It refers to this handler as well.
        self._payload = None
        if task is not None:
            task.add_done_callback(free_task_frames)

    def data_received(self, data: bytes) -> None:
        """Give the parser what it may have now, and keep the rest."""
        if self._force_close or self._close:
            return
        self._received_bytes += len(data)
        if (
            self._pieces.is_piece(data)
            and self._cost < FREE_COST
            and not self._guard.is_pressed
            and self._may_parse
        ):
            self._parse(data)
            self._after_feed()
            return
        self._pieces.add(data)
        self._feed()

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Go on with a body whose bytes were read, once it is this connection's turn.

        The base class parses here, for a reader that then finds more without waiting.
        """
        if not self._reading_paused:
            return
        super().resume_reading(resume_parser=False)
        self._has_resumed = self._has_resumed or resume_parser
        self._ask_for_turn()

    def resume_writing(self) -> None:
        """Go on with the next request once the peer reads its answers."""
        super().resume_writing()
        self._feed()

    def count_values(self) -> JsonValueCount:
        """Return a count for the values of one JSON text, with their limit."""
        return JsonValueCount(self._guard.decoded_limit_bytes)

    def take_turn(self) -> None:
        """Parse one part of what was received."""
        self._has_turn = False
        if self._has_resumed and not self._reading_paused:
            # The parser goes on with what it kept back while its body was not read.
            self._has_resumed = False
            self._parse(b"")
        self._feed(TURN_COST)

    @property
    def _is_received(self) -> bool:
        """Return whether the last request was received to its end."""
        return self._payload is None or self._payload.is_eof()

    @property
    def _may_parse(self) -> bool:
        if self._force_close or self._close or self._reading_paused:
            return False
        if not self._is_received:
            return True
        return not self._is_answering and not self._paused

    def _feed(self, allowed: int | None = None) -> None:
        """Parse up to a cost; by default what is left without waiting for a turn."""
        if allowed is None:
            # Connections that are closed for others to have room need an iteration of
            # the event loop to give theirs back.
            is_free = not self._guard.is_pressed
            allowed = FREE_COST - self._cost if is_free else 0
        end_cost = self._cost + allowed
        while self._pieces and self._may_parse:
            if self._cost >= end_cost:
                self._ask_for_turn()
                break
            self._parse(self._pieces.take())
        if self._force_close or self._close:
            self._pieces.clear()
        if len(self._pieces) >= UNPARSED_LIMIT_BYTES:
            if not self._buffer_paused:
                self._pause_reading_for_buffer()
        elif self._buffer_paused:
            self._resume_reading_for_buffer()
        self._after_feed()

    def _resume_reading_if_drained(self) -> None:
        """Replace the base class's rule, which looks at its own queue."""

    def _parse(self, piece: bytes) -> None:
        count, payload = self._request_count, self._payload
        before = 0 if payload is None else payload.total_raw_bytes
        super().data_received(piece)
        grown = 0 if payload is None else payload.total_raw_bytes - before
        self._cost += self._pieces.count(piece, grown)
        if self._request_count != count:
            self._start_request()
        elif self._pieces.phase is Phase.HEAD:
            self._check_head()
        elif self._is_received:
            self._pieces.start_head()
        else:
            self._check_body(len(piece))

    def _start_request(self) -> None:
        message, payload = self._messages[-1]
        is_request = isinstance(message, RawRequestMessage)
        if not is_request:
            # The traceback's frames have this message, and all that was received.
            cast("Any", message).exc.__traceback__ = None
        if not is_request and not self._is_received:
            self._end_body(BadRequestError("The request's body is malformed."))
            return
        self._payload = None if payload is EMPTY_PAYLOAD else payload
        self._is_answering = True
        pieces = self._pieces
        message = cast("RawRequestMessage", message)
        lines = len(message.raw_headers) if is_request else pieces.lines
        self._head_cost = lines_cost(lines, pieces.head_bytes)
        if self._is_received:
            pieces.start_head()
        elif message.chunked:
            pieces.start_body(None)
        else:
            size = int(message.headers.get(hdrs.CONTENT_LENGTH, "0"))
            pieces.start_body(size - payload.total_raw_bytes)

    def _ask_for_turn(self) -> None:
        if not self._has_turn:
            self._has_turn = True
            self._guard.turns.add(self)

    def _end_answer(self) -> None:
        """Go on with what was received after the request that was answered."""
        self._is_answering = False
        if self._pieces and self.transport is not None:
            # The next request follows once this one's task has ended.
            self._loop.call_soon(self._feed)
        else:
            self._after_feed()

    def _check_head(self) -> None:
        """Refuse a head that is too large."""

    def _check_body(self, size_bytes: int) -> None:
        """Refuse a body that is too large; `size_bytes` were parsed just now."""

    def _end_body(self, error: BurdockmillError) -> None:
        """Refuse a request whose body is incomplete."""

    def _after_feed(self) -> None:
        """Count what the connection holds now."""
