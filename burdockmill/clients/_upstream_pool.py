"""Hold the connections of one upstream's present address."""

from __future__ import annotations

import asyncio
from contextlib import contextmanager
from typing import TYPE_CHECKING

from aiohttp import ClientError

from burdockmill.clients._recent_first_connector import (
    NO_TIMEOUT,
    RecentFirstConnector,
)
from burdockmill.clients.write_once_session import WriteOnceSession

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Iterator

    from burdockmill.names import Address
    from burdockmill.rules.model import UpstreamRule

WARM_UP_TIMEOUT_S = 1.0
SPARE_CONNECTIONS = 2


class UpstreamPool:
    """Hold at most `limit` connections to an address."""

    def __init__(self, address: Address, limit: int, counts: Counter[str]) -> None:
        self.address = address
        self.connector = RecentFirstConnector(limit, counts)
        self._counts = counts
        self._session = WriteOnceSession(address, self.connector)
        self._users: set[asyncio.Task] = set()

    @contextmanager
    def use(self, keeps_idle: bool = True) -> Iterator[WriteOnceSession]:
        """Give the session to the present task; say if the pool keeps connections."""
        task = asyncio.current_task()
        assert task is not None
        self.connector.keeps_idle = keeps_idle
        self._users.add(task)
        try:
            yield self._session
        finally:
            self._users.discard(task)

    async def warm_up(self) -> None:
        """Open what is missing from the warm minimum, unless the pool rests."""
        self.connector.keeps_warm = self.connector.keeps_idle
        try:
            async with asyncio.timeout(WARM_UP_TIMEOUT_S):
                await self.connector.warm_up(self._session.route)
        except (TimeoutError, ClientError, OSError):
            self._counts["warm_up_failed"] += 1

    async def open_one(self) -> None:
        """Open a connection and keep it, unless the upstream cannot be reached."""
        self.connector.keeps_idle = True
        try:
            async with asyncio.timeout(WARM_UP_TIMEOUT_S):
                (
                    await self.connector.connect(self._session.route, [], NO_TIMEOUT)
                ).release()
        except (TimeoutError, ClientError, OSError):
            self._counts["warm_up_failed"] += 1

    def resize(self, limit: int) -> None:
        """Change the limit; connections above it close once idle."""
        self.connector.resize(limit)

    def rest(self) -> int:
        """Close what is idle, and the rest once it is; return how many were idle."""
        self.connector.keeps_idle = self.connector.keeps_warm = False
        return self.connector.close_idle()

    async def close(self) -> None:
        """Close once the tasks that use the pool now have ended."""
        self.rest()
        try:
            if self._users:
                await asyncio.wait(set(self._users))
        finally:
            await self._session.close()


def limit_of(rule: UpstreamRule, share: float) -> int:
    """Return how many connections this host may open; at least one."""
    wanted = rule.slots + SPARE_CONNECTIONS
    return max(1, min(wanted, int(rule.connections * share)))
