"""Send attempts to upstreams over bounded pools of connections."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

import msgspec
from aiohttp import ClientError, ClientPayloadError

from burdockmill.clients._attempt import Attempt
from burdockmill.clients._upstream_codec import (
    PATH_BY_KIND,
    WrongAnswerError,
    encode_request,
    read_answer,
)
from burdockmill.clients._upstream_health import read_health
from burdockmill.clients._upstream_pool import UpstreamPool, connection_limit
from burdockmill.messages.events import (
    HealthRead,
    UpstreamAnswered,
    UpstreamFailed,
    UpstreamRefused,
)
from burdockmill.messages.peer import Reason
from burdockmill.messages.upstream import UpstreamCancel

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine, Iterable
    from typing import Any

    from burdockmill.clients.no_retry_session import NoRetrySession
    from burdockmill.clock import Clock
    from burdockmill.messages.actions import (
        CancelAtUpstream,
        ClosePool,
        ReadHealth,
        SendToUpstream,
    )
    from burdockmill.messages.events import Event
    from burdockmill.names import AttemptId, RequestId, UpstreamId
    from burdockmill.rules.model import RuleSet, UpstreamRule

    AttemptEvent = UpstreamAnswered | UpstreamRefused | UpstreamFailed

CANCEL_TIMEOUT_MS = 1_000
MILLISECONDS_PER_SECOND = 1_000
CANCEL_PATH = "/v1/cancel"


class UpstreamClient:
    """Send attempts to upstreams; each ends in exactly one event."""

    def __init__(
        self, emit: Callable[[Event], None], clock: Clock, share: float
    ) -> None:
        self.counts: Counter[str] = Counter()
        self._emit = emit
        self._clock = clock
        self._share = share
        self._rule_by_upstream: dict[UpstreamId, UpstreamRule] = {}
        self._revision = 0
        self._pool_by_upstream: dict[UpstreamId, UpstreamPool] = {}
        self._attempt_by_id: dict[tuple[RequestId, AttemptId], Attempt] = {}
        self._task_by_id: dict[tuple[RequestId, AttemptId], asyncio.Task] = {}
        self._background_tasks: set[asyncio.Task] = set()

    @property
    def connections_opened(self) -> int:
        """Return how many connections the current pools have opened so far."""
        pools = self._pool_by_upstream.values()
        return sum(pool.connector.opened for pool in pools)

    def apply_rules(
        self, rules: RuleSet, changed: Iterable[UpstreamId] | None = None
    ) -> None:
        """Apply a newer revision; `changed` is None if any upstream may differ."""
        if rules.revision <= self._revision:
            return
        self._revision = rules.revision
        rule_by_id = rules.upstream_by_id
        if changed is None:
            changed = self._rule_by_upstream.keys() | rule_by_id.keys()
        for name in changed:
            if name in rule_by_id:
                self.apply_rule(rule_by_id[name])
            elif self._rule_by_upstream.pop(name, None) is not None:
                self._remove_pool(name)

    def apply_rule(self, rule: UpstreamRule) -> None:
        """Apply an upstream's rule to its pool; a changed address gets a new pool."""
        self._rule_by_upstream[rule.name] = rule
        pool = self._pool_by_upstream.get(rule.name)
        if pool is None:
            return
        if pool.address == rule.address:
            pool.resize(connection_limit(rule, self._share))
        else:
            self._remove_pool(rule.name)

    def send(self, action: SendToUpstream, decided_ms: float | None = None) -> None:
        """Start an attempt; its `remaining_ms` count from `decided_ms`, or from now."""
        key = (action.request_id, action.attempt)
        if key in self._attempt_by_id:
            self.counts["duplicate_send"] += 1
            return
        attempt = Attempt(action, self._clock, decided_ms)
        task = asyncio.get_running_loop().create_task(self._run(attempt))
        self._attempt_by_id[key] = attempt
        self._task_by_id[key] = task
        task.add_done_callback(lambda done: self._finish(attempt, done))

    def cancel(self, action: CancelAtUpstream) -> None:
        """Cancel an attempt here before it is written, afterwards at the upstream."""
        key = (action.request_id, action.attempt)
        attempt = self._attempt_by_id.get(key)
        if attempt is None:
            self.counts["cancel_without_attempt"] += 1
            return
        if attempt.cancelled:
            return
        attempt.cancelled = True
        if attempt.maybe_written:
            self._start_background(self._send_cancel(attempt.action))
        else:
            self._task_by_id[key].cancel()

    def read_health(self, action: ReadHealth) -> None:
        """Start a health check, which ends in exactly one HealthRead event."""
        self._start_background(self._read_health(action))

    def close_pool(self, action: ClosePool) -> None:
        """Close an upstream's idle connections; attempts in flight continue."""
        pool = self._pool_by_upstream.get(action.upstream)
        if pool is not None:
            self.counts["idle_closed"] += pool.stop_keeping_idle()

    async def close(self) -> None:
        """Cancel every attempt, emitting its event, and close all connections."""
        tasks = [*self._task_by_id.values(), *self._background_tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for upstream in list(self._pool_by_upstream):
            await self._pool_by_upstream.pop(upstream).close()

    async def _run(self, attempt: Attempt) -> AttemptEvent:
        pool = self._pool_for(attempt.action.upstream)
        if pool is None:
            return attempt.failure_event(Reason.UNKNOWN_UPSTREAM)
        try:
            with pool.use() as session:
                async with asyncio.timeout(_seconds(attempt.remaining_ms)):
                    return await self._exchange(session, attempt)
        except TimeoutError:
            return attempt.failure_event(Reason.DEADLINE)
        except WrongAnswerError as error:
            self.counts[f"wrong_answer_{error.part}"] += 1
            return attempt.failure_event(Reason.WRONG_ANSWER)
        except ClientPayloadError:
            self.counts["wrong_answer_cut"] += 1
            return attempt.failure_event(Reason.WRONG_ANSWER)
        except (ClientError, OSError):
            return attempt.failure_event(_transport_reason(attempt))

    async def _exchange(
        self, session: NoRetrySession, attempt: Attempt
    ) -> AttemptEvent:
        action = attempt.action
        response = await session.post(
            PATH_BY_KIND[action.kind], encode_request(action), attempt.start_write
        )
        return read_answer(action, response.status, response.body)

    def _finish(self, attempt: Attempt, task: asyncio.Task) -> None:
        key = (attempt.action.request_id, attempt.action.attempt)
        del self._attempt_by_id[key]
        del self._task_by_id[key]
        self._emit(self._event_of(attempt, task))

    def _event_of(self, attempt: Attempt, task: asyncio.Task) -> AttemptEvent:
        if task.cancelled():
            return attempt.failure_event(Reason.CANCELLED)
        if task.exception() is not None:
            self.counts["internal_error"] += 1
            return attempt.failure_event(Reason.BROKEN)
        return task.result()

    async def _send_cancel(self, action: SendToUpstream) -> None:
        pool = self._pool_for(action.upstream)
        if pool is None:
            return
        body = UpstreamCancel(request_id=action.request_id, attempt=action.attempt)
        try:
            with pool.use() as session:
                async with asyncio.timeout(_seconds(CANCEL_TIMEOUT_MS)):
                    await session.post(CANCEL_PATH, msgspec.json.encode(body), dict)
        except (TimeoutError, ClientError, OSError, WrongAnswerError):
            self.counts["cancel_failed"] += 1

    async def _read_health(self, action: ReadHealth) -> None:
        event = HealthRead(action.upstream, "", None, False)
        try:
            pool = self._pool_for(action.upstream)
            event = await read_health(pool, action, self.counts)
        finally:
            self._emit(event)
        if pool is not None and event.snapshots is not None:
            await pool.warm_up()

    def _pool_for(self, upstream: UpstreamId) -> UpstreamPool | None:
        pool = self._pool_by_upstream.get(upstream)
        rule = self._rule_by_upstream.get(upstream)
        if pool is None and rule is not None:
            limit = connection_limit(rule, self._share)
            pool = UpstreamPool(rule.address, limit, self.counts)
            self._pool_by_upstream[upstream] = pool
        return pool

    def _remove_pool(self, upstream: UpstreamId) -> None:
        pool = self._pool_by_upstream.pop(upstream, None)
        if pool is not None:
            self._start_background(pool.close())

    def _start_background(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)


def _transport_reason(attempt: Attempt) -> Reason:
    return Reason.BROKEN if attempt.maybe_written else Reason.CONNECT_FAILED


def _seconds(milliseconds: float) -> float:
    return milliseconds / MILLISECONDS_PER_SECOND
