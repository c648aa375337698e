"""Bound the attempts beyond each request's first, by service.

Load pattern: a whole service is slow or fails, so that every host wants to hedge
and retry at once. What first attempts earn, and this host's share of a fixed
allowance, keep all hosts together under the operators' ratio in any window.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from burdockmill.forwarding.messages import AttemptKind

if TYPE_CHECKING:
    from burdockmill.names import ServiceId

# Head-room for hosts that this one does not know yet.
SAFE_FRACTION = 0.8
# The part of a full bucket that each kind of repeat leaves to more urgent ones.
RESERVE_BY_KIND = {
    AttemptKind.RETRY: 0.0,
    AttemptKind.HEDGE: 0.2,
    AttemptKind.PROBE: 0.5,
}
# A host that has just started holds this part of its bucket.
START_FRACTION = 0.3


# Hosts that seem gone may be cut off and go on spending.
HOSTS_KEPT_MS = 60_000.0


class RepeatLimits(NamedTuple):
    """Hold the operators' bound: a ratio of requests, and a fixed allowance."""

    ratio: float
    allowance: float


class RepeatBudget:
    """Hold tokens by service; each first attempt earns a part of one."""

    def __init__(self, limits: RepeatLimits) -> None:
        self._limits = limits
        self.hosts = 0
        self._most_hosts = 1
        self._most_until_ms = 0.0
        self._tokens_by_service: dict[ServiceId, float] = {}

    @property
    def capacity(self) -> float:
        """Return how many tokens a service's bucket holds here."""
        return self._limits.allowance * SAFE_FRACTION / self._most_hosts

    def share_among(self, hosts: int, now_ms: float) -> None:
        """Take this host's share among the hosts that may spend in a window."""
        self.hosts = hosts
        if hosts >= self._most_hosts or now_ms >= self._most_until_ms:
            self._most_hosts = max(1, hosts)
        self._most_until_ms = now_ms + HOSTS_KEPT_MS

    def earn(self, service: ServiceId) -> None:
        """Note a request's first attempt at a service."""
        earned = self._tokens(service) + self._limits.ratio * SAFE_FRACTION
        self._tokens_by_service[service] = min(self.capacity, earned)

    def spend(self, service: ServiceId, kind: AttemptKind) -> bool:
        """Pay for one repeat; tell whether the budget allows it."""
        held = self._tokens(service)
        if held < 1.0 or held - 1.0 < RESERVE_BY_KIND[kind] * self.capacity:
            return False
        self._tokens_by_service[service] = held - 1.0
        return True

    def held(self, service: ServiceId) -> float:
        """Return the tokens that a service's bucket holds."""
        return self._tokens(service)

    def keep(self, services: set[ServiceId]) -> None:
        """Forget services that are gone."""
        for service in self._tokens_by_service.keys() - services:
            del self._tokens_by_service[service]

    def _tokens(self, service: ServiceId) -> float:
        start = self.capacity * START_FRACTION
        return min(self.capacity, self._tokens_by_service.get(service, start))
