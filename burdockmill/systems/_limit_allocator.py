"""Choose the host that allocates the limit of an upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.placement import live_hosts, weight

if TYPE_CHECKING:
    from burdockmill.forwarding.upstream_notices import Incarnation
    from burdockmill.names import HostId
    from burdockmill.tables.upstream_limits import LimitRow
    from burdockmill.world import World

# The next hosts in rank take over while the first is suspected to be down.
CANDIDATES = 3


class LimitAllocator:
    """Cache the first live hosts in rank for each limited upstream."""

    def __init__(self) -> None:
        self._members_version = -1
        self._candidates_by_incarnation: dict[Incarnation, list[HostId]] = {}

    def host_of(
        self, world: World, incarnation: Incarnation, row: LimitRow
    ) -> HostId | None:
        """Return the host that allocates a limit, as this host sees the fleet."""
        if self._members_version != world.members_version:
            self._members_version = world.members_version
            self._candidates_by_incarnation.clear()
        candidates = self._candidates_by_incarnation.get(incarnation)
        if candidates is None:
            candidates = _candidates(world, incarnation, row)
            self._candidates_by_incarnation[incarnation] = candidates
        rows = world.member_by_host
        sound = (host for host in candidates if not rows[host].suspect)
        return next(sound, candidates[0] if candidates else None)


def _candidates(world: World, incarnation: Incarnation, row: LimitRow) -> list[HostId]:
    """Return the first hosts in rank, of the upstream's domain if any is live."""
    members = world.member_by_host.values()
    hosts = live_hosts(members, row.domain) or [
        member.host for member in members if member.alive and not member.leaving
    ]
    upstream = incarnation.upstream
    hosts.sort(key=lambda host: (-weight(host, upstream), host))
    return hosts[:CANDIDATES]
