"""Choose the upstream that is expected to answer a shard's attempt first.

Load pattern: each upstream pauses briefly every few seconds, some are slow or fail
for seconds, and a healthy one in another region has a high network latency. Requests of
one service take ten times as long as those of another, so that an upstream without
recent answers is compared by what the others of its service take.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from functools import lru_cache
from typing import TYPE_CHECKING, NamedTuple

from xxhash import xxh3_64_intdigest

from burdockmill.forwarding.attempt_costs import (
    SAME_DOMAIN_NETWORK_MS,
    SAME_REGION_NETWORK_MS,
)
from burdockmill.forwarding.messages import ConnectionState

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable, Mapping

    from burdockmill.forwarding.messages import Registration
    from burdockmill.forwarding.observations import Observation, Observations
    from burdockmill.forwarding.routes import Route
    from burdockmill.forwarding.token_gate import TokenGate
    from burdockmill.forwarding.upstream_notices import UpstreamNotices
    from burdockmill.names import DomainId, HostId, UpstreamId
    from burdockmill.policies.cost_estimate import RequestClass

# Expected latencies of an upstream that has not answered yet, by its location.
SAME_DOMAIN_PRIOR_MS = 12.0
SAME_REGION_PRIOR_MS = 14.0
OTHER_REGION_PRIOR_MS = 45.0
# Hosts differ by up to this much in which of two upstreams in other regions they
# prefer, so that they do not all connect to the same one.
HOST_PREFERENCE_MS = 5.0
# After a failed attempt, an answer from another upstream takes about this much longer.
FAILURE_COST_MS = 120.0
# An upstream that has just started takes about this many times as long.
COLD_FACTOR = 1.6
# Opening a connection takes a round trip and the upstream's handshake.
SAME_REGION_CONNECT_MS = 8.0
OTHER_REGION_CONNECT_MS = 36.0
# No response for more than this multiple of the expected time indicates a pause or
# an outage.
STALL_FACTOR = 2.0
STALL_FLOOR_MS = 10.0
# Hosts differ by up to this fraction of a request's work in which of two upstreams they
# prefer by their stated loads, so that they do not all send to the emptiest one.
LOAD_PREFERENCE = 0.2
# An empty queue takes at most this fraction of a request's work off its latency.
LEAST_QUEUE = -0.5
# More slots are malformed; a host of an older build may pass them on.
SLOTS_LIMIT = 1_000_000
# The network is at most this fraction of an expected latency.
NETWORK_FRACTION = 0.9
HASH_VALUES = 2**64
PREFERENCE_CACHE_SIZE = 8_192
# Penalties: a departing upstream is chosen only if all others are avoided, an avoided
# one only if there is no other, and one that said it is leaving after all of these.
DEPARTING_PENALTY_MS = 1_000.0
AVOIDED_PENALTY_MS = 10_000.0
LEAVING_PENALTY_MS = 20_000.0


class Candidate(NamedTuple):
    """Store an upstream and its expected latency in milliseconds.

    `token_wait_ms` is the expected wait for a token if it is limited; it is infinite if
    no token is expected soon.
    """

    registration: Registration
    expected_ms: float
    token_wait_ms: float = 0.0

    @property
    def total_ms(self) -> float:
        """Return the expected time until the answer."""
        return self.expected_ms + self.token_wait_ms


class ReplicaChoice(ABC):
    """Rank the upstreams that could serve an attempt."""

    @abstractmethod
    def rank(
        self,
        replicas: Iterable[Registration],
        excluded: Collection[UpstreamId],
        is_idempotent: bool,
        now_ms: float,
        route: Route | None = None,
        request: RequestClass | None = None,
    ) -> list[Candidate]:
        """Return the usable upstreams, best first."""

    @abstractmethod
    def prior_ms(self, replica: Registration) -> float:
        """Return the time expected of an upstream by its location alone."""

    @abstractmethod
    def network_ms(self, replica: Registration) -> float:
        """Return the expected round trip to an upstream, without any work."""

    @abstractmethod
    def is_near(self, replica: Registration) -> bool:
        """Return whether an upstream is in this host's region."""


