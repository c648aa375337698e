"""Maintain the own member row, and merge the platform's host list."""

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
from burdockmill.messages.fleet import (
    GossipUpdates,
    LeavingList,
    MemberStatus,
    MemberUpdate,
)
from burdockmill.systems._apply_updates import apply_leaving_list, disseminate
from burdockmill.systems._fleet_rows import (
    apply_member_update,
    member_update,
    write_member,
)
from burdockmill.systems.system import System
from burdockmill.tables.rows import MemberRow

if TYPE_CHECKING:
    from burdockmill.messages.platform import ListedHost
    from burdockmill.world import World

# The incarnation of rows that stem from the host list or the seeds alone; any host
# that has started has a higher one.
LISTED_INCARNATION = 0


class MemberSystem(System):
    """Maintain this host's member row and apply the platform's host list.

    What hosts report of themselves supersedes that list, which may lag.
    """

    name = "member"
    handles = (HostStarted, SeedsRead, HostListRead, HostStopping)

    def run(self, world: World, now_ms: float) -> list[Action]:
        """Handle this host's start and stop, the seeds, and each host list."""
        actions: list[Action] = []
        for event in world.drain_events(self.name):
            self._handle(world, event, now_ms, actions)
        return actions

    def _handle(
        self, world: World, event: Event, now_ms: float, actions: list[Action]
    ) -> None:
        match event:
            case HostStarted():
                self._start(world, event, now_ms)
            case SeedsRead():
                self._add_seeds(world, event.seeds, now_ms)
            case HostListRead():
                self._apply_host_list(world, event, now_ms, actions)
            case HostStopping():
                self._leave(world, now_ms, actions)

    def _start(self, world: World, event: HostStarted, now_ms: float) -> None:
        world.fleet.started = True
        world.fleet.started_ms = now_ms
        write_member(world, event.row, now_ms)
        self._add_seeds(world, event.seeds, now_ms)
        disseminate(world, GossipUpdates(members=(member_update(event.row),)))

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
        disseminate(world, GossipUpdates(members=(member_update(row),)))
        choice = f"{world.host} leaving"
        actions.append(LogDecision("member", "", choice, "this host was told to stop"))

    def _apply_host_list(
        self, world: World, event: HostListRead, now_ms: float, actions: list[Action]
    ) -> None:
        hosts = event.hosts
        if hosts["version"] < world.fleet.listed.version:
            world.counter_by_name["host_list_older_ignored"] += 1
            reason = f"version {world.fleet.listed.version} is already applied"
            choice = f"ignored host list {hosts['version']}"
            actions.append(LogDecision("member", "", choice, reason))
            return
        added = [
            update
            for listed in hosts["hosts"]
            if (update := self._add_listed_host(world, listed, now_ms)) is not None
        ]
        for update in added:
            choice = f"added {update.host}"
            actions.append(LogDecision("member", "", choice, "host list"))
        leaving = LeavingList(hosts["version"], sorted(hosts["leaving_upstreams"]))
        if apply_leaving_list(world, leaving, now_ms):
            disseminate(world, GossipUpdates(listed=leaving))

    def _add_listed_host(
        self, world: World, listed: ListedHost, now_ms: float
    ) -> MemberUpdate | None:
        row = MemberRow(**listed)
        current = world.member_by_host.get(row.host)
        if row.host == world.host:
            return None
        if current is not None and current.incarnation > LISTED_INCARNATION:
            if current.leaving != row.leaving or not current.alive:
                world.counter_by_name["host_list_outweighed"] += 1
            return None
        status = MemberStatus.LEAVING if row.leaving else MemberStatus.ALIVE
        update = member_update(row)._replace(status=status)
        return update if apply_member_update(world, update, now_ms) else None
