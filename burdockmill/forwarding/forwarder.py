"""Execute the actions of request runs: attempts, timers and answers."""

from __future__ import annotations

import asyncio
from collections import Counter
from itertools import count
from typing import TYPE_CHECKING

from burdockmill.clients.forwarding_client import InFlightAttempt
from burdockmill.errors import BurdockmillError, NotReadyError, UnknownRouteError
from burdockmill.forwarding.actions import Conclude, SendAttempt, WithdrawAttempt
from burdockmill.forwarding.messages import (
    AttemptEnd,
    AttemptOutcome,
    ConnectionState,
    MergedAnswer,
    UpstreamAnswer,
)
from burdockmill.forwarding.reach_monitor import OpenAttempt
from burdockmill.forwarding.request_run import RequestRun
from burdockmill.forwarding.upstream_notices import Incarnation

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from burdockmill.clients.forwarding_client import ForwardingClient
    from burdockmill.clock import Clock
    from burdockmill.forwarding.actions import RunAction
    from burdockmill.forwarding.merge_policy import MergePolicy
    from burdockmill.forwarding.messages import ForwardedRequest, Registration
    from burdockmill.forwarding.planner import Planner
    from burdockmill.forwarding.reach_monitor import ReachMonitor
    from burdockmill.forwarding.request_log import RequestLog
    from burdockmill.forwarding.routes import Route
    from burdockmill.forwarding.token_gate import WaitingAttempt
    from burdockmill.forwarding.weighted_choice import WeightedChoices
    from burdockmill.names import ServiceId
    from burdockmill.tables.catalog import Catalog

    Result = UpstreamAnswer | MergedAnswer

MILLISECONDS_PER_SECOND = 1_000
# A withdrawn attempt may still finish within this time, so that its connection can be
# reused. After that the upstream is paused or down, and the connection is closed.
WITHDRAWN_LIMIT_MS = 250.0
# Retry time for clients of a host that has no configuration yet.
RETRY_AFTER_START_MS = 100
# The connections of an upstream that ends close within this time of each other.
CLOSING_MS = 10.0
REPLIES = frozenset(
    {AttemptEnd.ANSWERED, AttemptEnd.UPSTREAM_ERROR, AttemptEnd.NOT_RUN}
)


class Forwarder:
    """Forward requests along the routes of the active configuration."""

    def __init__(
        self,
        clock: Clock,
        catalog: Catalog,
        planner: Planner,
        choices: WeightedChoices,
        merge: MergePolicy,
        client: ForwardingClient,
        log: RequestLog,
        reach: ReachMonitor,
        on_attempt: Callable[[], None],
    ) -> None:
        self.counts: Counter[str] = Counter()
        self.open_runs: set[_RunExecutor] = set()
        self.clock = clock
        self.planner = planner
        self.client = client
        self.log = log
        self.reach = reach
        self.on_attempt = on_attempt
        self._catalog = catalog
        self._keys = count()
        self._choices = choices
        self._merge = merge

    def next_key(self) -> int:
        """Return a number that identifies an attempt on this host."""
        return next(self._keys)

    async def forward(self, request: ForwardedRequest) -> Result:
        """Return a request's answer; raise a BurdockmillError if there is none."""
        route = self._route_of(request)
        run = RequestRun(
            request, route, self._services_of(route), self.planner, self._merge
        )
        executor = _RunExecutor(self, run)
        self.open_runs.add(executor)
        try:
            result = await executor.run()
        except asyncio.CancelledError:
            self.counts["clients_gone"] += 1
            executor.cancel()
            self.log.client_disconnected(run, self.clock.now_ms())
            raise
        finally:
            self.open_runs.discard(executor)
        if isinstance(result, BurdockmillError):
            raise result
        return result

    def open_attempts(self) -> Iterable[OpenAttempt]:
        """Return the attempts in flight of requests that wait for their answers."""
        for executor in self.open_runs:
            yield from executor.open_attempts()

    def _route_of(self, request: ForwardedRequest) -> Route:
        if self._catalog.tables is None:
            raise NotReadyError(
                "This host has not received a configuration yet.",
                retry_after_ms=RETRY_AFTER_START_MS,
            )
        route = self._catalog.routes.find(request.host, request.target)
        if route is None:
            raise UnknownRouteError(
                f"No route of version {self._catalog.tables.version} matches "
                f"{request.host}{request.target}."
            )
        return route

    def _services_of(self, route: Route) -> tuple[ServiceId, ...]:
        if route.shards is not None:
            return route.shards.services
        return (self._choices.service_of(route),)


