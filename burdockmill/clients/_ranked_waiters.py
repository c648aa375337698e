"""Let attempts that wait for a connection get one in the order of their rank."""

from __future__ import annotations

from contextvars import ContextVar
from typing import TYPE_CHECKING, cast

from aiohttp import TCPConnector

if TYPE_CHECKING:
    import asyncio
    from collections import OrderedDict

    from aiohttp.client_reqrep import ConnectionKey
    from aiohttp.tracing import Trace

    Waiters = OrderedDict[asyncio.Future[None], int]

# The rank of the request that the current task sends; the lowest is served first.
WAITER_RANK: ContextVar[int] = ContextVar("WAITER_RANK", default=0)


class RankedWaitersConnector(TCPConnector):
    """Give a free connection to the waiter of the lowest rank, first come first served.

    aiohttp gives it to the first of its queue of waiters. The queue is kept in order.
    """

    async def _wait_for_available_connection(
        self, key: ConnectionKey, traces: list[Trace]
    ) -> None:
        rank = WAITER_RANK.get()
        has_waited = False
        while True:
            waiter: asyncio.Future[None] = self._loop.create_future()
            # aiohttp stores no values in its queue; they hold the ranks here.
            waiters = cast("Waiters", self._waiters[key])
            _insert(waiters, waiter, rank, before_equals=has_waited)
            try:
                await waiter
            finally:
                waiters.pop(waiter, None)
                if not self._waiters.get(key, True):
                    del self._waiters[key]
            if self._available_connections(key) > 0:
                return
            has_waited = True


def _insert(
    waiters: Waiters, waiter: asyncio.Future[None], rank: int, before_equals: bool
) -> None:
    """Insert a waiter behind the last one that goes first; most are of one rank.

    One that was woken in vain goes before the others of its rank, so that it does not
    wait until its time is over.
    """
    later = []
    for other, other_rank in reversed(waiters.items()):
        if other_rank < rank or (other_rank == rank and not before_equals):
            break
        later.append(other)
    waiters[waiter] = rank
    for other in reversed(later):
        waiters.move_to_end(other)
