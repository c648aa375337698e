"""Bound what one connection of a client costs."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, cast

from aiohttp import web
from loguru import logger

from burdockmill.errors import (
    BadRequestError,
    BurdockmillError,
    OverloadedError,
    Ran,
    SlowRequestError,
)
from burdockmill.policies.connection_memory import (
    BODY_FACTOR,
    CHUNK_COST_BYTES,
    SHORTEST_LINE_BYTES,
    lines_cost,
)
from burdockmill.policies.idle_order import Idle, IdleKind
from burdockmill.policies.transfer_watch import TransferWatch
from burdockmill.surfaces._large_answers import send_large_head
from burdockmill.surfaces._paced_handler import PacedHandler
from burdockmill.surfaces._refusals import (
    header_too_large,
    raw_refusal,
    refusal_response,
)

if TYPE_CHECKING:
    import asyncio

    from burdockmill.surfaces._bounded_server import BoundedServer

# A client sends its first request within this time of connecting.
FIRST_REQUEST_SECONDS = 0.5
# A client that was answered within this time may be about to send its next request.
NEXT_REQUEST_SECONDS = 1.0
CONNECTIONS_RETRY_AFTER_MS = 500
# A path and all headers may each have the limit, and the rest of a head is short.
HEAD_PARTS = 2
# The rest of a body is read and dropped up to this size after its request's answer.
DROPPED_BODY_BYTES = 1024 * 1024
DEFAULT_TRAILER_BYTES = 16_384
CLIENT_ERROR = 400
SERVER_ERROR = 500


class BoundedHandler(PacedHandler):
    """Refuse connections, heads and bodies outside the limits."""

    def __init__(
        self,
        server: BoundedServer,
        *,
        loop: asyncio.AbstractEventLoop,
        **kwargs: Any,  # noqa: ANN401
    ) -> None:
        super().__init__(server, loop=loop, **kwargs)
        self._bounds = server.bounds
        self._server = server
        self._header_timer: asyncio.TimerHandle | None = None
        self._accepted_s = 0.0
        # When the connection was accepted or its last request was answered.
        self._idle_since_s = 0.0
        # The base class forgets its transport before the peer has read everything.
        self._wire: asyncio.Transport | None = None
        self._dropped_bytes = 0
        self._written_bytes = 0
        self._writer: Any = None
        transfer = server.guard.limits.transfer
        self._sending = TransferWatch(transfer)
        self._reading = TransferWatch(transfer)

    @property
    def is_idle(self) -> bool:
        """Return whether the connection waits for a request that may not come.

        The first request of a new connection is certain to come.
        """
        if self._waiter is None or self._waiter.done() or self._messages:
            return False
        if self._pieces.has_head:
            return False
        age_s = self._loop.time() - self._accepted_s
        return self._request_count > 0 or age_s > FIRST_REQUEST_SECONDS

    @property
    def idle(self) -> Idle | None:
        """Return for what the connection has waited too long, and since when."""
        if self._force_close or self._close or self._wire is None:
            return None
        if self._is_answering:
            since_s = None if self._is_received else self._sending.since_s
            return None if since_s is None else Idle(IdleKind.BODY, since_s)
        is_busy = self._is_received and not self.is_idle
        if is_busy or self._wire.get_write_buffer_size():
            return None
        if not self._request_count:
            return Idle(IdleKind.FIRST_REQUEST, self._idle_since_s)
        if self._loop.time() - self._idle_since_s < NEXT_REQUEST_SECONDS:
            return None
        return Idle(IdleKind.NEXT_REQUEST, self._idle_since_s)

    @property
    def has_next(self) -> bool:
        """Return whether another whole request head has already been received."""
        return bool(self._messages) or self._pieces.has_head

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Accept a connection, or close it with an error above `connections_limit`."""
        super().connection_made(transport)
        self._wire = cast("asyncio.Transport", transport)
        self._guard.add(self)
        self._accepted_s = self._idle_since_s = self._loop.time()
        limit = self._bounds.connections_limit
        if len(self._server.connections) > limit and not self._server.make_room():
            error = OverloadedError(
                f"The limit of {limit} connections is reached.",
                retry_after_ms=CONNECTIONS_RETRY_AFTER_MS,
            )
            self._refuse(error)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the header timer when the connection ends."""
        self._stop_timer()
        self._guard.remove(self)
        self._pieces.clear()
        super().connection_lost(exc)

    def pause_writing(self) -> None:
        """Count an answer that is larger than what its client takes at once."""
        super().pause_writing()
        self._record_held()

    def check_progress(self, now_s: float) -> None:
        """Close the connection if its peer neither sends its body nor reads."""
        self._cost = 0
        unread = 0 if self._wire is None else self._wire.get_write_buffer_size()
        written = self._written_bytes
        if self._writer is not None:
            written += self._writer.output_size
        if self._reading.is_stalled(now_s, unread > 0, written - unread):
            self._guard.close(self, "closed_unread")
            return
        if unread:
            # An answer that is being written is not counted otherwise.
            self._record_held()
        awaits_body = self._is_answering and not self._is_received
        awaits_body = awaits_body and not self._reading_paused and not self._pieces
        if self._sending.is_stalled(now_s, awaits_body, self._received_bytes):
            self._guard.count("closed_slow_body")
            self._end_body(SlowRequestError("The body did not arrive in time."))

    def give_way(self) -> None:
        """Close the connection; refuse a request whose body is incomplete."""
        if self._is_answering:
            self._guard.count("closed_for_room")
            self._end_body(SlowRequestError("The body did not arrive in time."))
        else:
            self._guard.close(self, "closed_for_room")

    def abort(self) -> None:
        """Close the connection at once; drop what was not sent."""
        self._pieces.clear()
        self.force_close()
        if self._wire is not None:
            self._wire.abort()

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Write a response, or an internal error if its head cannot be written."""
        self._writer = request.writer
        try:
            await send_large_head(request, resp)
            return await super().finish_response(request, resp, start_time)
        except Exception as error:
            if request.writer.output_size:
                raise
            failure = self.handle_error(request, SERVER_ERROR, error)
            return await super().finish_response(request, failure, start_time)
        finally:
            self._written_bytes += request.writer.output_size
            self._writer = None
            self._idle_since_s = self._loop.time()
            # The base class keeps the last request and its response until the next one.
            request._read_bytes = None
            if isinstance(resp, web.Response):
                resp.body = None
            self._end_answer()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = SERVER_ERROR,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the JSON error for malformed HTTP or an internal error."""
        if CLIENT_ERROR <= status < SERVER_ERROR:
            error: BurdockmillError = BadRequestError("The HTTP request is malformed.")
        else:
            logger.opt(exception=exc).error(
                "request: a handler failed with an internal error."
            )
            error = BurdockmillError(
                "The request failed with an internal error.", ran=Ran.UNKNOWN
            )
        self._bounds.count_refusal(error.kind)
        response = refusal_response(error)
        response.force_close()
        return response

    def _check_head(self) -> None:
        if self._bounds.header_limit is None:
            return
        limit = self._bounds.header_limit()
        pieces = self._pieces
        most = HEAD_PARTS * limit
        has_room = pieces.head_bytes <= most or (
            # A head that is here already is refused without closing its connection.
            pieces.has_head and pieces.lines <= most // SHORTEST_LINE_BYTES
        )
        if not has_room:
            self._refuse(header_too_large(limit))

    def _check_body(self, size_bytes: int) -> None:
        limit = self._bounds.header_limit
        trailers = DEFAULT_TRAILER_BYTES if limit is None else limit()
        if self._pieces.bodiless_bytes > trailers:
            self._guard.count("closed_long_trailers")
            self._end_body(header_too_large(trailers))
        elif self._is_answering:
            self._dropped_bytes = 0
        else:
            self._dropped_bytes += size_bytes
            if self._dropped_bytes > DROPPED_BODY_BYTES:
                self._guard.close(self, "closed_long_body")

    def _end_body(self, error: BurdockmillError) -> None:
        """Let the handler refuse the request whose body it waits for."""
        self._pieces.clear()
        if self._payload is None or not self._is_answering:
            self.abort()
            return
        self._lingering_time = 0.0
        self._payload.set_exception(error)
        # What still arrives is dropped.
        self._close = True

    def _after_feed(self) -> None:
        self._run_timer()
        self._record_held()

    def _record_held(self) -> None:
        pieces, payload = self._pieces, self._payload
        held = pieces.held_bytes + self._head_cost
        held += lines_cost(pieces.lines, pieces.head_bytes + pieces.bodiless_bytes)
        if self._is_answering and payload is not None:
            held += BODY_FACTOR * payload.total_bytes
            # Those that the handler has not read yet.
            held += CHUNK_COST_BYTES * len(payload._buffer)
        unsent = 0 if self._wire is None else self._wire.get_write_buffer_size()
        if unsent and self._writer is not None:
            # All of an answer stays in memory until the last of it is sent. Once freed,
            # it leaves gaps that other answers do not fill.
            unsent = BODY_FACTOR * self._writer.output_size
        self._guard.record(self, held + unsent)

    def _run_timer(self) -> None:
        """Run the header timer while a head is incomplete."""
        if self._is_answering or not self._pieces.has_begun or self._force_close:
            self._stop_timer()
        elif self._header_timer is None:
            wait_s = self._bounds.header_timeout_seconds
            self._header_timer = self._loop.call_later(wait_s, self._on_header_timeout)

    def _on_header_timeout(self) -> None:
        self._header_timer = None
        self._refuse(SlowRequestError("The HTTP header did not arrive in time."))

    def _refuse(self, error: BurdockmillError) -> None:
        self._bounds.count_refusal(error.kind)
        if self.transport is not None:
            self.transport.write(raw_refusal(error))
        self.force_close()

    def _stop_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None
