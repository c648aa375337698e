"""Apply member and upstream updates; the higher incarnation or version wins."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.messages.events import UpdatesApplied
from burdockmill.messages.fleet import (
    GossipUpdates,
    HoldingsNews,
    MemberStatus,
    MemberUpdate,
)
from burdockmill.placement import live_hosts, rendezvous
from burdockmill.tables.hash_tree import NO_DIGEST, digest_of
from burdockmill.tables.rows import MemberRow, UpstreamRow

if TYPE_CHECKING:
    from burdockmill.names import DomainId, HostId, UpstreamId
    from burdockmill.world import World

PRECEDENCE_BY_STATUS = {
    MemberStatus.ALIVE: 0,
    MemberStatus.SUSPECT: 1,
    MemberStatus.LEAVING: 2,
    MemberStatus.DEAD: 3,
}


def status_of(row: MemberRow) -> MemberStatus:
    """Return the status that the flags of a row stand for."""
    if not row.alive:
        return MemberStatus.DEAD
    if row.leaving:
        return MemberStatus.LEAVING
    return MemberStatus.SUSPECT if row.suspect else MemberStatus.ALIVE


def member_update(row: MemberRow) -> MemberUpdate:
    """Return the gossip update that describes a member's row."""
    return MemberUpdate(
        row.host,
        row.domain,
        row.region,
        row.peer_address,
        row.incarnation,
        status_of(row),
        row.processor_cores,
    )


def supersedes(update: MemberUpdate, row: MemberRow | None) -> bool:
    """Return whether an update has a higher precedence than a row, or there is no row.

    The order is total and the same on all hosts, so that their tables converge.
    """
    if row is None:
        return True
    current = member_update(row)
    return _precedence(update) > _precedence(current)


def apply_member_update(world: World, update: MemberUpdate, now_ms: float) -> bool:
    """Write an update that supersedes its row; return whether it did."""
    previous = world.member_by_host.get(update.host)
    if previous is not None and _completes(update, previous):
        # A host of an earlier build passed the update on without it.
        previous = previous._replace(processor_cores=update.processor_cores)
        write_member(world, previous, now_ms)
    if not supersedes(update, previous):
        return False
    row = MemberRow(
        update.host,
        update.domain,
        update.region,
        update.peer_address,
        leaving=update.status is MemberStatus.LEAVING,
        alive=update.status is not MemberStatus.DEAD,
        incarnation=update.incarnation,
        suspect=update.status is MemberStatus.SUSPECT,
        processor_cores=update.processor_cores,
    )
    write_member(world, row, now_ms)
    return True


def _completes(update: MemberUpdate, row: MemberRow) -> bool:
    is_known = row.processor_cores > 0.0 or update.incarnation != row.incarnation
    return update.processor_cores > 0.0 and not is_known


def write_member(world: World, row: MemberRow, now_ms: float) -> None:
    """Write a row, and update the digests and versions derived from it."""
    previous = world.member_by_host.get(row.host)
    fleet = world.fleet
    if previous is not None and previous.domain != row.domain:
        _remove_from_domain(world, previous)
    world.member_by_host[row.host] = row
    fleet.hosts_by_domain[row.domain].add(row.host)
    fleet.members_by_domain[row.domain].set_digest(row.host, _member_digest(row))
    fleet.changed_ms_by_domain[row.domain] = now_ms
    if previous is None or _placement_key(previous) != _placement_key(row):
        world.members_version += 1


def remove_member(world: World, host: HostId) -> None:
    """Remove a member's row and its entries in the indexes of its domain."""
    row = world.member_by_host.pop(host, None)
    if row is not None:
        _remove_from_domain(world, row)
        world.fleet.last_contact_ms_by_host.pop(host, None)
        world.members_version += 1


def apply_holdings_update(world: World, update: HoldingsNews, now_ms: float) -> bool:
    """Write an update that supersedes the upstream's row; return whether it did."""
    row = world.upstream_by_id.get(update.upstream)
    if row is None or _holdings_precedence(update) <= _holdings_precedence(
        holdings_update(row)
    ):
        return False
    updated = row._replace(
        snapshots=tuple(update.snapshots),
        reported_draining=update.draining,
        incarnation=update.incarnation,
        version=update.version,
        reachable=True,
    )
    write_upstream(world, updated, now_ms)
    return True


def holdings_update(row: UpstreamRow) -> HoldingsNews:
    """Return the gossip update that describes an upstream's row."""
    return HoldingsNews(
        row.upstream, row.version, row.incarnation, row.snapshots, row.reported_draining
    )