class ExpectedLatencyChoice(ReplicaChoice):
    """Rank by expected latency: past latency, load, failures and missing responses."""

    def __init__(
        self,
        host: HostId,
        domain: DomainId,
        region_by_domain: Mapping[DomainId, str],
        observations: Observations,
        departing: Mapping[UpstreamId, float],
        notices: UpstreamNotices,
        state_of: Callable[[Registration], ConnectionState],
        gate: TokenGate,
    ) -> None:
        self._host = host
        self._domain = domain
        own_region = region_by_domain.get(domain, domain)
        self._same_region_domains = {
            other for other, region in region_by_domain.items() if region == own_region
        } | {domain}
        self._observations = observations
        self._departing = departing
        self._notices = notices
        self._state_of = state_of
        self._gate = gate

    def rank(
        self,
        replicas: Iterable[Registration],
        excluded: Collection[UpstreamId],
        is_idempotent: bool,
        now_ms: float,
        route: Route | None = None,
        request: RequestClass | None = None,
    ) -> list[Candidate]:
        """Return the usable upstreams, best first."""
        replicas = list(replicas)
        extra_work_ms = self._extra_work_ms(replicas)
        factor = self._observations.costs.factor(request)
        ranked = [
            Candidate(
                one,
                self._expected_ms(one, extra_work_ms, factor, is_idempotent, now_ms),
                self._gate.wait_ms(one, now_ms),
            )
            for one in replicas
            if not one.draining
            and one.upstream not in excluded
            and self._notices.may_send(one, now_ms)
        ]
        if len(ranked) > 1:
            ranked.sort(key=lambda candidate: candidate.total_ms)
        return ranked

    def prior_ms(self, replica: Registration) -> float:
        """Return the time expected of an upstream by its location alone."""
        if replica.domain == self._domain:
            return SAME_DOMAIN_PRIOR_MS
        if self.is_near(replica):
            return SAME_REGION_PRIOR_MS
        return OTHER_REGION_PRIOR_MS + HOST_PREFERENCE_MS * _preference(
            self._host, replica.upstream
        )

    def network_ms(self, replica: Registration) -> float:
        """Return the expected round trip to an upstream, without any work."""
        if replica.domain == self._domain:
            return SAME_DOMAIN_NETWORK_MS
        if self.is_near(replica):
            return SAME_REGION_NETWORK_MS
        return self._observations.costs.network_ms(replica.domain)

    def is_near(self, replica: Registration) -> bool:
        """Return whether an upstream is in this host's region."""
        return replica.domain in self._same_region_domains

    def _extra_work_ms(self, replicas: Iterable[Registration]) -> float:
        """Return how much longer a service takes than the priors assume, at least 0.

        The replica that took least beyond its location's prior decides, since others
        may be slow.
        """
        extra_ms = min(
            (
                observation.latency_ms - self.prior_ms(replica)
                for replica in replicas
                if (observation := self._observations.of(replica.upstream)).latency_ms
                is not None
            ),
            default=0.0,
        )
        return max(0.0, extra_ms)

    def _expected_ms(
        self,
        replica: Registration,
        extra_work_ms: float,
        factor: float,
        is_idempotent: bool,
        now_ms: float,
    ) -> float:
        observation = self._observations.of(replica.upstream)
        usual_ms = self._base_ms(replica, observation, extra_work_ms, now_ms)
        network_ms = min(self.network_ms(replica), NETWORK_FRACTION * usual_ms)
        work_ms = usual_ms - network_ms
        pace = observation.load.pace(now_ms)
        base_ms = usual_ms + (factor * pace - 1.0) * work_ms
        expected_ms = base_ms + self._connecting_ms(replica, base_ms)
        expected_ms += self._queue_ms(replica, observation, usual_ms, work_ms, now_ms)
        if observation.open_since_ms_by_attempt:
            oldest_wait_ms = observation.oldest_ms(now_ms)
            scale = max(1.0, observation.open_work.oldest * pace)
            oldest_ms = usual_ms + (scale - 1.0) * work_ms
            if oldest_wait_ms > STALL_FACTOR * oldest_ms + STALL_FLOOR_MS:
                expected_ms += oldest_wait_ms
        expected_ms += (
            FAILURE_COST_MS * observation.failing * observation.weight(now_ms)
        )
        if observation.suspect and (is_idempotent or not observation.may_probe(now_ms)):
            # Probes, copies of idempotent requests, detect when it is healthy again.
            expected_ms += AVOIDED_PENALTY_MS
        if replica.upstream in self._departing:
            expected_ms += DEPARTING_PENALTY_MS
        if self._notices.is_leaving(replica):
            expected_ms += LEAVING_PENALTY_MS
        return expected_ms

    def _queue_ms(
        self,
        replica: Registration,
        observation: Observation,
        usual_ms: float,
        work_ms: float,
        now_ms: float,
    ) -> float:
        """Return the expected wait for a slot, by own attempts and the stated load.

        A stated load replaces what own attempts show, as far as it is recent.
        """
        own_work = observation.open_work.total
        slots = max(1, min(replica.slots, SLOTS_LIMIT))
        own_ms = usual_ms / 2.0 * (own_work / slots)
        weight, ahead = observation.load.queue(own_work, now_ms)
        if not weight:
            return own_ms
        ahead += LOAD_PREFERENCE * _preference(self._host, replica.upstream)
        pace = observation.load.pace(now_ms)
        # Less than usual saves at most the wait that the latency contains.
        stated_ms = max(ahead * pace, LEAST_QUEUE) * work_ms
        return (1.0 - weight) * own_ms + weight * stated_ms

    def _connecting_ms(self, replica: Registration, base_ms: float) -> float:
        """Return the expected wait of an attempt for a connection, in milliseconds."""
        match self._state_of(replica):
            case ConnectionState.IDLE:
                return 0.0
            case ConnectionState.BUSY:
                return base_ms
        return (
            SAME_REGION_CONNECT_MS if self.is_near(replica) else OTHER_REGION_CONNECT_MS
        )

    def _base_ms(
        self,
        replica: Registration,
        observation: Observation,
        extra_work_ms: float,
        now_ms: float,
    ) -> float:
        prior_ms = self.prior_ms(replica) + extra_work_ms
        if now_ms < observation.cold_until_ms:
            prior_ms *= COLD_FACTOR
        if observation.latency_ms is None:
            return prior_ms
        faded = observation.weight(now_ms)
        return observation.latency_ms * faded + min(
            prior_ms, observation.latency_ms
        ) * (1.0 - faded)


@lru_cache(maxsize=PREFERENCE_CACHE_SIZE)
def _preference(host: HostId, upstream: UpstreamId) -> float:
    """Return a number from 0 to 1, fixed for each pair of host and upstream."""
    return xxh3_64_intdigest(f"{host} {upstream}".encode()) / HASH_VALUES
