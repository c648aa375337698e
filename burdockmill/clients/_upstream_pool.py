"""Pool the connections to one upstream's current address."""

from __future__ import annotations

import asyncio
from contextlib import contextmanager
from typing import TYPE_CHECKING

from aiohttp import ClientError

from burdockmill.clients._connect_timer import connect_timeout
from burdockmill.clients._lifo_connector import (
    NO_TIMEOUT,
    LifoConnector,
)
from burdockmill.clients.no_retry_session import NoRetrySession
from burdockmill.forwarding.messages import LinkState

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Iterator

    from burdockmill.names import Address
    from burdockmill.rules.model import UpstreamRule

WARM_UP_TIMEOUT_S = 1.0
SPARE_CONNECTIONS = 2
# A round trip between regions, with time for a busy upstream to accept.
LINK_TEST_TIMEOUT_MS = 150.0
# A machine that runs replies to a connection sooner, also when the upstream is busy.
SILENCE_TEST_TIMEOUT_MS = 300.0


class UpstreamPool:
    """Manage at most `limit` connections to an address."""

    def __init__(self, address: Address, limit: int, counts: Counter[str]) -> None:
        self.address = address
        self.connector = LifoConnector(limit, counts)
        self._counts = counts
        self._session = NoRetrySession(address, self.connector)
        self._active_tasks: set[asyncio.Task] = set()

    @contextmanager
    def use(self, keeps_idle: bool = True) -> Iterator[NoRetrySession]:
        """Yield the session to the current task; set whether idle connections stay."""
        task = asyncio.current_task()
        assert task is not None
        self.connector.keeps_idle = keeps_idle
        self._active_tasks.add(task)
        try:
            yield self._session
        finally:
            self._active_tasks.discard(task)

    async def warm_up(self) -> None:
        """Open connections up to the warm minimum if the pool keeps idle ones."""
        self.connector.keeps_warm = self.connector.keeps_idle
        try:
            async with asyncio.timeout(WARM_UP_TIMEOUT_S):
                await self.connector.warm_up(self._session.route)
        except (TimeoutError, ClientError, OSError):
            self._counts["warm_up_failed"] += 1

    async def open_one(self) -> None:
        """Open one connection and keep it idle; count a failure to connect."""
        self.connector.keeps_idle = True
        try:
            async with asyncio.timeout(WARM_UP_TIMEOUT_S):
                (
                    await self.connector.connect(self._session.route, [], NO_TIMEOUT)
                ).release()
        except (TimeoutError, ClientError, OSError):
            self._counts["warm_up_failed"] += 1

    async def test_link(self) -> bool:
        """Return whether the upstream accepts another connection soon."""
        try:
            async with connect_timeout(LINK_TEST_TIMEOUT_MS):
                await self.connector.open_new(self._session.route)
        except (TimeoutError, ClientError, OSError):
            self._counts["link_tests_failed"] += 1
            return False
        return True

    async def test_silence(self) -> LinkState:
        """Return whether the upstream replies at all to another connection."""
        try:
            async with connect_timeout(SILENCE_TEST_TIMEOUT_MS):
                await self.connector.open_new(self._session.route)
        except TimeoutError:
            self._counts["silence_tests_unanswered"] += 1
            return LinkState.SILENT
        except (ClientError, OSError):
            return LinkState.REFUSED
        return LinkState.ACCEPTED

    def resize(self, limit: int) -> None:
        """Change the limit; connections above it close once they are idle."""
        self.connector.resize(limit)

    def stop_keeping_idle(self) -> int:
        """Close idle connections now, others after use; return the idle count."""
        self.connector.keeps_idle = self.connector.keeps_warm = False
        return self.connector.close_idle()

    async def close(self) -> None:
        """Close all connections once the current users of the pool have ended."""
        self.stop_keeping_idle()
        try:
            if self._active_tasks:
                await asyncio.wait(set(self._active_tasks))
        finally:
            await self._session.close()


def connection_limit(rule: UpstreamRule, share: float) -> int:
    """Return how many connections this host may open to an upstream, at least one."""
    wanted = rule.slots + SPARE_CONNECTIONS
    return max(1, min(wanted, int(rule.connections * share)))
