"""Assign upstreams and roles to hosts by rendezvous hashing over the tables."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from burdockmill.names import DomainId, HostId, UpstreamId
    from burdockmill.tables.rows import MemberRow
    from burdockmill.world import World

READERS_PER_DOMAIN = 3
READER_ROLE = "platform-reader"
RING_SIZE = 1 << 32


def weight(host: HostId, key: str) -> int:
    """Return the rendezvous weight of a host for a key."""
    return xxhash.xxh64_intdigest(f"{host}\x00{key}".encode())


def rendezvous(hosts: Iterable[HostId], key: str) -> HostId | None:
    """Return the host of greatest weight for a key, or None without hosts."""
    return max(hosts, key=lambda host: (weight(host, key), host), default=None)


def live_hosts(members: Iterable[MemberRow], domain: DomainId) -> list[HostId]:
    """Return a domain's hosts that are alive and not leaving."""
    return sorted(
        member.host
        for member in members
        if member.domain == domain and member.alive and not member.leaving
    )


def readers(hosts: Iterable[HostId]) -> list[HostId]:
    """Return the hosts of a domain that read the platform, highest weight first."""
    ranked = sorted(hosts, key=lambda host: (-weight(host, READER_ROLE), host))
    return ranked[:READERS_PER_DOMAIN]


def ring_position(host: HostId) -> int:
    """Return a host's position on the ring, from 0 to RING_SIZE - 1."""
    return xxhash.xxh32_intdigest(host.encode())


class OwnerTable:
    """Cache the owners of upstreams; reassign them when members change."""

    def __init__(self) -> None:
        self._members_version = -1
        self._live_by_domain: dict[DomainId, list[HostId]] = {}
        self._owner_by_upstream: dict[UpstreamId, HostId] = {}
        self._domain_by_upstream: dict[UpstreamId, DomainId] = {}
        self.owner_changes = 0

    def owner_of(self, world: World, upstream: UpstreamId) -> HostId:
        """Return the owner of an upstream.

        That is this host if no rule names the upstream or its domain has no live host.
        """
        if self._members_version != world.members_version:
            self._apply_member_changes(world)
            self._members_version = world.members_version
        rule = world.rules.upstream_by_id.get(upstream) if world.rules else None
        if rule is None:
            return world.host
        owner = self._owner_by_upstream.get(upstream)
        if owner is None or self._domain_by_upstream[upstream] != rule.domain:
            owner = rendezvous(self._live_hosts_of(world, rule.domain), upstream)
            if owner is None:
                return world.host
            self._owner_by_upstream[upstream] = owner
            self._domain_by_upstream[upstream] = rule.domain
        return owner

    def _live_hosts_of(self, world: World, domain: DomainId) -> list[HostId]:
        hosts = self._live_by_domain.get(domain)
        if hosts is None:
            hosts = live_hosts(world.member_by_host.values(), domain)
            self._live_by_domain[domain] = hosts
        return hosts

    def _apply_member_changes(self, world: World) -> None:
        live_by_domain: dict[DomainId, list[HostId]] = {}
        for member in world.member_by_host.values():
            if member.alive and not member.leaving:
                live_by_domain.setdefault(member.domain, []).append(member.host)
        removed: set[HostId] = set()
        added: dict[DomainId, set[HostId]] = {}
        for domain, before in self._live_by_domain.items():
            after = set(live_by_domain.get(domain, ()))
            removed |= set(before) - after
            added[domain] = after - set(before)
        self._live_by_domain = {
            domain: sorted(hosts) for domain, hosts in live_by_domain.items()
        }
        if removed or any(added.values()):
            self._reassign_owners(removed, added)

    def _reassign_owners(
        self, removed: set[HostId], added: dict[DomainId, set[HostId]]
    ) -> None:
        for upstream, owner in list(self._owner_by_upstream.items()):
            new = added.get(self._domain_by_upstream[upstream], ())
            if owner in removed:
                del self._owner_by_upstream[upstream]
                self.owner_changes += 1
            elif new:
                best = rendezvous([owner, *new], upstream)
                if best is not None and best != owner:
                    self._owner_by_upstream[upstream] = best
                    self.owner_changes += 1
