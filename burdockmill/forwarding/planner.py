"""Decide which upstream an attempt goes to, and whether a repeat is affordable."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from burdockmill.policies.hedge_timing import hedge_delay_ms

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

    from burdockmill.forwarding.messages import AttemptKind, Registration
    from burdockmill.forwarding.observations import Observations
    from burdockmill.forwarding.routes import Route
    from burdockmill.names import ServiceId, UpstreamId
    from burdockmill.policies.repeat_budget import RepeatBudget
    from burdockmill.policies.replica_choice import Candidate, ReplicaChoice


# Upstreams of one region differ in distance by less than this.
NEARER_FACTOR = 1.15


class Choice(NamedTuple):
    """Hold the chosen upstream and what the next best one is expected to need."""

    upstream: Registration
    expected_ms: float
    alternative_ms: float | None


class Planner:
    """Choose upstreams for the runs of all requests of this host."""

    def __init__(
        self,
        replicas_of: Callable[[ServiceId], Iterable[Registration]],
        choice: ReplicaChoice,
        budget: RepeatBudget,
        observations: Observations,
    ) -> None:
        self.budget = budget
        self.observations = observations
        self._replicas_of = replicas_of
        self._choice = choice

    def choose(
        self,
        service: ServiceId,
        passed_over: Collection[UpstreamId],
        is_idempotent: bool,
        now_ms: float,
    ) -> Choice | None:
        """Return the upstream for an attempt, or None when there is none."""
        ranked = self._rank(service, passed_over, is_idempotent, now_ms)
        if not ranked:
            return None
        best = ranked[0]
        alternative_ms = ranked[1].expected_ms if len(ranked) > 1 else None
        return Choice(best.registration, best.expected_ms, alternative_ms)

    def to_probe(
        self, service: ServiceId, chosen: UpstreamId, now_ms: float
    ) -> Registration | None:
        """Return an upstream passed over that a copy of a request may test, if any.

        Those that showed an outage come first, then those that are nearer than the
        chosen one and have not been asked for a while.
        """
        replicas = [one for one in self._replicas_of(service) if not one.draining]
        own_ms = None
        for replica in replicas:
            if replica.upstream == chosen:
                own_ms = self._choice.prior_ms(replica)
            elif self.observations.of(replica.upstream).may_probe(now_ms):
                return replica
        for replica in replicas:
            nearness_ms = NEARER_FACTOR * self._choice.prior_ms(replica)
            if own_ms is None or nearness_ms >= own_ms:
                continue
            if self.observations.of(replica.upstream).is_stale(now_ms):
                return replica
        return None

    def hedge_delay_ms(self, route: Route, choice: Choice, left_ms: float) -> float:
        """Return how long to wait for an attempt before a hedge."""
        is_near = self._choice.is_near(choice.upstream)
        latencies = self.observations.latencies(route.name, is_near)
        alternative_ms = choice.alternative_ms or 0.0
        return hedge_delay_ms(latencies, route.latency_goal_ms, left_ms, alternative_ms)

    def learn_latency(
        self, route: Route, upstream: Registration, took_ms: float
    ) -> None:
        """Note how long an attempt took that was answered."""
        is_near = self._choice.is_near(upstream)
        self.observations.latencies(route.name, is_near).add(took_ms)

    def may_repeat(self, service: ServiceId, kind: AttemptKind, now_ms: float) -> bool:
        """Pay for a repeat; tell whether the budget allows it."""
        return self.budget.spend(service, kind, now_ms)

    def rank_for_search(self, service: ServiceId, now_ms: float) -> list[Candidate]:
        """Return a shard's upstreams as a search would choose them, best first."""
        return self._rank(service, (), True, now_ms)

    def _rank(
        self,
        service: ServiceId,
        passed_over: Collection[UpstreamId],
        is_idempotent: bool,
        now_ms: float,
    ) -> list[Candidate]:
        replicas = self._replicas_of(service)
        return self._choice.rank(replicas, passed_over, is_idempotent, now_ms)
