"""Pool connections and close those that cannot carry another request."""

from __future__ import annotations

from functools import partial
from time import monotonic
from typing import TYPE_CHECKING, Any, cast

from aiohttp import TCPConnector

from burdockmill.clients._reuse_checking_handler import ReuseCheckingHandler

if TYPE_CHECKING:
    from aiohttp import ClientRequest, ClientTimeout
    from aiohttp.client_proto import ResponseHandler
    from aiohttp.client_reqrep import ConnectionKey
    from aiohttp.connector import Connection
    from aiohttp.tracing import Trace


class ReuseCheckingConnector(TCPConnector):
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
