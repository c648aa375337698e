"""Limit the connections to an HTTP surface and the time to receive a header."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec
from aiohttp import web
from loguru import logger

from burdockmill.errors import (
    BadRequestError,
    BurdockmillError,
    HeaderTooLargeError,
    OverloadedError,
    Ran,
    SlowRequestError,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from aiohttp.streams import StreamReader

HEADER_TIMEOUT_SECONDS = 10.0
KEEPALIVE_SECONDS = 75.0
# A client sends its first request within this time of connecting.
FIRST_REQUEST_SECONDS = 0.5
CONNECTIONS_RETRY_AFTER_MS = 500
# A path and all headers may each have the limit, and the rest of a head is short.
HEAD_PARTS = 2
HEADER_SEPARATORS = b": \r\n"
PARSER_LIMITS = ("max_line_size", "max_field_size", "max_headers")
UNLIMITED = 2**31 - 1
CLIENT_ERROR = 400
SERVER_ERROR = 500


class ServerBounds(NamedTuple):
    """Set the limits of a surface; `count_refusal` gets each refusal's error kind.

    `header_limit` returns how many bytes all headers of a request may have together,
    and its path as many; None leaves the parser's own limits.
    """

    connections_limit: int
    count_refusal: Callable[[str], None]
    header_timeout_seconds: float = HEADER_TIMEOUT_SECONDS
    header_limit: Callable[[], int] | None = None


class BoundedRunner(web.AppRunner):
    """Run an application on a server with limits."""

    def __init__(self, app: web.Application, bounds: ServerBounds) -> None:
        super().__init__(
            app,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=KEEPALIVE_SECONDS,
        )
        self._bounds = bounds

    async def _make_server(self) -> web.Server:
        server = await super()._make_server()
        return BoundedServer(server, self._bounds)


class BoundedHandlerRunner(web.ServerRunner):
    """Run one handler for all requests on a server with limits."""

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        bounds: ServerBounds,
    ) -> None:
        header_limit = bounds.header_limit

        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            if header_limit is not None and _head_bytes(request) > header_limit():
                error = _header_too_large(header_limit())
                bounds.count_refusal(error.kind)
                return _json_response(error)
            return await handler(request)

        server = web.Server(
            handle,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=KEEPALIVE_SECONDS,
            auto_decompress=False,
        )
        super().__init__(BoundedServer(server, bounds))


class BoundedServer(web.Server):
    """Create a handler with limits for each connection."""

    def __init__(self, server: web.Server, bounds: ServerBounds) -> None:
        super().__init__(
            server.request_handler,
            request_factory=server.request_factory,
            handler_cancellation=server.handler_cancellation,
            **server._kwargs,
        )
        self.bounds = bounds

    def __call__(self) -> BoundedHandler:
        """Return the handler of a new connection."""
        limits = {}
        if self.bounds.header_limit is not None:
            # The limit is counted here, as it may change while a connection is open.
            limits = dict.fromkeys(PARSER_LIMITS, UNLIMITED)
        return BoundedHandler(self, loop=self._loop, **(self._kwargs | limits))


class BoundedHandler(web.RequestHandler):
    """Refuse connections above the limit, slow headers and malformed HTTP."""

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
        self._latest_payload: StreamReader | None = None
        self._head_bytes = 0

    @property
    def is_idle(self) -> bool:
        """Return whether the connection waits for a request that may not come.

        The first request of a new connection is certain to come.
        """
        if self._waiter is None or self._waiter.done() or self._messages:
            return False
        age_s = self._loop.time() - self._accepted_s
        return self._request_count > 0 or age_s > FIRST_REQUEST_SECONDS

    @property
    def has_next(self) -> bool:
        """Return whether another whole request head has already been read."""
        return bool(self._messages)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Accept a connection, or close it with an error above `connections_limit`."""
        super().connection_made(transport)
        self._accepted_s = self._loop.time()
        limit = self._bounds.connections_limit
        if len(self._server.connections) > limit:
            error = OverloadedError(
                f"The limit of {limit} connections is reached.",
                retry_after_ms=CONNECTIONS_RETRY_AFTER_MS,
            )
            self._refuse(error)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the header timer when the connection ends."""
        self._stop_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Handle received bytes; run the header timer while a header is incomplete."""
        requests_before = self._request_count
        payload = self._latest_payload
        is_of_head = payload is None or payload.is_eof()
        super().data_received(data)
        if self._request_count != requests_before:
            self._latest_payload = self._messages[-1][1]
            self._head_bytes = 0
        elif is_of_head:
            self._count_head(len(data))
        awaits_header = self._waiter is not None and not self._waiter.done()
        if not awaits_header:
            self._stop_timer()
        elif self._header_timer is None:
            wait_seconds = self._bounds.header_timeout_seconds
            self._header_timer = self._loop.call_later(
                wait_seconds, self._on_header_timeout
            )

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Write a response, or an internal error if its head cannot be written."""
        try:
            return await super().finish_response(request, resp, start_time)
        except Exception as error:
            if request.writer.output_size:
                raise
            failure = self.handle_error(request, SERVER_ERROR, error)
            return await super().finish_response(request, failure, start_time)

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
        response = _json_response(error)
        response.force_close()
        return response

    def _count_head(self, size_bytes: int) -> None:
        self._head_bytes += size_bytes
        limit = self._bounds.header_limit
        if limit is None or self._head_bytes <= HEAD_PARTS * limit():
            return
        if self._waiter is not None and not self._waiter.done():
            self._refuse(_header_too_large(limit()))
        else:
            # The answers to earlier requests come first.
            self.close()

    def _on_header_timeout(self) -> None:
        self._header_timer = None
        self._refuse(SlowRequestError("The HTTP header did not arrive in time."))

    def _refuse(self, error: BurdockmillError) -> None:
        self._bounds.count_refusal(error.kind)
        if self.transport is not None:
            self.transport.write(_raw_response(error))
        self.force_close()

    def _stop_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None


def _head_bytes(request: web.BaseRequest) -> int:
    """Return the size of a request's path or of all its headers, if that is more."""
    separators = len(HEADER_SEPARATORS)
    headers = sum(
        len(name) + len(value) + separators for name, value in request.raw_headers
    )
    return max(headers, len(request.raw_path))


def _header_too_large(limit: int) -> HeaderTooLargeError:
    return HeaderTooLargeError(f"The path or the headers exceed {limit} bytes.")


def _json_response(error: BurdockmillError) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(error.body()),
        status=error.status,
        content_type="application/json",
    )


def _raw_response(error: BurdockmillError) -> bytes:
    body = msgspec.json.encode(error.body())
    head = (
        f"HTTP/1.1 {error.status} {HTTPStatus(error.status).phrase}\r\n"
        "Content-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n"
        "Connection: close\r\n\r\n"
    )
    return head.encode() + body
