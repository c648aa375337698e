"""Track the requests that wait for their answers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from burdockmill.errors import BurdockmillError, OverloadedError

if TYPE_CHECKING:
    from burdockmill.messages.actions import (
        ActionAnswer,
        Answer,
        FetchAnswer,
        SearchAnswer,
        TicketAnswer,
    )
    from burdockmill.names import RequestId

    AnyAnswer = SearchAnswer | FetchAnswer | ActionAnswer | TicketAnswer

REQUESTS_RETRY_AFTER_MS = 200


class Waiters:
    """Track at most `limit` requests that wait for their answers."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._waiter_by_request: dict[RequestId, asyncio.Future] = {}

    def __len__(self) -> int:
        return len(self._waiter_by_request)

    def open(self, request_id: RequestId) -> asyncio.Future:
        """Return the future of a request's result; raise if at the limit."""
        if len(self._waiter_by_request) >= self._limit:
            raise OverloadedError(
                f"There are already {self._limit} requests in progress.",
                retry_after_ms=REQUESTS_RETRY_AFTER_MS,
            )
        waiter = asyncio.get_running_loop().create_future()
        self._waiter_by_request[request_id] = waiter
        return waiter

    def close(self, request_id: RequestId) -> None:
        """Remove a request; ignore an unknown one."""
        self._waiter_by_request.pop(request_id, None)

    def complete(self, answer: Answer) -> None:
        """Complete a request with its result; ignore a late or second result."""
        waiter = self._waiter_by_request.get(answer.request_id)
        if waiter is not None and not waiter.done():
            waiter.set_result(answer.result)

    def fail_all(self, error: BurdockmillError) -> int:
        """Complete every open request with an error; return how many there were."""
        waiting = [one for one in self._waiter_by_request.values() if not one.done()]
        for waiter in waiting:
            waiter.set_result(error)
        return len(waiting)
