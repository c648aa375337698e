"""Learn from peers what a paused process missed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.messages.actions import Action, LogDecision
from burdockmill.messages.events import PeerReceived, ViewRefreshed, WokeLate
from burdockmill.messages.fleet import Probe, ProbeKind
from burdockmill.systems._probes import send_probe
from burdockmill.systems.system import System

if TYPE_CHECKING:
    from burdockmill.systems._ring import Ring
    from burdockmill.world import World

LIMIT_MS = 1_000.0
SETTLE_MS = 100.0
PEERS = 3
LIMIT, SETTLED = "limit", "settled"


class RefreshSystem(System):
    """Ask peers after a pause, and announce when the view is fresh."""

    name = "refresh"
    handles = (WokeLate, Probe)

    def __init__(self, ring: Ring) -> None:
        self._ring = ring
        self._paused_ms = 0.0

    def run(self, world: World, now_ms: float) -> list[Action]:
        """Ask after a pause; announce once answered, or after the limit."""
        actions: list[Action] = []
        due = world.due(self.name)
        for event in world.take_events(self.name):
            match event:
                case WokeLate() if world.fleet.started and not world.fleet.refreshing:
                    self._ask(world, event.late_ms, now_ms, actions)
                case PeerReceived(message=Probe(kind=ProbeKind.ANSWER)):
                    if world.fleet.refreshing:
                        due.schedule(SETTLED, now_ms + SETTLE_MS)
        for key in due.take(now_ms):
            self._finish(world, key == SETTLED)
        return actions

    def _ask(
        self, world: World, late_ms: float, now_ms: float, actions: list[Action]
    ) -> None:
        self._paused_ms = late_ms
        world.fleet.refreshing = True
        world.counter_by_name["pauses_noticed"] += 1
        world.due(self.name).schedule(LIMIT, now_ms + LIMIT_MS)
        near = self._ring.successors(world, len(self._ring.places(world)))
        for host in world.rng.sample(near, min(PEERS, len(near))):
            send_probe(world, host, now_ms, actions, kind=ProbeKind.ASK)
        reason = f"no tick for {late_ms:.0f} ms"
        actions.append(LogDecision("member", "", "refresh the view", reason))

    def _finish(self, world: World, answered: bool) -> None:
        if world.fleet.refreshing:
            world.fleet.refreshing = False
            world.due(self.name).cancel(LIMIT)
            world.due(self.name).cancel(SETTLED)
            world.announce(ViewRefreshed(self._paused_ms, answered))
