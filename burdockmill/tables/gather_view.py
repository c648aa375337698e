"""Store which hosts gather searches, derived from the members."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.policies.gather_hosts import gather_hosts

if TYPE_CHECKING:
    from burdockmill.names import DomainId, HostId
    from burdockmill.world import World


class GatherView:
    """Derive the gathering hosts of each failure domain; cached until members change.

    `live_count` is how many of them accept requests.
    """

    def __init__(self, world: World) -> None:
        self._world = world
        self._version = -1
        self._hosts_by_domain: dict[DomainId, frozenset[HostId]] = {}
        self._live_count = 0

    def hosts_of(self, domain: DomainId) -> frozenset[HostId]:
        """Return the hosts that gather searches for a failure domain."""
        self._update()
        return self._hosts_by_domain.get(domain, frozenset())

    @property
    def live_count(self) -> int:
        """Return how many gathering hosts of all failure domains accept requests."""
        self._update()
        return self._live_count

    @property
    def is_gatherer(self) -> bool:
        """Return whether this host gathers searches for others."""
        return self._world.host in self.hosts_of(self._world.domain)

    def _update(self) -> None:
        world = self._world
        if self._version == world.members_version:
            return
        self._version = world.members_version
        row_by_host = world.member_by_host
        self._hosts_by_domain = {
            domain: gather_hosts([row_by_host[host] for host in hosts])
            for domain, hosts in world.fleet.hosts_by_domain.items()
        }
        self._live_count = sum(
            row_by_host[host].alive and not row_by_host[host].leaving
            for hosts in self._hosts_by_domain.values()
            for host in hosts
        )