class _RunExecutor:
    """Execute one request run; withdrawn attempts may end after its answer."""

    def __init__(self, forwarder: Forwarder, run: RequestRun) -> None:
        self._forwarder = forwarder
        self._run = run
        self._loop = asyncio.get_running_loop()
        self._done: asyncio.Future[Result | BurdockmillError] = (
            self._loop.create_future()
        )
        self._sending_by_attempt: dict[int, InFlightAttempt | WaitingAttempt] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due_ms = 0.0

    async def run(self) -> Result | BurdockmillError:
        """Return the result once the run is complete."""
        now_ms = self._forwarder.clock.now_ms()
        self._execute(self._run.start(now_ms), now_ms)
        return await self._done

    def open_attempts(self) -> Iterable[OpenAttempt]:
        """Return the attempts in flight, but not those that wait for a token."""
        for part in self._run.parts:
            for row in part.in_flight:
                if isinstance(
                    self._sending_by_attempt.get(row.number), InFlightAttempt
                ):
                    yield OpenAttempt(row.upstream, row.sent_ms)

    def cancel(self) -> None:
        """Cancel every attempt, since the client has disconnected."""
        self._run.completed = True
        self._stop_timer()
        for sending in list(self._sending_by_attempt.values()):
            sending.cancel()
        self._share_crashes()

    def _execute(self, actions: Iterable[RunAction], now_ms: float) -> None:
        for action in actions:
            match action:
                case SendAttempt():
                    self._send(action, now_ms)
                case WithdrawAttempt():
                    self._withdraw(action.attempt)
                case Conclude():
                    self._complete(action, now_ms)
        self._set_timer(now_ms)

    def _send(self, action: SendAttempt, now_ms: float) -> None:
        forwarder = self._forwarder
        key = forwarder.next_key()
        observation = forwarder.planner.observations.of(action.upstream.upstream)
        observation.started(key, now_ms)
        forwarder.log.sent(self._run, action, now_ms)

        if forwarder.planner.gate.take(action.upstream, now_ms):
            self._write(action, key)
            return

        def on_decided(may_send: bool | None) -> None:
            if may_send:
                self._write(action, key)
                return
            end = AttemptEnd.NOT_SENT if may_send is None else AttemptEnd.LIMITED
            detail = "cancelled" if may_send is None else "no token"
            self._ended(action, key, AttemptOutcome(end, detail=detail))

        self._sending_by_attempt[action.attempt] = forwarder.planner.gate.wait(
            action.upstream, self._run.route.rank, on_decided
        )

    def _write(self, action: SendAttempt, key: int) -> None:
        def on_end(outcome: AttemptOutcome) -> None:
            self._ended(action, key, outcome)

        self._sending_by_attempt[action.attempt] = self._forwarder.client.send(
            self._run.request, action, on_end
        )
        self._forwarder.on_attempt()

    def _ended(self, action: SendAttempt, key: int, outcome: AttemptOutcome) -> None:
        forwarder = self._forwarder
        now_ms = forwarder.clock.now_ms()
        del self._sending_by_attempt[action.attempt]
        observations = forwarder.planner.observations
        if forwarder.planner.notices.record(action.upstream, outcome, now_ms):
            forwarder.log.noticed(self._run, action, outcome, now_ms)
        if outcome.ignored:
            forwarder.counts["malformed_headers_ignored"] += 1
            forwarder.log.ignored(self._run, action, outcome, now_ms)
        if forwarder.planner.gate.record(action.upstream, outcome, now_ms):
            forwarder.log.limited(self._run, action, outcome, now_ms)
        was_needed = not self._run.is_complete(action.part)
        end = outcome.end
        forwarder.reach.ended(
            OpenAttempt(action.upstream, self._run.sent_ms(action.attempt)),
            outcome,
            now_ms,
            was_needed,
        )
        if end is AttemptEnd.NOT_SENT and not was_needed:
            # Withdrawn before it was written: not an observation of the upstream.
            observations.of(action.upstream.upstream).withdrawn(key)
        else:
            took_ms = observations.of(action.upstream.upstream).ended(
                key, end, now_ms, outcome.connecting_ms
            )
            has_latency = end in (AttemptEnd.ANSWERED, AttemptEnd.SILENT)
            if took_ms is not None and has_latency:
                forwarder.planner.record_latency(
                    self._run.route, action.upstream, took_ms
                )
        guard = forwarder.planner.guard
        if end in REPLIES and outcome.sent_ms is not None:
            guard.replied(action.upstream, outcome.sent_ms, now_ms)
        self._execute(self._run.ended(action.attempt, outcome, now_ms), now_ms)
        if outcome.is_cut_off:
            self._loop.call_later(
                CLOSING_MS / MILLISECONDS_PER_SECOND, self._after_crash, action.upstream
            )
        forwarder.log.ended(self._run, action, outcome, now_ms)

    def _after_crash(self, upstream: Registration) -> None:
        """Check if an upstream still runs; tell others if its request has no answer."""
        forwarder = self._forwarder
        if forwarder.client.connection_state(upstream) is ConnectionState.IDLE:
            now_ms = forwarder.clock.now_ms()
            incarnation = Incarnation.of(upstream)
            forwarder.planner.guard.disprove(incarnation, now_ms)
        if self._run.completed or self._run.suspicion.is_urgent:
            self._share_crashes()

    def _withdraw(self, attempt: int) -> None:
        sending = self._sending_by_attempt.get(attempt)
        if sending is None:
            return
        if sending.written:
            self._loop.call_later(
                WITHDRAWN_LIMIT_MS / MILLISECONDS_PER_SECOND, sending.cancel
            )
        else:
            sending.cancel()

    def _complete(self, action: Conclude, now_ms: float) -> None:
        self._stop_timer()
        for attempt in list(self._sending_by_attempt):
            self._withdraw(attempt)
        self._forwarder.log.concluded(self._run, action, now_ms)
        if self._run.suspicion.has_crashes:
            wait_s = CLOSING_MS / MILLISECONDS_PER_SECOND
            self._loop.call_later(wait_s, self._share_crashes)
        if not self._done.done():
            self._done.set_result(action.result)

    def _share_crashes(self) -> None:
        keys = self._run.suspicion.unanswered_keys
        now_ms = self._forwarder.clock.now_ms()
        self._forwarder.planner.guard.share(keys, now_ms)

    def _set_timer(self, now_ms: float) -> None:
        due_ms = self._run.next_due_ms
        if due_ms is None:
            self._stop_timer()
            return
        if self._timer is not None and self._timer_due_ms <= due_ms:
            # The timer fires early and is set again then, which costs less than to set
            # it on every event.
            return
        self._stop_timer()
        wait_s = max(0.0, due_ms - now_ms) / MILLISECONDS_PER_SECOND
        self._timer = self._loop.call_later(wait_s, self._tick)
        self._timer_due_ms = due_ms

    def _tick(self) -> None:
        self._timer = None
        now_ms = self._forwarder.clock.now_ms()
        self._execute(self._run.tick(now_ms), now_ms)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
