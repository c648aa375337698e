"""Send attempts to registered upstreams over bounded pools of connections."""

from __future__ import annotations

import asyncio
from collections import Counter
from functools import partial
from typing import TYPE_CHECKING

from aiohttp import ClientConnectionError, ClientError, ClientPayloadError
from loguru import logger

from burdockmill.clients._connect_timer import ConnectTimer
from burdockmill.clients._ranked_waiters import WAITER_RANK
from burdockmill.clients._upstream_codec import WrongAnswerError
from burdockmill.clients._upstream_pool import UpstreamPool
from burdockmill.clients.receive_budget import ReceiveBudget
from burdockmill.forwarding.messages import (
    NO_CONNECTION,
    AttemptEnd,
    AttemptOutcome,
    ConnectionState,
    LinkState,
    Ownership,
)
from burdockmill.task_frames import free_task_frames

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from multidict import CIMultiDict

    from burdockmill.clock import Clock
    from burdockmill.forwarding.actions import SendAttempt
    from burdockmill.forwarding.codecs import UpstreamCodec
    from burdockmill.forwarding.messages import ForwardedRequest, Registration
    from burdockmill.names import UpstreamId

# Connecting takes one round trip and a few milliseconds at the upstream. An upstream
# that takes longer is unreachable; nothing was sent yet, so giving up is safe.
CONNECT_TIMEOUT_MS = 300.0
CUT_OFF_ERRORS = (ClientPayloadError, ClientConnectionError, OSError)


class InFlightAttempt:
    """Track an attempt: its task, and whether its request may have been written."""

    __slots__ = ("action", "connect_timed_out", "started_ms", "task", "written_ms")

    def __init__(self, action: SendAttempt, started_ms: float) -> None:
        self.action = action
        self.started_ms = started_ms
        self.written_ms: float | None = None
        self.connect_timed_out = False
        self.task: asyncio.Task[AttemptOutcome] | None = None

    @property
    def written(self) -> bool:
        """Return whether any byte of the request may have been sent."""
        return self.written_ms is not None

    def cancel(self) -> None:
        """Cancel the attempt; its connection is closed if the request was written."""
        if self.task is not None:
            self.task.cancel()


