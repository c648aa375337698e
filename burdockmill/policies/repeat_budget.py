"""Limit the repeat attempts (hedges, retries and probes) of each service.

Load pattern: a whole service is slow or fails, so that every host wants to hedge
and retry at once. In any window a host may send repeat attempts up to a ratio of its
own requests plus its share of a fixed allowance; together all hosts stay under the
operators' limit.
"""

from __future__ import annotations

from collections import Counter, deque
from typing import TYPE_CHECKING, NamedTuple

from burdockmill.forwarding.messages import AttemptKind
from burdockmill.policies.held_host_count import HeldHostCount
from burdockmill.policies.repeat_share import allowance_share

if TYPE_CHECKING:
    from collections.abc import Collection

    from burdockmill.names import ServiceId

# The fraction of the ratio that is used. A host counts its own requests exactly; the
# rest allows for clients' rounding.
RATIO_FRACTION = 0.95
# The fraction of the allowance that is used; the rest is for hosts that this one has
# not discovered yet.
ALLOWANCE_FRACTION = 0.8
# The fraction of the limit that each kind of repeat attempt may use; the rest is
# reserved for more urgent kinds.
USABLE_FRACTION_BY_KIND = {
    AttemptKind.RETRY: 1.0,
    AttemptKind.HEDGE: 0.85,
    AttemptKind.PROBE: 0.5,
}
# The fraction of that which requests of ranks 0, 1, and from 2 on may use, if the
# routes of the configuration have different ranks.
USABLE_FRACTION_BY_RANK = (1.0, 0.85, 0.7)
# A host that has just started may replace one that spent budget in the same window.
STARTUP_FRACTION = 0.5


class RepeatLimits(NamedTuple):
    """Store the operators' limit on the repeat attempts of each service.

    In any window of `window_ms` milliseconds, all hosts together may send `ratio` times
    the service's requests plus `allowance`.
    """

    ratio: float
    allowance: float
    window_ms: float


class SharedAmong(NamedTuple):
    """Store among whom the allowance is divided."""

    hosts: int
    gatherers: int
    is_gatherer: bool


class _SendTimes:
    """Store when a service's requests and repeat attempts were sent."""

    __slots__ = ("repeats_ms", "requests_ms")

    def __init__(self) -> None:
        self.requests_ms: deque[float] = deque()
        self.repeats_ms: deque[float] = deque()

    def discard_until(self, end_ms: float) -> None:
        for times_ms in (self.requests_ms, self.repeats_ms):
            while times_ms and times_ms[0] <= end_ms:
                times_ms.popleft()


class RepeatBudget:
    """Count requests and repeat attempts by service over a sliding window."""

    def __init__(self, limits: RepeatLimits, started_ms: float) -> None:
        self.counts: Counter[str] = Counter()
        self.limits = limits
        self.has_ranks = False
        self._held_hosts = HeldHostCount()
        self._held_gatherers = HeldHostCount()
        self._has_gatherers = False
        self.shared_among: SharedAmong | None = None
        self._started_ms = started_ms
        self._times_by_service: dict[ServiceId, _SendTimes] = {}

    def share_among(
        self,
        hosts: int,
        now_ms: float,
        gatherers: int = 0,
        is_gatherer: bool = False,
    ) -> None:
        """Divide the allowance among the hosts that may spend it in the same window.

        Those that gather the searches of others have larger shares.
        """
        self.shared_among = SharedAmong(hosts, gatherers, is_gatherer)
        self._held_hosts.update(hosts, now_ms)
        if gatherers or self._has_gatherers:
            self._has_gatherers = True
            self._held_gatherers.update(gatherers, now_ms)

    def deposit(self, service: ServiceId, now_ms: float) -> None:
        """Record a request's first attempt, which raises the service's budget."""
        times = self._times_by_service.setdefault(service, _SendTimes())
        # A service that is never repeated is never asked for what remains.
        times.discard_until(now_ms - self.limits.window_ms)
        times.requests_ms.append(now_ms)

    def withdraw(
        self, service: ServiceId, kind: AttemptKind, now_ms: float, rank: int = 0
    ) -> bool:
        """Withdraw a repeat attempt from the budget; return whether it is allowed."""
        if self.remaining(service, now_ms, self._usable(kind, rank)) < 1.0:
            self.counts[f"refused_{kind.value}"] += 1
            return False
        self.counts[f"paid_{kind.value}"] += 1
        self._times_by_service[service].repeats_ms.append(now_ms)
        return True

    def withdraw_all(
        self,
        services: Collection[ServiceId],
        kind: AttemptKind,
        now_ms: float,
        rank: int = 0,
    ) -> bool:
        """Withdraw a repeat for each service, or none; return whether it is allowed."""
        usable = self._usable(kind, rank)
        if any(self.remaining(one, now_ms, usable) < 1.0 for one in services):
            self.counts[f"refused_{kind.value}"] += 1
            return False
        return all(self.withdraw(one, kind, now_ms, rank) for one in services)

    def _usable(self, kind: AttemptKind, rank: int) -> float:
        usable = USABLE_FRACTION_BY_KIND[kind]
        if not self.has_ranks:
            return usable
        last = len(USABLE_FRACTION_BY_RANK) - 1
        return usable * USABLE_FRACTION_BY_RANK[min(max(0, rank), last)]

    def refund(self, service: ServiceId) -> None:
        """Return the latest repeat attempt to the budget, since it was never sent."""
        times = self._times_by_service.get(service)
        if times is not None and times.repeats_ms:
            times.repeats_ms.pop()
            self.counts["refunded"] += 1

    def remaining(
        self, service: ServiceId, now_ms: float, usable_fraction: float = 1.0
    ) -> float:
        """Return how many repeats `usable_fraction` of the limit still allows."""
        times = self._times_by_service.setdefault(service, _SendTimes())
        times.discard_until(now_ms - self.limits.window_ms)
        allowance = allowance_share(
            ALLOWANCE_FRACTION * self.limits.allowance,
            self._held_hosts.greatest,
            self._held_gatherers.greatest if self._has_gatherers else 0,
            self.shared_among is not None and self.shared_among.is_gatherer,
        )
        if now_ms - self._started_ms < self.limits.window_ms:
            allowance *= STARTUP_FRACTION
        ratio_share = RATIO_FRACTION * self.limits.ratio * len(times.requests_ms)
        bound = (allowance + ratio_share) * usable_fraction
        return bound - len(times.repeats_ms)

    def retain_only(self, services: set[ServiceId]) -> None:
        """Remove the services that are not among `services`."""
        for service in self._times_by_service.keys() - services:
            del self._times_by_service[service]
