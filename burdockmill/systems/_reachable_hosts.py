"""Count the hosts that this host is in contact with, directly or through its domain."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burdockmill.world import World

# Members are probed every second; without any contact for this long, a host is alone.
CONTACT_TIMEOUT_MS = 3_000.0
# Hosts of a large domain probe others in turn, each less often.
CONTACT_TIMEOUT_PER_HOST_MS = 750.0
COUNT_INTERVAL_MS = 500.0


class ReachableHosts:
    """Count reachable hosts, anew after an interval."""

    def __init__(self) -> None:
        self._count = 1
        self._counted_ms = -math.inf

    def count(self, world: World, now_ms: float) -> int:
        """Return how many hosts accept requests and are reachable, with this one."""
        if now_ms - self._counted_ms >= COUNT_INTERVAL_MS:
            self._counted_ms = now_ms
            self._count = max(1, _count(world, now_ms))
        return self._count


def _count(world: World, now_ms: float) -> int:
    fleet = world.fleet
    started_ms = world.started_ms or 0.0
    if now_ms - max(fleet.last_contact_ms, started_ms) > CONTACT_TIMEOUT_MS:
        return 1
    live_by_domain = dict.fromkeys(fleet.hosts_by_domain, 0)
    for member in world.member_by_host.values():
        live_by_domain[member.domain] += member.alive and not member.leaving
    own = live_by_domain.get(world.domain, 1)
    timeout_ms = max(CONTACT_TIMEOUT_MS, CONTACT_TIMEOUT_PER_HOST_MS * own)
    contact_ms_by_domain = fleet.last_contact_ms_by_domain
    return sum(
        live
        for domain, live in live_by_domain.items()
        if domain == world.domain
        or now_ms - contact_ms_by_domain.get(domain, started_ms) <= timeout_ms
    )
