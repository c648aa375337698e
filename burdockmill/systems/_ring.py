"""Order the live members of the own domain on a hash ring."""

from __future__ import annotations

from bisect import bisect_right
from typing import TYPE_CHECKING, NamedTuple

from burdockmill.placement import RING_SIZE, live_hosts, readers, ring_position

if TYPE_CHECKING:
    from burdockmill.names import HostId
    from burdockmill.world import World


class RingMember(NamedTuple):
    """Locate a host on the ring."""

    position: int
    host: HostId


class Ring:
    """Order the own domain's members; rebuild when the members' version changes."""

    def __init__(self) -> None:
        self._version = -1
        self._members: list[RingMember] = []
        self._readers: list[HostId] = []

    def members(self, world: World) -> list[RingMember]:
        """Return all members that are not dead, this host included, in ring order."""
        self._rebuild_if_changed(world)
        return self._members

    def readers(self, world: World) -> list[HostId]:
        """Return the domain's platform readers by rank, without other suspects."""
        self._rebuild_if_changed(world)
        rows = world.member_by_host
        return [
            host
            for host in self._readers
            if host == world.host or not rows[host].suspect
        ]

    def successors(self, world: World, count: int) -> list[HostId]:
        """Return up to `count` hosts that follow this one on the ring."""
        members = self.members(world)
        start = bisect_right(members, RingMember(ring_position(world.host), world.host))
        rotated = [*members[start:], *members[:start]]
        return [member.host for member in rotated if member.host != world.host][:count]

    def within(self, world: World, first: int, length: int) -> list[RingMember]:
        """Return the other hosts in `length` positions from `first`, in ring order."""
        members = self.members(world)
        start = bisect_right(members, RingMember(first, ""))
        rotated = [*members[start:], *members[:start]]
        return [
            member
            for member in rotated
            if (member.position - first) % RING_SIZE < length
            and member.host != world.host
        ]

    def _rebuild_if_changed(self, world: World) -> None:
        if self._version == world.members_version:
            return
        self._version = world.members_version
        rows = world.member_by_host
        hosts = world.fleet.hosts_by_domain[world.domain]
        self._members = sorted(
            RingMember(ring_position(host), host) for host in hosts if rows[host].alive
        )
        self._readers = readers(
            live_hosts((rows[host] for host in hosts), world.domain)
        )
