"""Probe hosts of other domains, and those of the own domain declared dead."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.messages.events import HostStarted
from burdockmill.systems._fleet_rows import remove_member
from burdockmill.systems._probes import send_probe
from burdockmill.systems.system import System

if TYPE_CHECKING:
    from burdockmill.messages.actions import Action
    from burdockmill.names import HostId
    from burdockmill.world import World

FIRST_DELAY_LIMIT_MS = 1_000.0
RECONNECT_INTERVAL_MS = 3_000.0
# The hosts of a domain together probe each other domain this many times a second; a
# single host waits at least INTERVAL_FLOOR_MS between its cross-domain probes.
PROBES_PER_DOMAIN_PER_SECOND = 4
INTERVAL_FLOOR_MS = 500.0
RECENT_UPDATES_MS = 4_000.0
DEAD_RETENTION_MS = 600_000.0
MILLISECONDS_PER_SECOND = 1_000.0
CROSS_DOMAIN, RECONNECT = "cross_domain", "reconnect"


class CrossDomainProbeSystem(System):
    """Probe hosts of other domains, and those of the own domain declared dead."""

    name = "far_probe"
    handles = (HostStarted,)

    def __init__(self) -> None:
        self._dead_since_by_host: dict[HostId, float] = {}

    def run(self, world: World, now_ms: float) -> list[Action]:
        """Send the probes that are due; remove members dead for DEAD_RETENTION_MS."""
        actions: list[Action] = []
        due = world.due(self.name)
        for _ in world.drain_events(self.name):
            due.schedule(
                CROSS_DOMAIN, now_ms + world.rng.uniform(0.0, FIRST_DELAY_LIMIT_MS)
            )
            due.schedule(
                RECONNECT, now_ms + world.rng.uniform(0.0, RECONNECT_INTERVAL_MS)
            )
        for key in due.pop_due(now_ms):
            if key == CROSS_DOMAIN:
                due.schedule(
                    CROSS_DOMAIN,
                    now_ms + self._probe_cross_domain(world, now_ms, actions),
                )
            else:
                due.schedule(RECONNECT, now_ms + RECONNECT_INTERVAL_MS)
                self._remove_dead(world, now_ms)
                self._probe_dead(world, now_ms, actions)
        return actions

    def _probe_cross_domain(
        self, world: World, now_ms: float, actions: list[Action]
    ) -> float:
        """Probe a random host of another domain; return the delay to the next in ms."""
        hosts_by_domain = world.fleet.hosts_by_domain
        domains = sorted(
            domain
            for domain, hosts in hosts_by_domain.items()
            if hosts and domain != world.domain
        )
        if not domains:
            return INTERVAL_FLOOR_MS
        hosts = sorted(hosts_by_domain[world.rng.choice(domains)])
        updates = world.fleet.recent.since(now_ms - RECENT_UPDATES_MS)
        updates = updates._replace(rules=(), catalog=())
        send_probe(world, world.rng.choice(hosts), now_ms, actions, updates)
        own_count = len(hosts_by_domain[world.domain])
        interval_ms = (
            MILLISECONDS_PER_SECOND
            * own_count
            / len(domains)
            / PROBES_PER_DOMAIN_PER_SECOND
        )
        return max(INTERVAL_FLOOR_MS, interval_ms) * world.rng.uniform(0.8, 1.2)

    def _remove_dead(self, world: World, now_ms: float) -> None:
        dead = {host for host, row in world.member_by_host.items() if not row.alive}
        since_by_host = self._dead_since_by_host
        self._dead_since_by_host = {
            host: since_by_host.get(host, now_ms) for host in dead
        }
        for host, since_ms in self._dead_since_by_host.items():
            if now_ms - since_ms > DEAD_RETENTION_MS:
                remove_member(world, host)

    def _probe_dead(self, world: World, now_ms: float, actions: list[Action]) -> None:
        rows = world.member_by_host
        own = sorted(world.fleet.hosts_by_domain[world.domain])
        dead = [host for host in own if not rows[host].alive]
        if dead:
            send_probe(world, world.rng.choice(dead), now_ms, actions)
