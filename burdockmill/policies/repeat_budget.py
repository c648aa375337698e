"""Bound the attempts beyond each request's first, by service.

Load pattern: a whole service is slow or fails, so that every host wants to hedge
and retry at once. In any window a host spends what its own requests allow, and its
share of a fixed allowance; together all hosts stay under the operators' bound.
"""

from __future__ import annotations

from collections import Counter, deque
from typing import TYPE_CHECKING, NamedTuple

from burdockmill.forwarding.messages import AttemptKind

if TYPE_CHECKING:
    from burdockmill.names import ServiceId

# A host's own requests are counted exactly; the rest is for clients' rounding.
RATIO_FRACTION = 0.95
# Head-room for hosts that this one does not know yet.
ALLOWANCE_FRACTION = 0.8
# The part of the bound that each kind of repeat may use; the rest is for more
# urgent ones.
USABLE_BY_KIND = {
    AttemptKind.RETRY: 1.0,
    AttemptKind.HEDGE: 0.85,
    AttemptKind.PROBE: 0.5,
}
# A host that has just started may replace one that spent in the same window.
START_FRACTION = 0.5
# Hosts that seem gone may be cut off and go on spending.
HOSTS_KEPT_MS = 60_000.0


class RepeatLimits(NamedTuple):
    """Hold the operators' bound: a ratio of requests, and a fixed allowance.

    Both hold in every span of `window_ms` milliseconds.
    """

    ratio: float
    allowance: float
    window_ms: float


class _Spending:
    """Hold when a service's requests and repeats were sent."""

    __slots__ = ("repeats_ms", "requests_ms")

    def __init__(self) -> None:
        self.requests_ms: deque[float] = deque()
        self.repeats_ms: deque[float] = deque()

    def forget(self, before_ms: float) -> None:
        for times_ms in (self.requests_ms, self.repeats_ms):
            while times_ms and times_ms[0] <= before_ms:
                times_ms.popleft()


class RepeatBudget:
    """Count requests and repeats by service over a sliding window."""

    def __init__(self, limits: RepeatLimits, started_ms: float) -> None:
        self.counts: Counter[str] = Counter()
        self.limits = limits
        self.hosts = 0
        self._most_hosts = 1
        self._most_until_ms = 0.0
        self._started_ms = started_ms
        self._spending_by_service: dict[ServiceId, _Spending] = {}

    def share_among(self, hosts: int, now_ms: float) -> None:
        """Take this host's share among the hosts that may spend in a window."""
        self.hosts = hosts
        if hosts >= self._most_hosts or now_ms >= self._most_until_ms:
            self._most_hosts = max(1, hosts)
        self._most_until_ms = now_ms + HOSTS_KEPT_MS

    def earn(self, service: ServiceId, now_ms: float) -> None:
        """Note a request's first attempt at a service."""
        spending = self._spending_by_service.setdefault(service, _Spending())
        spending.requests_ms.append(now_ms)

    def spend(self, service: ServiceId, kind: AttemptKind, now_ms: float) -> bool:
        """Pay for one repeat; tell whether the budget allows it."""
        if self.left(service, now_ms, USABLE_BY_KIND[kind]) < 1.0:
            self.counts[f"refused_{kind.value}"] += 1
            return False
        self.counts[f"paid_{kind.value}"] += 1
        self._spending_by_service[service].repeats_ms.append(now_ms)
        return True

    def refund(self, service: ServiceId) -> None:
        """Take back the latest repeat that was paid for and never sent."""
        spending = self._spending_by_service.get(service)
        if spending is not None and spending.repeats_ms:
            spending.repeats_ms.pop()
            self.counts["refunded"] += 1

    def left(self, service: ServiceId, now_ms: float, usable: float = 1.0) -> float:
        """Return how many repeats a part of the bound still allows."""
        spending = self._spending_by_service.setdefault(service, _Spending())
        spending.forget(now_ms - self.limits.window_ms)
        allowance = ALLOWANCE_FRACTION * self.limits.allowance / self._most_hosts
        if now_ms - self._started_ms < self.limits.window_ms:
            allowance *= START_FRACTION
        earned = RATIO_FRACTION * self.limits.ratio * len(spending.requests_ms)
        bound = (allowance + earned) * usable
        return bound - len(spending.repeats_ms)

    def keep(self, services: set[ServiceId]) -> None:
        """Forget services that are gone."""
        for service in self._spending_by_service.keys() - services:
            del self._spending_by_service[service]
