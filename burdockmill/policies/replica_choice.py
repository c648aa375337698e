"""Choose the upstream that is expected to answer a shard's attempt first.

Load pattern: each upstream stands still for a moment every few seconds, some are
slow or fail for seconds, and a healthy one in another region is far away.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from functools import lru_cache
from typing import TYPE_CHECKING, NamedTuple

from xxhash import xxh3_64_intdigest

from burdockmill.forwarding.messages import ConnectionState

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable, Mapping

    from burdockmill.forwarding.messages import Registration
    from burdockmill.forwarding.observations import Observation, Observations
    from burdockmill.names import DomainId, HostId, UpstreamId

# Expected answer times before an upstream has answered: own domain, region, others.
LOCAL_MS = 12.0
REGION_MS = 14.0
FAR_MS = 45.0
# Hosts differ by up to this much in which of two far upstreams they prefer, so that
# they do not all connect to the same one.
FAR_SPREAD_MS = 5.0
# A failed attempt costs about this long until another upstream has answered.
FAILURE_COST_MS = 120.0
# Cold upstreams take about this many times as long.
COLD_FACTOR = 1.6
# A new connection takes a round trip and the upstream's handshake first.
CONNECT_NEAR_MS = 8.0
CONNECT_FAR_MS = 36.0
# Silence beyond this multiple of the expected time shows a pause or worse.
STALL_FACTOR = 2.0
STALL_FLOOR_MS = 10.0
HASH_VALUES = 2**64
PLACES_KEPT = 8_192
# A departing upstream is the last resort but one, an avoided one the last.
DEPARTING_MS = 1_000.0
AVOIDED_MS = 10_000.0


class Candidate(NamedTuple):
    """Pair an upstream with the time it is expected to need, in milliseconds."""

    registration: Registration
    expected_ms: float


class ReplicaChoice(ABC):
    """Rank the upstreams that could serve an attempt."""

    @abstractmethod
    def rank(
        self,
        replicas: Iterable[Registration],
        passed_over: Collection[UpstreamId],
        is_idempotent: bool,
        now_ms: float,
    ) -> list[Candidate]:
        """Return the usable upstreams, best first."""

    @abstractmethod
    def prior_ms(self, replica: Registration) -> float:
        """Return the time expected of an upstream that has not answered yet."""

    @abstractmethod
    def is_near(self, replica: Registration) -> bool:
        """Tell whether an upstream is in this host's region."""


class ExpectedLatencyChoice(ReplicaChoice):
    """Rank by what latency, load, failures and silence lead to expect."""

    def __init__(
        self,
        host: HostId,
        domain: DomainId,
        region_by_domain: Mapping[DomainId, str],
        observations: Observations,
        departing: Mapping[UpstreamId, float],
        state_of: Callable[[Registration], ConnectionState],
    ) -> None:
        self._host = host
        self._domain = domain
        own = region_by_domain.get(domain, domain)
        self._near_domains = {
            other for other, region in region_by_domain.items() if region == own
        } | {domain}
        self._observations = observations
        self._departing = departing
        self._state_of = state_of

    def rank(
        self,
        replicas: Iterable[Registration],
        passed_over: Collection[UpstreamId],
        is_idempotent: bool,
        now_ms: float,
    ) -> list[Candidate]:
        """Return the usable upstreams, best first."""
        ranked = [
            Candidate(one, self._expected_ms(one, is_idempotent, now_ms))
            for one in replicas
            if not one.draining and one.upstream not in passed_over
        ]
        if len(ranked) > 1:
            ranked.sort(key=lambda candidate: candidate.expected_ms)
        return ranked

    def prior_ms(self, replica: Registration) -> float:
        """Return the time expected of an upstream that has not answered yet."""
        if replica.domain == self._domain:
            return LOCAL_MS
        if self.is_near(replica):
            return REGION_MS
        return FAR_MS + FAR_SPREAD_MS * _place(self._host, replica.upstream)

    def is_near(self, replica: Registration) -> bool:
        """Tell whether an upstream is in this host's region."""
        return replica.domain in self._near_domains

    def _expected_ms(
        self, replica: Registration, is_idempotent: bool, now_ms: float
    ) -> float:
        seen = self._observations.of(replica.upstream)
        base_ms = self._base_ms(replica, seen, now_ms)
        expected_ms = base_ms + self._connecting_ms(replica, base_ms)
        under_way = len(seen.open_since_ms_by_attempt)
        if under_way:
            expected_ms += base_ms * under_way / (2.0 * max(1, replica.slots))
            silent_ms = seen.oldest_ms(now_ms)
            if silent_ms > STALL_FACTOR * base_ms + STALL_FLOOR_MS:
                expected_ms += silent_ms
        expected_ms += FAILURE_COST_MS * seen.failing * seen.faded(now_ms)
        if seen.suspect and (is_idempotent or not seen.may_probe(now_ms)):
            # Copies of idempotent requests find out when it is sound again.
            expected_ms += AVOIDED_MS
        if replica.upstream in self._departing:
            expected_ms += DEPARTING_MS
        return expected_ms

    def _connecting_ms(self, replica: Registration, base_ms: float) -> float:
        """Return the time until an attempt has a connection, in milliseconds."""
        match self._state_of(replica):
            case ConnectionState.IDLE:
                return 0.0
            case ConnectionState.BUSY:
                return base_ms
        return CONNECT_NEAR_MS if self.is_near(replica) else CONNECT_FAR_MS

    def _base_ms(
        self, replica: Registration, seen: Observation, now_ms: float
    ) -> float:
        prior_ms = self.prior_ms(replica)
        if now_ms < seen.cold_until_ms:
            prior_ms *= COLD_FACTOR
        if seen.latency_ms is None:
            return prior_ms
        faded = seen.faded(now_ms)
        return seen.latency_ms * faded + min(prior_ms, seen.latency_ms) * (1.0 - faded)


@lru_cache(maxsize=PLACES_KEPT)
def _place(host: HostId, upstream: UpstreamId) -> float:
    """Return a number from 0 to 1 that is the same for a host and an upstream."""
    return xxh3_64_intdigest(f"{host} {upstream}".encode()) / HASH_VALUES
