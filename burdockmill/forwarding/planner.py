"""Decide which upstream gets an attempt, and whether the budget allows a repeat."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from burdockmill.forwarding.messages import AttemptKind
from burdockmill.policies.hedge_timing import hedge_delay_ms
from burdockmill.policies.late_admission import MIN_SAMPLES, latency_quantile

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

    from burdockmill.forwarding.crash_guard import CrashGuard
    from burdockmill.forwarding.messages import AttemptOutcome, Registration
    from burdockmill.forwarding.observations import Observations
    from burdockmill.forwarding.room_monitor import RoomMonitor
    from burdockmill.forwarding.routes import Route
    from burdockmill.forwarding.token_gate import TokenGate
    from burdockmill.forwarding.upstream_notices import UpstreamNotices
    from burdockmill.names import DomainId, ServiceId, UpstreamId
    from burdockmill.policies.cost_estimate import RequestClass
    from burdockmill.policies.repeat_budget import RepeatBudget
    from burdockmill.policies.replica_choice import Candidate, ReplicaChoice
    from burdockmill.policies.upstream_eligibility import UpstreamEligibility
    from burdockmill.tables.latency_histogram import LatencyHistogram


# Expected latencies within one region differ by less than this factor.
SAME_REGION_FACTOR = 1.15


class Choice(NamedTuple):
    """Store the chosen upstream, and the expected times of it and of the next best.

    `alternative_ms` is None if there is no other upstream.
    """

    upstream: Registration
    expected_ms: float
    alternative_ms: float | None


class Planner:
    """Choose upstreams for all requests that this host runs."""

    def __init__(
        self,
        replicas_of: Callable[[ServiceId], Iterable[Registration]],
        choice: ReplicaChoice,
        budget: RepeatBudget,
        observations: Observations,
        notices: UpstreamNotices,
        gate: TokenGate,
        guard: CrashGuard,
        eligibility: UpstreamEligibility,
        room: RoomMonitor,
    ) -> None:
        self.budget = budget
        self.room = room
        self.observations = observations
        self.notices = notices
        self.gate = gate
        self.guard = guard
        self._replicas_of = replicas_of
        self._choice = choice
        self.eligibility = eligibility

    def choose(
        self,
        service: ServiceId,
        excluded: Collection[UpstreamId],
        is_idempotent: bool,
        now_ms: float,
        kind: AttemptKind = AttemptKind.FIRST,
        avoided: Collection[DomainId] = (),
        route: Route | None = None,
        request: RequestClass | None = None,
    ) -> Choice | None:
        """Return the best upstream for an attempt, or None if there is none.

        Upstreams of the `avoided` failure domains are chosen only if no other is left.
        """
        ranked = self._rank(service, excluded, is_idempotent, now_ms, route, request)
        if kind is AttemptKind.FIRST and self.gate.limits:
            self._want_tokens(ranked, now_ms)
        ranked = [one for one in ranked if self._may_use(one, kind, now_ms)]
        if not ranked:
            return None
        if avoided:
            ranked.sort(key=lambda one: one.registration.domain in avoided)
        best = ranked[0]
        alternative_ms = ranked[1].total_ms if len(ranked) > 1 else None
        return Choice(best.registration, best.total_ms, alternative_ms)

    def probe_target(
        self,
        service: ServiceId,
        chosen: UpstreamId,
        now_ms: float,
        route: Route | None = None,
    ) -> Registration | None:
        """Return an upstream to probe with a copy of a request, if any.

        Upstreams that had an outage come first, then those that are closer than the
        chosen one and have had no attempt for a while.
        """
        replicas = [
            one
            for one in self._usable(service, route)
            if not one.draining
            and not self.notices.is_leaving(one)
            and self.notices.may_send(one, now_ms)
        ]
        chosen_ms = None
        for replica in replicas:
            if replica.upstream == chosen:
                chosen_ms = self._choice.prior_ms(replica)
            elif self.observations.of(replica.upstream).may_probe(now_ms):
                return replica
        for replica in replicas:
            bound_ms = SAME_REGION_FACTOR * self._choice.prior_ms(replica)
            if chosen_ms is None or bound_ms >= chosen_ms:
                continue
            is_stale = self.observations.of(replica.upstream).is_stale(now_ms)
            if is_stale and not self.gate.is_limited(replica):
                return replica
        return None

    def pause_ms(
        self, service: ServiceId, now_ms: float, route: Route | None = None
    ) -> float:
        """Return after how long a service accepts requests again, in milliseconds.

        It is 0 if any upstream accepts them now, or if none asked for a pause or
        named a limit.
        """
        pauses_ms = (
            max(self.notices.pause_ms(one, now_ms), self.gate.pause_ms(one, now_ms))
            for one in self._usable(service, route)
            if not one.draining and not self.notices.is_leaving(one)
        )
        return min(pauses_ms, default=0.0)

    def hedge_delay_ms(
        self,
        route: Route,
        choice: Choice,
        remaining_ms: float,
        request: RequestClass | None = None,
    ) -> float:
        """Return how long to wait for an answer before a hedge, in milliseconds."""
        is_near = self._choice.is_near(choice.upstream)
        latencies = self.observations.latencies(route.name, is_near)
        alternative_ms = choice.alternative_ms or 0.0
        extra_ms = self.observations.costs.extra_ms(request)
        return hedge_delay_ms(
            latencies, route.latency_goal_ms, remaining_ms, alternative_ms, extra_ms
        )

    def is_too_expensive(
        self, route: Route, request: RequestClass, remaining_ms: float, now_ms: float
    ) -> bool:
        """Return whether a request surely takes longer than the time that is left."""
        return self.observations.costs.is_too_expensive(
            request, self._latencies_of(route), remaining_ms, now_ms
        )

    def attempt_started(
        self, upstream: Registration, attempt: int, request: RequestClass, now_ms: float
    ) -> None:
        """Record that an attempt was sent to an upstream."""
        observation = self.observations.of(upstream.upstream)
        observation.network_ms = self._choice.network_ms(upstream)
        observation.started(attempt, now_ms, self.observations.costs.factor(request))

    def attempt_ended(
        self,
        upstream: Registration,
        attempt: int,
        request: RequestClass,
        outcome: AttemptOutcome,
        now_ms: float,
    ) -> float | None:
        """Record how an attempt ended; return how long it took, in milliseconds."""
        return self.observations.costs.ended(
            self.observations.of(upstream.upstream),
            attempt,
            upstream,
            request,
            outcome,
            now_ms,
            self._choice.is_near(upstream),
        )

    def record_latency(
        self, route: Route, upstream: Registration, took_ms: float
    ) -> None:
        """Record the latency of an attempt for the hedge delays of its route."""
        is_near = self._choice.is_near(upstream)
        self.observations.latencies(route.name, is_near).add(took_ms)

    def usual_latency_ms(self, route: Route) -> float | None:
        """Return what most attempts of a route take at most, None if it is unknown."""
        latencies = [
            one for one in self._latencies_of(route) if one.count >= MIN_SAMPLES
        ]
        fraction = latency_quantile(route.is_idempotent)
        return max((one.quantile(fraction) for one in latencies), default=None)

    def _latencies_of(self, route: Route) -> tuple[LatencyHistogram, ...]:
        """Return the latencies of a route in this region and in the others."""
        return (
            self.observations.latencies(route.name, is_near=True),
            self.observations.latencies(route.name, is_near=False),
        )

    def withdraw_repeat(
        self, service: ServiceId, kind: AttemptKind, now_ms: float, rank: int = 0
    ) -> bool:
        """Withdraw a repeat attempt from the budget; return whether it is allowed."""
        # Without a shortage, what a rank leaves unused would serve nobody.
        is_short = self.room.urgency.is_short(service)
        return self.budget.withdraw(service, kind, now_ms, rank if is_short else 0)

    def record_unplaced(
        self, service: ServiceId, now_ms: float, route: Route | None = None
    ) -> None:
        """Record a request that no upstream takes, since all of them want a pause."""
        if self.pause_ms(service, now_ms, route) > 0.0:
            self.room.unplaced(service, now_ms)

    def rank_for_search(
        self, service: ServiceId, now_ms: float, route: Route | None = None
    ) -> list[Candidate]:
        """Return a shard's upstreams in the order a search prefers them, best first."""
        return self._rank(service, (), True, now_ms, route)

    def _usable(
        self, service: ServiceId, route: Route | None
    ) -> Iterable[Registration]:
        return self.eligibility.select(self._replicas_of(service), route)

    def _want_tokens(self, ranked: list[Candidate], now_ms: float) -> None:
        """Record the upstream that an attempt would use if it had a token."""
        preferred = min(ranked, key=lambda one: one.expected_ms, default=None)
        if preferred is not None:
            self.gate.want(preferred.registration, now_ms)

    def _may_use(self, candidate: Candidate, kind: AttemptKind, now_ms: float) -> bool:
        if kind is AttemptKind.HEDGE:
            return self.gate.has_spare(candidate.registration, now_ms)
        return candidate.token_wait_ms < math.inf

    def _rank(
        self,
        service: ServiceId,
        excluded: Collection[UpstreamId],
        is_idempotent: bool,
        now_ms: float,
        route: Route | None,
        request: RequestClass | None = None,
    ) -> list[Candidate]:
        replicas = self._usable(service, route)
        return self._choice.rank(
            replicas, excluded, is_idempotent, now_ms, route, request
        )
