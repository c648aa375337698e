"""Summarize the fleet as one host sees it, for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from burdockmill.placement import live_hosts, readers

if TYPE_CHECKING:
    from burdockmill.names import DomainId, HostId, Revision, UpstreamId
    from burdockmill.world import World


class DomainStatus(NamedTuple):
    """Count a domain's members, and name those that read the platform, as seen here.

    `heard_ms_ago` is the time since this host last heard from any of the members.
    """

    domain: DomainId
    alive: int
    suspect: int
    leaving: int
    dead: int
    readers: tuple[HostId, ...]
    heard_ms_ago: float | None


class FleetStatus(NamedTuple):
    """Describe the active rules with their age and source, and the members."""

    host: HostId
    domain: DomainId
    incarnation: int
    revision: Revision
    active_for_ms: float
    active_source: str
    newest_revision_seen: Revision
    refused_revision: Revision
    refused_problems: tuple[str, ...]
    list_version: int
    is_reader: bool
    refreshing: bool
    domains: tuple[DomainStatus, ...]
    leaving_upstreams: tuple[UpstreamId, ...]


def fleet_status(world: World, now_ms: float) -> FleetStatus:
    """Return the status of the fleet as this host sees it."""
    fleet = world.fleet
    own = world.member_by_host.get(world.host)
    domains = sorted({row.domain for row in world.member_by_host.values()})
    statuses = tuple(_domain_status(world, domain, now_ms) for domain in domains)
    own_readers = [
        status.readers for status in statuses if status.domain == world.domain
    ]
    revision = world.rules.revision if world.rules else 0
    return FleetStatus(
        host=world.host,
        domain=world.domain,
        incarnation=own.incarnation if own else 0,
        revision=revision,
        active_for_ms=now_ms - fleet.active_since_ms if revision else 0.0,
        active_source=fleet.active_source,
        newest_revision_seen=max(fleet.newest_seen, revision),
        refused_revision=fleet.refused_revision,
        refused_problems=fleet.refused_problems,
        list_version=fleet.listed.version,
        is_reader=any(world.host in hosts for hosts in own_readers),
        refreshing=fleet.refreshing,
        domains=statuses,
        leaving_upstreams=_leaving_upstreams(world),
    )


def _domain_status(world: World, domain: DomainId, now_ms: float) -> DomainStatus:
    rows = [row for row in world.member_by_host.values() if row.domain == domain]
    last_contact_ms = world.fleet.last_contact_ms_by_domain.get(domain)
    return DomainStatus(
        domain,
        alive=sum(row.alive and not row.leaving and not row.suspect for row in rows),
        suspect=sum(row.alive and row.suspect for row in rows),
        leaving=sum(row.alive and row.leaving for row in rows),
        dead=sum(not row.alive for row in rows),
        readers=tuple(readers(live_hosts(rows, domain))),
        heard_ms_ago=None if last_contact_ms is None else now_ms - last_contact_ms,
    )


def _leaving_upstreams(world: World) -> tuple[UpstreamId, ...]:
    leaving = set(world.rules.leaving_by_upstream) if world.rules else set()
    draining = {row.upstream for row in world.upstream_by_id.values() if row.draining}
    return tuple(sorted(leaving | draining))
