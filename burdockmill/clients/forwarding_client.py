"""Send attempts to registered upstreams over bounded pools of connections."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

from aiohttp import ClientError, ClientPayloadError

from burdockmill.clients._upstream_codec import WrongAnswerError
from burdockmill.clients._upstream_pool import UpstreamPool
from burdockmill.forwarding.messages import (
    AttemptEnd,
    AttemptOutcome,
    ConnectionState,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from multidict import CIMultiDict

    from burdockmill.clock import Clock
    from burdockmill.forwarding.actions import SendAttempt
    from burdockmill.forwarding.codecs import UpstreamCodec
    from burdockmill.forwarding.messages import ForwardedRequest, Registration
    from burdockmill.names import UpstreamId

MILLISECONDS_PER_SECOND = 1_000
# A connection takes one round trip and the upstream's few milliseconds; longer
# silence shows an upstream that is gone, and nothing was sent yet.
CONNECT_LIMIT_MS = 300.0


class Sending:
    """Follow one attempt: whether it may have been written, and its task."""

    __slots__ = ("action", "asked_ms", "task", "written_ms")

    def __init__(self, action: SendAttempt, asked_ms: float) -> None:
        self.action = action
        self.asked_ms = asked_ms
        self.written_ms: float | None = None
        self.task: asyncio.Task[AttemptOutcome] | None = None

    @property
    def written(self) -> bool:
        """Tell whether the upstream may have been sent anything."""
        return self.written_ms is not None

    def cancel(self) -> None:
        """Stop the attempt; a written one loses its connection."""
        if self.task is not None:
            self.task.cancel()


class ForwardingClient:
    """Send each attempt once, to the incarnation that it was meant for."""

    def __init__(
        self,
        codec: UpstreamCodec,
        clock: Clock,
        limit_of: Callable[[Registration], int],
        keeps_idle: Callable[[Registration], bool],
    ) -> None:
        self.counts: Counter[str] = Counter()
        self._codec = codec
        self._clock = clock
        self._limit_of = limit_of
        self._keeps_idle = keeps_idle
        self._pool_by_upstream: dict[UpstreamId, UpstreamPool] = {}
        self._side_tasks: set[asyncio.Task[None]] = set()
        self._open: set[Sending] = set()

    def send(
        self,
        request: ForwardedRequest,
        action: SendAttempt,
        on_end: Callable[[AttemptOutcome], None],
    ) -> Sending:
        """Start an attempt; `on_end` gets its outcome, also when it is cancelled."""
        sending = Sending(action, self._clock.now_ms())
        self._open.add(sending)
        loop = asyncio.get_running_loop()
        sending.task = loop.create_task(self._run(request, sending))

        def finish(task: asyncio.Task[AttemptOutcome]) -> None:
            self._open.discard(sending)
            on_end(self._outcome_of(task, sending))

        sending.task.add_done_callback(finish)
        return sending

    def is_cold(self, upstream: Registration) -> bool:
        """Tell whether no connection to an upstream is open or being opened."""
        pool = self._pool_by_upstream.get(upstream.upstream)
        return pool is None or not pool.connector.open

    def state_of(self, upstream: Registration) -> ConnectionState:
        """Return what an attempt at an upstream would have to wait for now."""
        pool = self._pool_by_upstream.get(upstream.upstream)
        return ConnectionState.CLOSED if pool is None else pool.connector.state

    def warm_up(self, upstream: Registration) -> None:
        """Open one connection to an upstream, soon."""
        pool = self._pool_for(upstream)
        opening = asyncio.get_running_loop().create_task(pool.open_one())
        self._side_tasks.add(opening)
        opening.add_done_callback(self._side_tasks.discard)

    def retire(self, upstreams: Iterable[UpstreamId]) -> None:
        """Close the pools of upstreams that left, once their attempts have ended."""
        for upstream in upstreams:
            pool = self._pool_by_upstream.pop(upstream, None)
            if pool is not None:
                closing = asyncio.get_running_loop().create_task(pool.close())
                self._side_tasks.add(closing)
                closing.add_done_callback(self._side_tasks.discard)

    def resize(self, registrations: Mapping[UpstreamId, Registration]) -> None:
        """Follow changed limits."""
        for upstream, pool in self._pool_by_upstream.items():
            registration = registrations.get(upstream)
            if registration is not None:
                pool.resize(self._limit_of(registration))

    async def close(self) -> None:
        """Stop all attempts and close all connections."""
        for sending in list(self._open):
            sending.cancel()
        self.retire(list(self._pool_by_upstream))
        await asyncio.gather(*self._side_tasks, return_exceptions=True)

    async def _run(self, request: ForwardedRequest, sending: Sending) -> AttemptOutcome:
        action = sending.action
        pool = self._pool_for(action.upstream)

        def allow() -> CIMultiDict[str]:
            now_ms = self._clock.now_ms()
            left_ms = action.deadline_ms - now_ms
            headers = self._codec.headers(request, action.upstream, left_ms)
            sending.written_ms = now_ms
            return headers

        def is_own(headers: Mapping[str, str]) -> bool:
            own = self._codec.is_own(request, headers)
            self.counts["foreign_answers_skipped"] += not own
            return own

        loop = asyncio.get_running_loop()
        with pool.use(self._keeps_idle(action.upstream)) as session:
            connecting = loop.call_later(
                CONNECT_LIMIT_MS / MILLISECONDS_PER_SECOND, _give_up_connect, sending
            )
            try:
                exchanged = await session.exchange(
                    request.method, request.target, request.body, allow, is_own
                )
            finally:
                connecting.cancel()
        return self._codec.outcome(exchanged)

    def _outcome_of(
        self, task: asyncio.Task[AttemptOutcome], sending: Sending
    ) -> AttemptOutcome:
        outcome = _outcome_of(task, sending)
        self.counts[f"attempts_{outcome.end.value}"] += 1
        if sending.written_ms is None:
            return outcome
        return outcome._replace(connecting_ms=sending.written_ms - sending.asked_ms)

    def _pool_for(self, upstream: Registration) -> UpstreamPool:
        pool = self._pool_by_upstream.get(upstream.upstream)
        if pool is not None and pool.address != upstream.address:
            self.retire([upstream.upstream])
            pool = None
        if pool is None:
            pool = UpstreamPool(upstream.address, self._limit_of(upstream), self.counts)
            self._pool_by_upstream[upstream.upstream] = pool
        return pool


def _give_up_connect(sending: Sending) -> None:
    if not sending.written:
        sending.cancel()


def _outcome_of(task: asyncio.Task[AttemptOutcome], sending: Sending) -> AttemptOutcome:
    if task.cancelled():
        end = AttemptEnd.SILENT if sending.written else AttemptEnd.NOT_SENT
        return AttemptOutcome(end, detail="given up")
    error = task.exception()
    if error is None:
        return task.result()
    detail = f"{type(error).__name__}: {error}"
    if not sending.written:
        return AttemptOutcome(AttemptEnd.NOT_SENT, detail=detail)
    if isinstance(error, ClientPayloadError | WrongAnswerError):
        return AttemptOutcome(AttemptEnd.WRONG_ANSWER, detail=detail)
    if isinstance(error, ClientError | OSError):
        return AttemptOutcome(AttemptEnd.BROKEN, detail=detail)
    raise error
