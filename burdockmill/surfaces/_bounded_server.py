"""Limit the connections to an HTTP surface and the time to receive a header."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, cast

from aiohttp import web

from burdockmill.policies.idle_order import IdleOrder
from burdockmill.surfaces._bounded_handler import BoundedHandler
from burdockmill.surfaces._client_guard import ClientGuard
from burdockmill.surfaces._refusals import header_too_large, refusal_response

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

HEADER_TIMEOUT_SECONDS = 10.0
KEEPALIVE_SECONDS = 75.0
HEADER_SEPARATORS = b": \r\n"
PARSER_LIMITS = ("max_line_size", "max_field_size", "max_headers")
UNLIMITED = 2**31 - 1


class ServerBounds(NamedTuple):
    """Set the limits of a surface; `count_refusal` gets each refusal's error kind.

    `header_limit` returns how many bytes all headers of a request may have together,
    and its path as many; None leaves the parser's own limits. `guard` bounds the
    connections of all surfaces that share it.
    """

    connections_limit: int
    count_refusal: Callable[[str], None]
    header_timeout_seconds: float = HEADER_TIMEOUT_SECONDS
    header_limit: Callable[[], int] | None = None
    guard: ClientGuard | None = None


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
                error = header_too_large(header_limit())
                bounds.count_refusal(error.kind)
                return refusal_response(error)
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
        self.guard = bounds.guard or ClientGuard()
        self._idle_order: IdleOrder[BoundedHandler] = IdleOrder(lambda one: one.idle)

    def __call__(self) -> BoundedHandler:
        """Return the handler of a new connection."""
        limits = {}
        if self.bounds.header_limit is not None:
            # The limit is counted here, as it may change while a connection is open.
            limits = dict.fromkeys(PARSER_LIMITS, UNLIMITED)
        return BoundedHandler(self, loop=self._loop, **(self._kwargs | limits))

    def make_room(self) -> bool:
        """Close an idle connection; return False if there is none."""
        handlers = cast("list[BoundedHandler]", self.connections)
        idle = self._idle_order.take(handlers, self._loop.time())
        if idle is None:
            return False
        idle.give_way()
        return True


def _head_bytes(request: web.BaseRequest) -> int:
    """Return the size of a request's path or of all its headers, if that is more."""
    separators = len(HEADER_SEPARATORS)
    headers = sum(
        len(name) + len(value) + separators for name, value in request.raw_headers
    )
    return max(headers, len(request.raw_path))
