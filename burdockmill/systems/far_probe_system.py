"""Probe other domains, and members that were called dead."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.messages.events import HostStarted
from burdockmill.systems._news import remove_member
from burdockmill.systems._probes import send_probe
from burdockmill.systems.system import System

if TYPE_CHECKING:
    from burdockmill.messages.actions import Action
    from burdockmill.names import HostId
    from burdockmill.world import World

FIRST_MS = 1_000.0
RECONNECT_MS = 3_000.0
ACROSS_PER_SECOND = 4
ACROSS_FLOOR_MS = 500.0
ACROSS_KEEP_MS = 4_000.0
FORGET_DEAD_MS = 600_000.0
MILLISECONDS_PER_SECOND = 1_000.0
ACROSS, RECONNECT = "across", "reconnect"


class FarProbeSystem(System):
    """Probe other domains, and members that were called dead."""

    name = "far_probe"
    handles = (HostStarted,)

    def __init__(self) -> None:
        self._dead_since_by_host: dict[HostId, float] = {}

    def run(self, world: World, now_ms: float) -> list[Action]:
        """Probe what is due."""
        actions: list[Action] = []
        due = world.due(self.name)
        for _ in world.take_events(self.name):
            due.schedule(ACROSS, now_ms + world.rng.uniform(0.0, FIRST_MS))
            due.schedule(RECONNECT, now_ms + world.rng.uniform(0.0, RECONNECT_MS))
        for key in due.take(now_ms):
            if key == ACROSS:
                due.schedule(ACROSS, now_ms + self._across(world, now_ms, actions))
            else:
                due.schedule(RECONNECT, now_ms + RECONNECT_MS)
                self._forget(world, now_ms)
                self._reconnect(world, now_ms, actions)
        return actions

    def _across(self, world: World, now_ms: float, actions: list[Action]) -> float:
        """Probe a host of another domain; return when next, in milliseconds."""
        hosts_by_domain = world.fleet.hosts_by_domain
        domains = sorted(
            domain
            for domain, hosts in hosts_by_domain.items()
            if hosts and domain != world.domain
        )
        if not domains:
            return ACROSS_FLOOR_MS
        hosts = sorted(hosts_by_domain[world.rng.choice(domains)])
        news = world.fleet.recent.since(now_ms - ACROSS_KEEP_MS)
        news = news._replace(rules=(), catalog=())
        send_probe(world, world.rng.choice(hosts), now_ms, actions, news)
        own = len(hosts_by_domain[world.domain])
        even_ms = MILLISECONDS_PER_SECOND * own / len(domains) / ACROSS_PER_SECOND
        return max(ACROSS_FLOOR_MS, even_ms) * world.rng.uniform(0.8, 1.2)

    def _forget(self, world: World, now_ms: float) -> None:
        dead = {host for host, row in world.member_by_host.items() if not row.alive}
        since_by_host = self._dead_since_by_host
        self._dead_since_by_host = {
            host: since_by_host.get(host, now_ms) for host in dead
        }
        for host, since_ms in self._dead_since_by_host.items():
            if now_ms - since_ms > FORGET_DEAD_MS:
                remove_member(world, host)

    def _reconnect(self, world: World, now_ms: float, actions: list[Action]) -> None:
        rows = world.member_by_host
        own = sorted(world.fleet.hosts_by_domain[world.domain])
        dead = [host for host in own if not rows[host].alive]
        if dead:
            send_probe(world, world.rng.choice(dead), now_ms, actions)
