"""Compare table digests with those of a peer, and request what differs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.messages.actions import SendToPeer
from burdockmill.messages.fleet import SyncRequest, TableDigest, TableKind

if TYPE_CHECKING:
    from burdockmill.messages.actions import Action
    from burdockmill.names import DomainId, HostId
    from burdockmill.tables.hash_tree import HashTree
    from burdockmill.world import World

# A table that changed more recently may differ only by updates still in transit.
QUIET_PERIOD_MS = 1_500.0


def tree_of(world: World, kind: TableKind, domain: DomainId) -> HashTree:
    """Return the hash tree of a domain's members or holdings."""
    fleet = world.fleet
    if kind is TableKind.MEMBERS:
        return fleet.members_by_domain[domain]
    return fleet.holdings_by_domain[domain]


def compare_digests(
    world: World,
    host: HostId,
    digests: list[TableDigest],
    is_new_member: bool,
    now_ms: float,
    actions: list[Action],
) -> None:
    """Request what differs in tables that have not changed here for a quiet period.

    With a new or returning member all domains are compared, quiet or not.
    """
    fleet = world.fleet
    remote_by_domain = {digest.domain: digest for digest in digests}
    domains = list(remote_by_domain)
    if is_new_member:
        domains = sorted(fleet.members_by_domain.keys() | remote_by_domain.keys())
    for domain in domains:
        changed_ms = fleet.changed_ms_by_domain.get(domain, -QUIET_PERIOD_MS)
        if not is_new_member and now_ms - changed_ms < QUIET_PERIOD_MS:
            continue
        remote = remote_by_domain.get(domain, TableDigest(domain, 0, 0))
        local = fleet.digest(domain)
        if local.members != remote.members:
            _request_sync(world, host, TableKind.MEMBERS, domain, actions)
        if local.holdings != remote.holdings:
            _request_sync(world, host, TableKind.HOLDINGS, domain, actions)


def _request_sync(
    world: World,
    host: HostId,
    kind: TableKind,
    domain: DomainId,
    actions: list[Action],
) -> None:
    world.counter_by_name["syncs_asked"] += 1
    parts = tree_of(world, kind, domain).child_digests("")
    actions.append(SendToPeer(host, SyncRequest(kind, domain, "", parts)))
