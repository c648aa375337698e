"""Forward requests: find their routes, and run them here or by another host."""

from __future__ import annotations

import asyncio
from collections import Counter
from itertools import count
from typing import TYPE_CHECKING

from burdockmill.errors import (
    BurdockmillError,
    NotReadyError,
    StoppingError,
    UnknownRouteError,
)
from burdockmill.forwarding.messages import AttemptEnd, AttemptOutcome
from burdockmill.forwarding.request_run import RequestRun
from burdockmill.forwarding.run_executor import RunExecutor
from burdockmill.forwarding.upstream_notices import Incarnation
from burdockmill.policies.late_admission import (
    RETRY_AFTER_MS,
    LateRequest,
    StopTimes,
    may_finish,
)
from burdockmill.relay.gathered_run import GatheredRun

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from burdockmill.clients.forwarding_client import ForwardingClient
    from burdockmill.clients.relay_client import RelayClient
    from burdockmill.clock import Clock
    from burdockmill.forwarding.merge_policy import MergePolicy
    from burdockmill.forwarding.messages import (
        ForwardedRequest,
        MergedAnswer,
        UpstreamAnswer,
    )
    from burdockmill.forwarding.planner import Planner
    from burdockmill.forwarding.reach_monitor import OpenAttempt, ReachMonitor
    from burdockmill.forwarding.request_log import RequestLog
    from burdockmill.forwarding.routes import Route
    from burdockmill.forwarding.silence_monitor import SilenceMonitor
    from burdockmill.forwarding.weighted_choice import WeightedChoices
    from burdockmill.names import ServiceId
    from burdockmill.relay.gather_choice import GatherChoice
    from burdockmill.relay.relay_planner import RelayPlanner
    from burdockmill.relay.upstream_facts import UpstreamFact
    from burdockmill.tables.catalog import Catalog

    Result = UpstreamAnswer | MergedAnswer

# Retry time for clients of a host that has no configuration yet.
RETRY_AFTER_START_MS = 100


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
        relay_planner: RelayPlanner,
        relay_client: RelayClient,
        silence: SilenceMonitor,
        gather: GatherChoice,
    ) -> None:
        self.counts: Counter[str] = Counter()
        self.open_runs: set[RunExecutor] = set()
        self.clock = clock
        self.planner = planner
        self.client = client
        self.log = log
        self.reach = reach
        self.on_attempt = on_attempt
        self.relay_planner = relay_planner
        self.relay_client = relay_client
        self.stop_times: StopTimes | None = None
        self.silence = silence
        self.gather = gather
        self._catalog = catalog
        self._keys = count()
        self._choices = choices
        self._merge = merge

    def next_key(self) -> int:
        """Return a number that identifies an attempt on this host."""
        return next(self._keys)

    async def forward(
        self,
        request: ForwardedRequest,
        attempts_limit: int | None = None,
        facts: list[UpstreamFact] | None = None,
    ) -> Result:
        """Return a request's answer; raise a BurdockmillError if there is none.

        `attempts_limit` replaces that of the route. To `facts` is added what upstreams
        state of themselves meanwhile.
        """
        route = self.route_of(request)
        if self.stop_times is not None:
            request = self._admit_late(request, route, self.stop_times)
        if attempts_limit is not None:
            route = route._replace(attempts_limit=attempts_limit)
        run = RequestRun(
            request, route, self._services_of(route), self.planner, self._merge
        )
        handover = GatheredRun(run, self.relay_planner, self.gather)
        executor = RunExecutor(self, handover, facts)
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

    def answer_all(self) -> None:
        """Answer each open request now: the host ends before its upstreams may."""
        for executor in list(self.open_runs):
            executor.answer_now()

    def learn(
        self, facts: Iterable[UpstreamFact], sent_ms: float, now_ms: float
    ) -> None:
        """Learn what upstreams stated to a host that was asked at `sent_ms`.

        A pause is not among the facts, as an upstream asks it of one host alone.
        """
        planner = self.planner
        registered = self._catalog.registration_by_upstream
        for fact in facts:
            incarnation = Incarnation(fact["upstream"], fact["started_ms"])
            if fact.get("is_leaving", False):
                is_new = planner.notices.record_leaving(incarnation, now_ms)
                self.counts["leaving_noticed_elsewhere"] += is_new
            upstream = registered.get(incarnation.upstream)
            if upstream is None or Incarnation.of(upstream) != incarnation:
                continue
            planner.guard.replied(upstream, sent_ms, now_ms)
            if (limit_per_s := fact.get("limit_per_s")) is not None:
                stated = AttemptOutcome(
                    AttemptEnd.ANSWERED, limit_per_s=limit_per_s, sent_ms=sent_ms
                )
                is_new = planner.gate.record(upstream, stated, now_ms)
                self.counts["limits_noticed_elsewhere"] += is_new

    def open_attempts(self) -> Iterable[OpenAttempt]:
        """Return the attempts in flight of requests that wait for their answers."""
        for executor in self.open_runs:
            yield from executor.open_attempts()

    def fell_silent(
        self, incarnation: Incarnation, since_ms: float, now_ms: float
    ) -> None:
        """Let requests take account of an upstream that fell silent under them."""
        for executor in list(self.open_runs):
            executor.fell_silent(incarnation, since_ms, now_ms)

    def reconsider(self) -> None:
        """Let requests take another way, since this host learned who reaches what."""
        for executor in list(self.open_runs):
            executor.reconsider()

    def route_of(self, request: ForwardedRequest) -> Route:
        """Return a request's route; raise NotReadyError or UnknownRouteError."""
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

    def _admit_late(
        self, request: ForwardedRequest, route: Route, stop: StopTimes
    ) -> ForwardedRequest:
        """Return a request to end in time; raise StoppingError if it cannot."""
        now_ms = self.clock.now_ms()
        final_ms = min(request.deadline_ms, request.received_ms + route.timeout_ms)
        upstream_ms = self.planner.usual_latency_ms(route)
        late = LateRequest(now_ms, final_ms, route.is_idempotent, upstream_ms)
        if not may_finish(late, stop):
            self.counts["refused_late"] += 1
            raise StoppingError(
                "This host stops before the request could be answered.",
                retry_after_ms=RETRY_AFTER_MS,
            )
        return request._replace(deadline_ms=min(request.deadline_ms, stop.answered_ms))

    def _services_of(self, route: Route) -> tuple[ServiceId, ...]:
        if route.shards is not None:
            return route.shards.services
        return (self._choices.service_of(route),)
