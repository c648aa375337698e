"""Serve an application on a listening address."""

from __future__ import annotations

from typing import TYPE_CHECKING, cast

from aiohttp import web

from burdockmill.surfaces._bounded_server import BoundedHandlerRunner, BoundedRunner

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from socket import socket

    from burdockmill.names import Address
    from burdockmill.surfaces._bounded_handler import BoundedHandler
    from burdockmill.surfaces._bounded_server import ServerBounds

    RequestHandler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


# Connections that may wait to be accepted while the host is busy.
BACKLOG = 1_024


class Listener:
    """Serve an application, or one handler for all requests, on an address."""

    def __init__(
        self, app: web.Application | RequestHandler, bounds: ServerBounds
    ) -> None:
        self._runner: web.BaseRunner
        if isinstance(app, web.Application):
            self._runner = BoundedRunner(app, bounds)
        else:
            self._runner = BoundedHandlerRunner(app, bounds)
        self._site: web.BaseSite | None = None

    @property
    def connections_open(self) -> int:
        """Return how many connections are open."""
        server = self._runner.server
        return 0 if server is None else len(server.connections)

    async def open(self, address: Address, listening: socket | None = None) -> Address:
        """Listen and return the address with its actual port; raise OSError.

        An already listening socket is used in place of the address.
        """
        await self._runner.setup()
        if listening is not None:
            self._site = web.SockSite(self._runner, listening, backlog=BACKLOG)
        else:
            host, _, port = address.rpartition(":")
            self._site = web.TCPSite(
                self._runner, host.strip("[]"), int(port), backlog=BACKLOG
            )
        await self._site.start()
        bound_address = self._runner.addresses[-1]
        bound_host = (
            f"[{bound_address[0]}]" if ":" in bound_address[0] else bound_address[0]
        )
        return f"{bound_host}:{bound_address[1]}"

    def close_idle(self) -> int:
        """Close the connections that wait for a request; return their number."""
        server = self._runner.server
        if server is None:
            return 0
        handlers = cast("list[BoundedHandler]", server.connections)
        idle = [handler for handler in handlers if handler.is_idle]
        for handler in idle:
            # close() alone would leave the transport open and its bytes unread.
            handler.force_close()
        return len(idle)

    async def stop_accepting(self) -> None:
        """Accept no new connections; open ones continue."""
        if self._site is not None:
            await self._site.stop()
            self._site = None

    async def close(self) -> None:
        """Close all connections."""
        self._site = None
        await self._runner.cleanup()
