"""Keep the own row and what the platform's host list says of others."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.messages.actions import Action, LogDecision
from burdockmill.messages.events import (
    Event,
    HostListRead,
    HostStarted,
    HostStopping,
    SeedsRead,
)
from burdockmill.messages.fleet import LeavingList, MemberNews, MemberStatus, News
from burdockmill.systems._intake import apply_leaving_list, disseminate
from burdockmill.systems._news import apply_member_update, member_update, write_member
from burdockmill.systems.system import System
from burdockmill.tables.rows import MemberRow

if TYPE_CHECKING:
    from burdockmill.messages.platform import ListedHost
    from burdockmill.world import World

LISTED_INCARNATION = 0


class MemberSystem(System):
    """Keep the own row; direct evidence outweighs the lagging host list."""

    name = "member"
    handles = (HostStarted, SeedsRead, HostListRead, HostStopping)

    def run(self, world: World, now_ms: float) -> list[Action]:
        """Take in the start, each host list, and the stop."""
        actions: list[Action] = []
        for event in world.take_events(self.name):
            self._take(world, event, now_ms, actions)
        return actions

    def _take(
        self, world: World, event: Event, now_ms: float, actions: list[Action]
    ) -> None:
        match event:
            case HostStarted():
                self._start(world, event, now_ms)
            case SeedsRead():
                self._add_seeds(world, event.seeds, now_ms)
            case HostListRead():
                self._merge(world, event, now_ms, actions)
            case HostStopping():
                self._leave(world, now_ms, actions)

    def _start(self, world: World, event: HostStarted, now_ms: float) -> None:
        world.fleet.started = True
        world.fleet.started_ms = now_ms
        write_member(world, event.row, now_ms)
        self._add_seeds(world, event.seeds, now_ms)
        disseminate(world, News(members=(member_update(event.row),)))

    def _add_seeds(
        self, world: World, seeds: tuple[MemberRow, ...], now_ms: float
    ) -> None:
        for seed in seeds:
            if seed.host != world.host:
                apply_member_update(world, member_update(seed), now_ms)

    def _leave(self, world: World, now_ms: float, actions: list[Action]) -> None:
        row = world.member_by_host.get(world.host)
        if row is None or row.leaving or not world.fleet.started:
            return
        world.fleet.leaving = True
        row = row._replace(leaving=True, suspect=False)
        write_member(world, row, now_ms)
        disseminate(world, News(members=(member_update(row),)))
        choice = f"{world.host} leaving"
        actions.append(LogDecision("member", "", choice, "this host was told to stop"))

    def _merge(
        self, world: World, event: HostListRead, now_ms: float, actions: list[Action]
    ) -> None:
        hosts = event.hosts
        if hosts["version"] < world.fleet.listed.version:
            world.counter_by_name["host_list_older_ignored"] += 1
            reason = f"version {world.fleet.listed.version} is known"
            choice = f"ignored list {hosts['version']}"
            actions.append(LogDecision("member", "", choice, reason))
            return
        added = [
            news
            for listed in hosts["hosts"]
            if (news := self._add(world, listed, now_ms)) is not None
        ]
        for news in added:
            choice = f"added {news.host}"
            actions.append(LogDecision("member", "", choice, "host list"))
        leaving = LeavingList(hosts["version"], sorted(hosts["leaving_upstreams"]))
        if apply_leaving_list(world, leaving, now_ms):
            disseminate(world, News(listed=leaving))

    def _add(
        self, world: World, listed: ListedHost, now_ms: float
    ) -> MemberNews | None:
        row = MemberRow(**listed)
        known = world.member_by_host.get(row.host)
        if row.host == world.host:
            return None
        if known is not None and known.incarnation > LISTED_INCARNATION:
            if known.leaving != row.leaving or not known.alive:
                world.counter_by_name["host_list_outweighed"] += 1
            return None
        status = MemberStatus.LEAVING if row.leaving else MemberStatus.ALIVE
        news = member_update(row)._replace(status=status)
        return news if apply_member_update(world, news, now_ms) else None
