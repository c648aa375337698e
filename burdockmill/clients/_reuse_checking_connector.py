"""Pool connections and close those that cannot carry another request."""

from __future__ import annotations

from functools import partial
from time import monotonic
from typing import TYPE_CHECKING, Any, cast

from aiohttp import ClientTimeout
from aiohttp.connector import Connection

from burdockmill.clients._ranked_waiters import RankedWaitersConnector
from burdockmill.clients._reuse_checking_handler import ReuseCheckingHandler

if TYPE_CHECKING:
    from aiohttp import ClientRequest
    from aiohttp.client_proto import ResponseHandler
    from aiohttp.client_reqrep import ConnectionKey
    from aiohttp.tracing import Trace


NO_TIMEOUT = ClientTimeout(total=None, connect=None, sock_connect=None)


class ReuseCheckingConnector(RankedWaitersConnector):
    """Reuse only connections that the upstream still keeps open for requests."""

    def __init__(self, **options: Any) -> None:  # noqa: ANN401
        super().__init__(**options)
        self._idle_timeout_s: float | None = None
        # mypy does not accept a partial of the subclass as a partial of its base class.
        self._factory = cast(
            "partial[ResponseHandler]", partial(ReuseCheckingHandler, loop=self._loop)
        )

    def record_idle_timeout(self, timeout_s: float | None) -> None:
        """Assume the idle timeout of a response for new connections; ignore None."""
        if timeout_s is not None:
            self._idle_timeout_s = timeout_s

    async def connect_new(self, route: ClientRequest) -> Connection:
        """Return a connection over which the upstream has shown that it runs now."""
        key = route.connection_key
        if len(self._acquired) >= self._limit:
            # A connection that becomes free has just carried a reply.
            return await self.connect(route, [], NO_TIMEOUT)
        entries = self._conns.get(key)
        if entries and len(self._acquired) + len(entries) >= self._limit:
            entries.popleft()[0].close()
        protocol = await self._create_connection(route, [], NO_TIMEOUT)
        self._acquired.add(protocol)
        return Connection(self, key, protocol, self._loop)

    async def _create_connection(
        self, req: ClientRequest, traces: list[Trace], timeout: ClientTimeout
    ) -> ResponseHandler:
        protocol = await super()._create_connection(req, traces, timeout)
        cast("ReuseCheckingHandler", protocol).idle_timeout_s = self._idle_timeout_s
        return protocol

    async def _get(self, key: ConnectionKey, traces: list[Trace]) -> Connection | None:
        entries = self._conns.get(key, ())
        now_s = monotonic()
        for entry in list(entries):
            protocol = cast("ReuseCheckingHandler", entry[0])
            if not protocol.is_reusable(now_s - entry[1]):
                self._conns[key].remove(entry)
                protocol.close()
        return await super()._get(key, traces)