def write_upstream(world: World, row: UpstreamRow, now_ms: float) -> None:
    """Write a row, and update the digests and versions derived from it."""
    previous = world.upstream_by_id.get(row.upstream)
    row = row._replace(draining=row.reported_draining or row.listed)
    world.upstream_by_id[row.upstream] = row
    domain = domain_of(world, row.upstream)
    if domain is not None and (previous is None or previous.version != row.version):
        # The digest covers the class and field names of the update: hosts with other
        # names would compute other digests and sync again and again.
        digest = digest_of(repr(holdings_update(row))) if row.version else NO_DIGEST
        world.fleet.holdings_by_domain[domain].set_digest(row.upstream, digest)
        world.fleet.changed_ms_by_domain[domain] = now_ms
    if previous != row:
        world.holdings_version += 1


def add_upstream(
    world: World, upstream: UpstreamId, domain: DomainId, now_ms: float
) -> None:
    """Add the row of an upstream that the rules name, or move it to its domain."""
    by_domain = world.fleet.upstreams_by_domain
    if upstream in by_domain.get(domain, ()):
        return
    row = world.upstream_by_id.get(upstream)
    if row is not None:
        remove_upstream(world, upstream)
    by_domain.setdefault(domain, set()).add(upstream)
    listed = upstream in world.fleet.listed.upstreams
    row = (row or UpstreamRow(upstream))._replace(listed=listed)
    write_upstream(world, row, now_ms)


def remove_upstream(world: World, upstream: UpstreamId, domain: str = "") -> None:
    """Remove the row of an upstream that the rules no longer name.

    An empty `domain` searches all domains for it.
    """
    world.upstream_by_id.pop(upstream, None)
    world.holdings_version += 1
    by_domain = world.fleet.upstreams_by_domain
    for candidate in (domain,) if domain else tuple(by_domain):
        if upstream in by_domain.get(candidate, ()):
            by_domain[candidate].discard(upstream)
            world.fleet.holdings_by_domain[candidate].remove(upstream)


def clear_drained(world: World, upstream: UpstreamId, now_ms: float) -> None:
    """End the drain that an owned upstream reported.

    Called when the host list or the rules no longer name it as leaving.
    """
    row = world.upstream_by_id.get(upstream)
    if row is not None and row.reported_draining and is_owner(world, upstream):
        updated = row._replace(reported_draining=False, version=row.version + 1)
        _write_and_disseminate(world, updated, now_ms)


def reset_upstream(world: World, upstream: UpstreamId, now_ms: float) -> None:
    """Discard what an owned upstream reported under its former address."""
    if is_owner(world, upstream):
        row = world.upstream_by_id[upstream]
        reset = UpstreamRow(upstream, listed=row.listed, version=row.version + 1)
        _write_and_disseminate(world, reset, now_ms)


def is_owner(world: World, upstream: UpstreamId) -> bool:
    """Return whether this host owns an upstream; only its owner issues updates."""
    if domain_of(world, upstream) != world.domain:
        return False
    live = live_hosts(world.member_by_host.values(), world.domain)
    return rendezvous(live, upstream) == world.host


def _write_and_disseminate(world: World, row: UpstreamRow, now_ms: float) -> None:
    write_upstream(world, row, now_ms)
    updates = GossipUpdates(holdings=(holdings_update(row),))
    world.put_event("spread", UpdatesApplied(updates))


def domain_of(world: World, upstream: UpstreamId) -> str | None:
    """Return the domain that the rules assign to an upstream; None without a rule."""
    rule = world.rules.upstream_by_id.get(upstream) if world.rules else None
    return rule.domain if rule else None


def _precedence(update: MemberUpdate) -> tuple[int, int, str, str, str]:
    return (
        update.incarnation,
        PRECEDENCE_BY_STATUS[update.status],
        update.peer_address,
        update.domain,
        update.region,
    )


def _holdings_precedence(
    update: HoldingsNews,
) -> tuple[int, bool, str, tuple[int, ...]]:
    return (
        update.version,
        update.draining,
        update.incarnation,
        tuple(update.snapshots),
    )


def _placement_key(row: MemberRow) -> tuple[str, str, bool, bool, float]:
    return (
        row.domain,
        row.peer_address,
        row.alive,
        row.leaving,
        row.processor_cores,
    )


def _member_digest(row: MemberRow) -> int:
    if not row.alive:
        return NO_DIGEST
    update = member_update(row._replace(suspect=False))
    # Hosts of builds without `processor_cores` compute the same digest.
    return digest_of("\x00".join(map(str, update[:-1])))


def _remove_from_domain(world: World, row: MemberRow) -> None:
    world.fleet.hosts_by_domain[row.domain].discard(row.host)
    world.fleet.members_by_domain[row.domain].remove(row.host)
