"""Pool connections that notice when they are unfit for another request."""

from __future__ import annotations

from functools import partial
from time import monotonic
from typing import TYPE_CHECKING, Any, cast

from aiohttp import TCPConnector

from burdockmill.clients._watchful_handler import WatchfulHandler

if TYPE_CHECKING:
    from aiohttp import ClientRequest, ClientTimeout
    from aiohttp.client_proto import ResponseHandler
    from aiohttp.client_reqrep import ConnectionKey
    from aiohttp.connector import Connection
    from aiohttp.tracing import Trace


class WatchfulConnector(TCPConnector):
    """Give out only connections whose upstream still expects a request."""

    def __init__(self, **options: Any) -> None:  # noqa: ANN401
        super().__init__(**options)
        self._idle_limit_s: float | None = None
        # Partials of a subclass do not count as partials of its base.
        self._factory = cast(
            "partial[ResponseHandler]", partial(WatchfulHandler, loop=self._loop)
        )

    def learn_idle_limit(self, limit_s: float | None) -> None:
        """Expect the idle limit that an answer stated of new connections too."""
        if limit_s is not None:
            self._idle_limit_s = limit_s

    async def _create_connection(
        self, req: ClientRequest, traces: list[Trace], timeout: ClientTimeout
    ) -> ResponseHandler:
        protocol = await super()._create_connection(req, traces, timeout)
        cast("WatchfulHandler", protocol).idle_limit_s = self._idle_limit_s
        return protocol

    async def _get(self, key: ConnectionKey, traces: list[Trace]) -> Connection | None:
        entries = self._conns.get(key, ())
        now_s = monotonic()
        for entry in list(entries):
            protocol = cast("WatchfulHandler", entry[0])
            if not protocol.is_reusable(now_s - entry[1]):
                self._conns[key].remove(entry)
                protocol.close()
        return await super()._get(key, traces)
