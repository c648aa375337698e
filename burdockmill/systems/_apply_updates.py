"""Apply received gossip updates, and return those that changed the tables."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.forwarding.upstream_notices import Incarnation
from burdockmill.messages.actions import LogDecision
from burdockmill.messages.events import (
    CatalogReceived,
    RulesDeltasReceived,
    UpdatesApplied,
)
from burdockmill.messages.fleet import (
    GossipUpdates,
    LeavingList,
    MemberStatus,
    MemberUpdate,
)
from burdockmill.systems._fleet_rows import (
    apply_holdings_update,
    apply_member_update,
    clear_drained,
    member_update,
    supersedes,
    write_member,
    write_upstream,
)

if TYPE_CHECKING:
    from burdockmill.messages.actions import Action
    from burdockmill.names import HostId
    from burdockmill.world import World

SPREAD = "spread"
CONFIG = "config"


def disseminate(world: World, updates: GossipUpdates) -> None:
    """Queue updates for dissemination in the own domain."""
    if updates != GossipUpdates():
        world.put_event(SPREAD, UpdatesApplied(updates))


def apply_updates(
    world: World,
    sender: HostId,
    updates: GossipUpdates,
    now_ms: float,
    actions: list[Action],
) -> GossipUpdates:
    """Apply updates to the tables; return those that were new to them.

    Rules and catalog deltas are only queued, for the system that handles them, and are
    not returned.
    """
    members = tuple(
        update
        for update in updates.members
        if _handle_member_update(world, update, now_ms, actions)
    )
    holdings = tuple(
        update
        for update in updates.holdings
        if apply_holdings_update(world, update, now_ms)
    )
    listed = updates.listed
    if listed is not None and not apply_leaving_list(world, listed, now_ms):
        listed = None
    if updates.rules:
        world.put_event(CONFIG, RulesDeltasReceived(sender, updates.rules))
    if updates.catalog:
        world.put_event(CONFIG, CatalogReceived(sender, updates.catalog))
    limits = tuple(
        hint
        for hint in updates.limits
        if world.limits.apply_hint(
            Incarnation(hint.upstream, hint.started_ms), hint.domain, now_ms
        )
    )
    return GossipUpdates(members, holdings, (), listed, limits=limits)


def apply_leaving_list(world: World, listed: LeavingList, now_ms: float) -> bool:
    """Apply a list of leaving upstreams if it is newer; return whether it was.

    Upstreams on the list are marked as leaving; for those that it no longer names, the
    mark ends, and so does the drain if this host owns them.
    """
    current = world.fleet.listed
    if listed.version <= current.version:
        if listed.version < current.version:
            world.counter_by_name["host_list_older_ignored"] += 1
        return False
    world.fleet.listed = listed
    for upstream in sorted(set(current.upstreams) ^ set(listed.upstreams)):
        row = world.upstream_by_id.get(upstream)
        if row is None:
            continue
        is_listed = upstream in listed.upstreams
        write_upstream(world, row._replace(listed=is_listed), now_ms)
        if not is_listed:
            clear_drained(world, upstream, now_ms)
    return True


def _handle_member_update(
    world: World, update: MemberUpdate, now_ms: float, actions: list[Action]
) -> bool:
    if update.host == world.host:
        _refute(world, update, now_ms, actions)
        return False
    previous = world.member_by_host.get(update.host)
    if not apply_member_update(world, update, now_ms):
        return False
    previous_status = (
        "unknown" if previous is None else member_update(previous).status.name.lower()
    )
    choice = f"{update.host} {update.status.name.lower()}"
    reason = f"was {previous_status}, incarnation {update.incarnation}"
    actions.append(LogDecision("member", "", choice, reason))
    return True


def _refute(
    world: World, update: MemberUpdate, now_ms: float, actions: list[Action]
) -> None:
    own = world.member_by_host.get(world.host)
    if own is None or not supersedes(update, own) or not world.fleet.started:
        return
    row = own._replace(incarnation=update.incarnation + 1, suspect=False, alive=True)
    write_member(world, row, now_ms)
    world.counter_by_name["member_refutations"] += 1
    disseminate(world, GossipUpdates(members=(member_update(row),)))
    reason = f"was reported as {MemberStatus(update.status).name.lower()}"
    choice = f"incarnation {row.incarnation} of this host"
    actions.append(LogDecision("member", "", choice, reason))
