"""Weigh news of members and upstreams against what is known."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.messages.events import Learned
from burdockmill.messages.fleet import HoldingsNews, MemberNews, MemberStatus, News
from burdockmill.placement import live_hosts, rendezvous
from burdockmill.tables.hash_tree import NO_DIGEST, digest_of
from burdockmill.tables.rows import MemberRow, UpstreamRow

if TYPE_CHECKING:
    from burdockmill.names import DomainId, HostId, UpstreamId
    from burdockmill.world import World

RANK_BY_STATUS = {
    MemberStatus.ALIVE: 0,
    MemberStatus.SUSPECT: 1,
    MemberStatus.LEAVING: 2,
    MemberStatus.DEAD: 3,
}


def status_of(row: MemberRow) -> MemberStatus:
    """Return the status that a row shows."""
    if not row.alive:
        return MemberStatus.DEAD
    if row.leaving:
        return MemberStatus.LEAVING
    return MemberStatus.SUSPECT if row.suspect else MemberStatus.ALIVE


def member_update(row: MemberRow) -> MemberNews:
    """Return what a row says, as news."""
    return MemberNews(
        row.host,
        row.domain,
        row.region,
        row.peer_address,
        row.incarnation,
        status_of(row),
    )


def supersedes(news: MemberNews, row: MemberRow | None) -> bool:
    """Tell whether news outweighs a row; the order is the same on all hosts."""
    if row is None:
        return True
    known = member_update(row)
    return _precedence(news) > _precedence(known)


def apply_member_update(world: World, news: MemberNews, now_ms: float) -> bool:
    """Write news that outweighs the row; tell whether it did."""
    before = world.member_by_host.get(news.host)
    if not supersedes(news, before):
        return False
    row = MemberRow(
        news.host,
        news.domain,
        news.region,
        news.peer_address,
        leaving=news.status is MemberStatus.LEAVING,
        alive=news.status is not MemberStatus.DEAD,
        incarnation=news.incarnation,
        suspect=news.status is MemberStatus.SUSPECT,
    )
    write_member(world, row, now_ms)
    return True


def write_member(world: World, row: MemberRow, now_ms: float) -> None:
    """Write a row and keep the digests and versions in step."""
    before = world.member_by_host.get(row.host)
    fleet = world.fleet
    if before is not None and before.domain != row.domain:
        _forget(world, before)
    world.member_by_host[row.host] = row
    fleet.hosts_by_domain[row.domain].add(row.host)
    fleet.members_by_domain[row.domain].put(row.host, _member_digest(row))
    fleet.changed_ms_by_domain[row.domain] = now_ms
    if before is None or _placed(before) != _placed(row):
        world.members_version += 1


def remove_member(world: World, host: HostId) -> None:
    """Drop a row."""
    row = world.member_by_host.pop(host, None)
    if row is not None:
        _forget(world, row)
        world.fleet.heard_ms_by_host.pop(host, None)
        world.members_version += 1


def put_holdings(world: World, news: HoldingsNews, now_ms: float) -> bool:
    """Write news of an upstream that outweighs its row; tell whether it did."""
    row = world.upstream_by_id.get(news.upstream)
    if row is None or _holdings_precedence(news) <= _holdings_precedence(
        holdings_update(row)
    ):
        return False
    learned = row._replace(
        snapshots=tuple(news.snapshots),
        drained=news.draining,
        incarnation=news.incarnation,
        version=news.version,
        reachable=True,
    )
    write_upstream(world, learned, now_ms)
    return True


def holdings_update(row: UpstreamRow) -> HoldingsNews:
    """Return what a row says, as news."""
    return HoldingsNews(
        row.upstream, row.version, row.incarnation, row.snapshots, row.drained
    )


def write_upstream(world: World, row: UpstreamRow, now_ms: float) -> None:
    """Write a row and keep the digests and versions in step."""
    before = world.upstream_by_id.get(row.upstream)
    row = row._replace(draining=row.drained or row.listed)
    world.upstream_by_id[row.upstream] = row
    domain = domain_of(world, row.upstream)
    if domain is not None and (before is None or before.version != row.version):
        digest = digest_of(repr(holdings_update(row))) if row.version else NO_DIGEST
        world.fleet.holdings_by_domain[domain].put(row.upstream, digest)
        world.fleet.changed_ms_by_domain[domain] = now_ms
    if before != row:
        world.holdings_version += 1


def add_upstream(
    world: World, upstream: UpstreamId, domain: DomainId, now_ms: float
) -> None:
    """Make or move the row of an upstream that the rules name."""
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
    """Drop the row of an upstream that the rules no longer name."""
    world.upstream_by_id.pop(upstream, None)
    world.holdings_version += 1
    by_domain = world.fleet.upstreams_by_domain
    for held in (domain,) if domain else tuple(by_domain):
        if upstream in by_domain.get(held, ()):
            by_domain[held].discard(upstream)
            world.fleet.holdings_by_domain[held].remove(upstream)


def clear_drained(world: World, upstream: UpstreamId, now_ms: float) -> None:
    """Take an owned upstream that drained for live, as a newer list or rule says."""
    row = world.upstream_by_id.get(upstream)
    if row is not None and row.drained and is_owner(world, upstream):
        revived = row._replace(drained=False, version=row.version + 1)
        _write_and_tell(world, revived, now_ms)


def reset_upstream(world: World, upstream: UpstreamId, now_ms: float) -> None:
    """Forget what an owned upstream showed under its former address."""
    if is_owner(world, upstream):
        row = world.upstream_by_id[upstream]
        fresh = UpstreamRow(upstream, listed=row.listed, version=row.version + 1)
        _write_and_tell(world, fresh, now_ms)


def is_owner(world: World, upstream: UpstreamId) -> bool:
    """Tell whether this host owns an upstream; only its owner writes its news."""
    if domain_of(world, upstream) != world.domain:
        return False
    live = live_hosts(world.member_by_host.values(), world.domain)
    return rendezvous(live, upstream) == world.host


def _write_and_tell(world: World, row: UpstreamRow, now_ms: float) -> None:
    write_upstream(world, row, now_ms)
    news = News(holdings=(holdings_update(row),))
    world.put_event("spread", Learned(news))


def domain_of(world: World, upstream: UpstreamId) -> str | None:
    """Return the domain that the rules place an upstream in."""
    rule = world.rules.upstream_by_id.get(upstream) if world.rules else None
    return rule.domain if rule else None


def _precedence(news: MemberNews) -> tuple[int, int, str, str, str]:
    return (
        news.incarnation,
        RANK_BY_STATUS[news.status],
        news.peer_address,
        news.domain,
        news.region,
    )


def _holdings_precedence(news: HoldingsNews) -> tuple[int, bool, str, tuple[int, ...]]:
    return (news.version, news.draining, news.incarnation, tuple(news.snapshots))


def _placed(row: MemberRow) -> tuple[str, str, bool, bool]:
    return (row.domain, row.peer_address, row.alive, row.leaving)


def _member_digest(row: MemberRow) -> int:
    if not row.alive:
        return NO_DIGEST
    seen = member_update(row._replace(suspect=False))
    return digest_of("\x00".join(map(str, seen)))


def _forget(world: World, row: MemberRow) -> None:
    world.fleet.hosts_by_domain[row.domain].discard(row.host)
    world.fleet.members_by_domain[row.domain].remove(row.host)
