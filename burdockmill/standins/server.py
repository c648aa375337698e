"""Serve HTTP on a loopback address and count connections."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Self

import msgspec
from aiohttp import web

from burdockmill.clock import MonotonicClock

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from aiohttp.web_protocol import RequestHandler

    from burdockmill.names import Address

    Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

LOOPBACK = "127.0.0.1"
STOP_TIMEOUT_SECONDS = 0.1
BACKLOG = 1024


class ConnectionCounter:
    """Count connections and abort those above the limit."""

    def __init__(self, limit: int | None = None, connect_ms: float = 0.0) -> None:
        self.limit = limit
        self.connect_ms = connect_ms
        self.refuse_all = False
        self.peak_open = 0
        self.opened_total = 0
        self.refused_total = 0
        self._clock = MonotonicClock()
        self._ready_ms_by_transport: dict[asyncio.Transport, float] = {}

    @property
    def open(self) -> int:
        """Return how many connections are open."""
        return len(self._ready_ms_by_transport)

    def add(self, transport: asyncio.Transport) -> None:
        """Count a connection, or abort it if it is refused."""
        full = self.limit is not None and self.open >= self.limit
        if full or self.refuse_all:
            self.refused_total += 1
            transport.abort()
            return
        ready_ms = self._clock.now_ms() + self.connect_ms
        self._ready_ms_by_transport[transport] = ready_ms
        self.opened_total += 1
        self.peak_open = max(self.peak_open, self.open)

    def remove(self, transport: asyncio.Transport) -> None:
        """Remove a connection that was closed."""
        self._ready_ms_by_transport.pop(transport, None)

    def abort_all(self) -> None:
        """Abort every open connection."""
        for transport in list(self._ready_ms_by_transport):
            transport.abort()

    async def wait_until_ready(self, transport: asyncio.Transport | None) -> None:
        """Wait until `connect_ms` have passed since the connection was opened."""
        if transport is None:
            return
        ready_ms = self._ready_ms_by_transport.get(transport, 0.0)
        wait_ms = ready_ms - self._clock.now_ms()
        if wait_ms > 0:
            await asyncio.sleep(wait_ms / 1000)


class _CountingServer(web.Server):
    def __init__(self, handler: Handler, counter: ConnectionCounter) -> None:
        super().__init__(handler, access_log=None)
        self._counter = counter
        self._transport_by_handler: dict[RequestHandler, asyncio.Transport] = {}

    def connection_made(
        self, handler: RequestHandler, transport: asyncio.Transport
    ) -> None:
        super().connection_made(handler, transport)
        self._transport_by_handler[handler] = transport
        self._counter.add(transport)

    def connection_lost(
        self, handler: RequestHandler, exc: BaseException | None = None
    ) -> None:
        super().connection_lost(handler, exc)
        transport = self._transport_by_handler.pop(handler, None)
        if transport is not None:
            self._counter.remove(transport)


class StandinServer(ABC):
    """Serve one stand-in; port 0 selects a free port, which a restart reuses."""

    def __init__(
        self, port: int = 0, connections: ConnectionCounter | None = None
    ) -> None:
        self.connections = connections or ConnectionCounter()
        self.port = port
        self.starts = 0
        self._http: _CountingServer | None = None
        self._listener: asyncio.Server | None = None

    @property
    def address(self) -> Address:
        """Return IP:PORT; valid once started."""
        return f"{LOOPBACK}:{self.port}"

    @property
    def url(self) -> str:
        """Return the base URL; valid once started."""
        return f"http://{self.address}"

    async def start(self) -> Self:
        """Start to listen; raise OSError if the port is in use."""
        loop = asyncio.get_running_loop()
        self._http = _CountingServer(self._serve, self.connections)
        self._listener = await loop.create_server(
            self._http, LOOPBACK, self.port, backlog=BACKLOG
        )
        self.port = self._listener.sockets[0].getsockname()[1]
        self.starts += 1
        return self

    async def stop(self) -> None:
        """Stop listening and abort open connections, as a crashed replica would."""
        if self._listener is None or self._http is None:
            return
        self._listener.close()
        self.connections.abort_all()
        await self._http.shutdown(STOP_TIMEOUT_SECONDS)
        self._listener = self._http = None

    async def __aenter__(self) -> Self:
        return await self.start()

    async def __aexit__(self, *_: object) -> None:
        await self.stop()

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        await self.connections.wait_until_ready(request.transport)
        return await self._handle(request)

    @abstractmethod
    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Return the response to one request."""


def json_response(body: object, status: int = 200) -> web.Response:
    """Return a JSON response."""
    return web.Response(
        body=msgspec.json.encode(body), status=status, content_type="application/json"
    )


def break_connection(request: web.BaseRequest) -> web.Response:
    """Abort the request's connection; the returned response is never sent."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=500)
