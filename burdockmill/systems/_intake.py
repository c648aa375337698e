"""Take news in and find out what of it was new."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.messages.actions import LogDecision
from burdockmill.messages.events import CatalogReceived, DeltasReceived, Learned
from burdockmill.messages.fleet import (
    LeavingList,
    MemberNews,
    MemberStatus,
    News,
)
from burdockmill.systems._news import (
    apply_member_update,
    clear_drained,
    member_update,
    put_holdings,
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


def disseminate(world: World, news: News) -> None:
    """Let the own domain hear of news."""
    if news != News():
        world.put_event(SPREAD, Learned(news))


def apply_updates(
    world: World, sender: HostId, news: News, now_ms: float, actions: list[Action]
) -> News:
    """Write what is new into the tables and return it."""
    members = tuple(
        one for one in news.members if _take_member(world, one, now_ms, actions)
    )
    holdings = tuple(one for one in news.holdings if put_holdings(world, one, now_ms))
    listed = news.listed
    if listed is not None and not apply_leaving_list(world, listed, now_ms):
        listed = None
    if news.rules:
        world.put_event(CONFIG, DeltasReceived(sender, news.rules))
    if news.catalog:
        world.put_event(CONFIG, CatalogReceived(sender, news.catalog))
    return News(members, holdings, (), listed)


def apply_leaving_list(world: World, listed: LeavingList, now_ms: float) -> bool:
    """Mark and clear what a newer list says of leaving upstreams."""
    known = world.fleet.listed
    if listed.version <= known.version:
        if listed.version < known.version:
            world.counter_by_name["host_list_older_ignored"] += 1
        return False
    world.fleet.listed = listed
    for upstream in sorted(set(known.upstreams) ^ set(listed.upstreams)):
        row = world.upstream_by_id.get(upstream)
        if row is None:
            continue
        is_named = upstream in listed.upstreams
        write_upstream(world, row._replace(listed=is_named), now_ms)
        if not is_named:
            clear_drained(world, upstream, now_ms)
    return True


def _take_member(
    world: World, news: MemberNews, now_ms: float, actions: list[Action]
) -> bool:
    if news.host == world.host:
        _defend(world, news, now_ms, actions)
        return False
    before = world.member_by_host.get(news.host)
    if not apply_member_update(world, news, now_ms):
        return False
    known = "unknown" if before is None else member_update(before).status.name.lower()
    choice = f"{news.host} {news.status.name.lower()}"
    reason = f"was {known}, incarnation {news.incarnation}"
    actions.append(LogDecision("member", "", choice, reason))
    return True


def _defend(
    world: World, news: MemberNews, now_ms: float, actions: list[Action]
) -> None:
    own = world.member_by_host.get(world.host)
    if own is None or not supersedes(news, own) or not world.fleet.started:
        return
    row = own._replace(incarnation=news.incarnation + 1, suspect=False, alive=True)
    write_member(world, row, now_ms)
    world.counter_by_name["member_refutations"] += 1
    disseminate(world, News(members=(member_update(row),)))
    reason = f"was called {MemberStatus(news.status).name.lower()}"
    choice = f"incarnation {row.incarnation} of this host"
    actions.append(LogDecision("member", "", choice, reason))