class ForwardingClient:
    """Send each attempt once, to the upstream incarnation it is addressed to."""

    def __init__(
        self,
        codec: UpstreamCodec,
        clock: Clock,
        connection_limit: Callable[[Registration], int],
        keeps_idle: Callable[[Registration], bool],
        budget: ReceiveBudget | None = None,
    ) -> None:
        self.counts: Counter[str] = Counter()
        self._codec = codec
        self._clock = clock
        self._connection_limit = connection_limit
        self._keeps_idle = keeps_idle
        self._budget = budget or ReceiveBudget()
        self._pool_by_upstream: dict[UpstreamId, UpstreamPool] = {}
        self._background_tasks: set[asyncio.Task[None]] = set()
        self._in_flight: set[InFlightAttempt] = set()

    def send(
        self,
        request: ForwardedRequest,
        action: SendAttempt,
        on_end: Callable[[AttemptOutcome], None],
    ) -> InFlightAttempt:
        """Start an attempt; call `on_end` with its outcome, also if it is cancelled."""
        attempt = InFlightAttempt(action, self._clock.now_ms())
        self._in_flight.add(attempt)
        loop = asyncio.get_running_loop()
        attempt.task = loop.create_task(self._run(request, attempt))

        def finish(task: asyncio.Task[AttemptOutcome]) -> None:
            self._in_flight.discard(attempt)
            outcome = self._outcome_of(task, attempt)
            free_task_frames(task)
            on_end(outcome)

        attempt.task.add_done_callback(finish)
        return attempt

    def is_disconnected(self, upstream: Registration) -> bool:
        """Return whether no connection to an upstream is open or being opened."""
        pool = self._pool_by_upstream.get(upstream.upstream)
        return pool is None or not pool.connector.open_count

    def connection_state(self, upstream: Registration) -> ConnectionState:
        """Return whether an attempt would reuse, open or wait for a connection."""
        pool = self._pool_by_upstream.get(upstream.upstream)
        return ConnectionState.CLOSED if pool is None else pool.connector.state

    def open_in_background(self, upstream: Registration) -> None:
        """Open one connection to an upstream in the background."""
        pool = self._pool_for(upstream)
        opening = asyncio.get_running_loop().create_task(pool.open_one())
        self._background_tasks.add(opening)
        opening.add_done_callback(self._background_tasks.discard)

    async def test_link(self, upstream: Registration) -> bool:
        """Return whether an upstream accepts another connection soon."""
        return await self._pool_for(upstream).test_link()

    async def test_silence(self, upstream: Registration) -> LinkState:
        """Return whether an upstream replies at all to another connection."""
        return await self._pool_for(upstream).test_silence()

    def reset_backoffs(self) -> None:
        """Let all upstreams that refused connections be tried again at once."""
        for pool in self._pool_by_upstream.values():
            pool.connector.reset_backoff()

    def close_pools(self, upstreams: Iterable[UpstreamId]) -> None:
        """Close the pools of removed upstreams once their attempts have ended."""
        for upstream in upstreams:
            pool = self._pool_by_upstream.pop(upstream, None)
            if pool is not None:
                closing = asyncio.get_running_loop().create_task(pool.close())
                self._background_tasks.add(closing)
                closing.add_done_callback(self._background_tasks.discard)

    def apply_limits(self, registrations: Mapping[UpstreamId, Registration]) -> None:
        """Apply changed connection limits to the open pools."""
        for upstream, pool in self._pool_by_upstream.items():
            registration = registrations.get(upstream)
            if registration is not None:
                pool.resize(self._connection_limit(registration))

    async def close(self) -> None:
        """Cancel all attempts and close all connections."""
        for attempt in list(self._in_flight):
            attempt.cancel()
        self.close_pools(list(self._pool_by_upstream))
        await asyncio.gather(*self._background_tasks, return_exceptions=True)

    async def _run(
        self, request: ForwardedRequest, attempt: InFlightAttempt
    ) -> AttemptOutcome:
        action = attempt.action
        # Each attempt runs in a task of its own, and so in a context of its own.
        WAITER_RANK.set(action.rank)
        pool = self._pool_for(action.upstream)

        def start_write() -> CIMultiDict[str]:
            now_ms = self._clock.now_ms()
            remaining_ms = action.deadline_ms - now_ms
            headers = self._codec.headers(request, action.upstream, remaining_ms)
            attempt.written_ms = now_ms
            return headers

        def ownership(headers: Mapping[str, str]) -> Ownership:
            stated = self._codec.ownership(request, headers)
            self.counts["foreign_answers_skipped"] += stated is Ownership.OTHER
            return stated

        with pool.use(self._keeps_idle(action.upstream)) as session:
            connect_timer = ConnectTimer(
                CONNECT_TIMEOUT_MS, partial(_cancel_if_not_written, attempt)
            )
            try:
                response = await session.exchange(
                    request.method,
                    request.target,
                    request.body,
                    start_write,
                    ownership,
                    self._budget,
                    action.needs_new_connection,
                )
            finally:
                connect_timer.cancel()
        return self._codec.outcome(response)

    def _outcome_of(
        self, task: asyncio.Task[AttemptOutcome], attempt: InFlightAttempt
    ) -> AttemptOutcome:
        outcome = _outcome_of(task, attempt)
        self.counts[f"attempts_{outcome.end.value}"] += 1
        if attempt.written_ms is None:
            return outcome
        connecting_ms = attempt.written_ms - attempt.started_ms
        return outcome._replace(connecting_ms=connecting_ms, sent_ms=attempt.written_ms)

    def _pool_for(self, upstream: Registration) -> UpstreamPool:
        pool = self._pool_by_upstream.get(upstream.upstream)
        if pool is not None and pool.address != upstream.address:
            self.close_pools([upstream.upstream])
            pool = None
        if pool is None:
            pool = UpstreamPool(
                upstream.address, self._connection_limit(upstream), self.counts
            )
            self._pool_by_upstream[upstream.upstream] = pool
        return pool


def _cancel_if_not_written(attempt: InFlightAttempt) -> None:
    if not attempt.written:
        attempt.connect_timed_out = True
        attempt.cancel()


def _outcome_of(
    task: asyncio.Task[AttemptOutcome], attempt: InFlightAttempt
) -> AttemptOutcome:
    if task.cancelled():
        end = AttemptEnd.SILENT if attempt.written else AttemptEnd.NOT_SENT
        detail = NO_CONNECTION if attempt.connect_timed_out else "cancelled"
        return AttemptOutcome(end, detail=detail)
    error = task.exception()
    if error is None:
        return task.result()
    detail = f"{type(error).__name__}: {error}"
    is_cut_off = isinstance(error, CUT_OFF_ERRORS)
    if not attempt.written:
        end = AttemptEnd.NOT_SENT
        return AttemptOutcome(end, detail=detail, is_refused=is_cut_off)
    if isinstance(error, ClientPayloadError | WrongAnswerError):
        end = AttemptEnd.WRONG_ANSWER
        return AttemptOutcome(end, detail=detail, is_cut_off=is_cut_off)
    if not isinstance(error, ClientError | OSError):
        logger.opt(exception=error).error("upstream: an attempt failed unexpectedly.")
    return AttemptOutcome(AttemptEnd.BROKEN, detail=detail, is_cut_off=is_cut_off)
