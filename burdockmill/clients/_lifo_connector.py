"""Pool connections to one upstream, reusing the most recently used one first."""

from __future__ import annotations

import random
from time import monotonic
from typing import TYPE_CHECKING

from aiohttp import ClientConnectionError

from burdockmill.clients._reuse_checking_connector import (
    NO_TIMEOUT,
    ReuseCheckingConnector,
)
from burdockmill.forwarding.messages import ConnectionState

if TYPE_CHECKING:
    from collections import Counter

    from aiohttp import ClientRequest, ClientTimeout
    from aiohttp.client_proto import ResponseHandler
    from aiohttp.client_reqrep import ConnectionKey
    from aiohttp.connector import Connection
    from aiohttp.tracing import Trace

KEEPALIVE_S = 30.0
BACKOFF_FIRST_S = 0.05
BACKOFF_MAX_S = 2.0
BACKOFF_DOUBLINGS = 6
JITTER_FRACTION = 0.5


class LifoConnector(ReuseCheckingConnector):
    """Pool at most `limit` connections; back off after refused ones."""

    def __init__(self, limit: int, counts: Counter[str]) -> None:
        super().__init__(
            limit=limit,
            use_dns_cache=False,
            force_close=False,
            keepalive_timeout=KEEPALIVE_S,
        )
        self.opened = 0
        self.keeps_idle = True
        self.keeps_warm = False
        self._counts = counts
        self._refusals = 0
        self._backoff_until_s = 0.0

    @property
    def warm_minimum(self) -> int:
        """Return how many connections are kept open even when idle."""
        return self._limit if self.keeps_warm else 0

    @property
    def open_count(self) -> int:
        """Return how many connections are open or being opened."""
        return len(self._acquired) + self._idle_count()

    @property
    def state(self) -> ConnectionState:
        """Return whether a request would reuse, open or wait for a connection."""
        if self._idle_count():
            return ConnectionState.IDLE
        if len(self._acquired) < self._limit:
            return ConnectionState.CLOSED
        return ConnectionState.BUSY

    async def warm_up(self, route: ClientRequest) -> None:
        """Open connections up to the warm minimum; write nothing to them."""
        connections: list[Connection] = []
        try:
            while self.open_count < self.warm_minimum:
                connections.append(await self.connect(route, [], NO_TIMEOUT))
        finally:
            for connection in connections:
                connection.release()

    async def open_new(self, route: ClientRequest) -> None:
        """Open a connection beside those that are open, whatever failed before.

        It is kept if the limit allows it.
        """
        self.reset_backoff()
        protocol = await self._create_connection(route, [], NO_TIMEOUT)
        self._release(route.connection_key, protocol)

    def reset_backoff(self) -> None:
        """Forget refused connections, so that the next one may be opened at once."""
        self._refusals = 0
        self._backoff_until_s = 0.0

    def resize(self, limit: int) -> None:
        """Change the limit; connections above it close as they become idle."""
        self._limit = limit
        for entries in self._conns.values():
            while entries and self.open_count > limit:
                protocol, _ = entries.popleft()
                protocol.close()

    def close_idle(self) -> int:
        """Close all idle connections and return their number."""
        idle = [entry for entries in self._conns.values() for entry in entries]
        self._conns.clear()
        for protocol, _ in idle:
            protocol.close()
        return len(idle)

    def _idle_count(self) -> int:
        """Return the number of idle connections that the upstream has not closed."""
        return sum(
            protocol.is_connected()
            for entries in self._conns.values()
            for protocol, _ in entries
        )

    async def _get(self, key: ConnectionKey, traces: list[Trace]) -> Connection | None:
        if entries := self._conns.get(key):
            entries.rotate(1)
        return await super()._get(key, traces)

    def _release(
        self,
        key: ConnectionKey,
        protocol: ResponseHandler,
        *,
        should_close: bool = False,
    ) -> None:
        closes = should_close or self.open_count > self._limit or not self.keeps_idle
        super()._release(key, protocol, should_close=closes)

    def _cleanup(self) -> None:
        # A time of last use in the future exempts the warm minimum from the timeout.
        used_s = monotonic() + KEEPALIVE_S
        for entries in self._conns.values():
            for index in range(-min(self.warm_minimum, len(entries)), 0):
                entries[index] = (entries[index][0], used_s)
        super()._cleanup()

    async def _create_connection(
        self, req: ClientRequest, traces: list[Trace], timeout: ClientTimeout
    ) -> ResponseHandler:
        if monotonic() < self._backoff_until_s:
            self._counts["connect_backed_off"] += 1
            raise ClientConnectionError("Backing off after refused connections.")
        try:
            protocol = await super()._create_connection(req, traces, timeout)
        except OSError:
            self._start_backoff()
            raise
        self._refusals = 0
        self.opened += 1
        self._counts["connections_opened"] += 1
        return protocol

    def _start_backoff(self) -> None:
        self._counts["connect_refused"] += 1
        doublings = min(self._refusals, BACKOFF_DOUBLINGS)
        wait_s = min(BACKOFF_FIRST_S * 2**doublings, BACKOFF_MAX_S)
        self._refusals += 1
        wait_s *= random.uniform(1.0 - JITTER_FRACTION, 1.0)
        self._backoff_until_s = monotonic() + wait_s
