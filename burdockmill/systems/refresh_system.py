"""Refresh the view of the fleet from peers after a process pause."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.messages.actions import Action, LogDecision
from burdockmill.messages.events import PauseDetected, PeerReceived, ViewRefreshed
from burdockmill.messages.fleet import Probe, ProbeKind
from burdockmill.systems._probes import send_probe
from burdockmill.systems.system import System

if TYPE_CHECKING:
    from burdockmill.systems._ring import Ring
    from burdockmill.world import World

REFRESH_TIMEOUT_MS = 1_000.0
REPLY_SETTLE_MS = 100.0
PEER_COUNT = 3
TIMEOUT, SETTLED = "timeout", "settled"


class RefreshSystem(System):
    """Request updates of the member and upstream tables from peers after a pause."""

    name = "refresh"
    handles = (PauseDetected, Probe)

    def __init__(self, ring: Ring) -> None:
        self._ring = ring
        self._paused_ms = 0.0

    def run(self, world: World, now_ms: float) -> list[Action]:
        """Request updates after a pause; announce when they are applied or time out."""
        actions: list[Action] = []
        due = world.due(self.name)
        for event in world.drain_events(self.name):
            match event:
                case PauseDetected() if (
                    world.fleet.started and not world.fleet.refreshing
                ):
                    self._request_updates(world, event.late_ms, now_ms, actions)
                case PeerReceived(message=Probe(kind=ProbeKind.RESPONSE)):
                    if world.fleet.refreshing:
                        due.schedule(SETTLED, now_ms + REPLY_SETTLE_MS)
        for key in due.pop_due(now_ms):
            self._finish(world, key == SETTLED)
        return actions

    def _request_updates(
        self, world: World, late_ms: float, now_ms: float, actions: list[Action]
    ) -> None:
        self._paused_ms = late_ms
        world.fleet.refreshing = True
        world.counter_by_name["pauses_noticed"] += 1
        world.due(self.name).schedule(TIMEOUT, now_ms + REFRESH_TIMEOUT_MS)
        peers = self._ring.successors(world, len(self._ring.members(world)))
        for host in world.rng.sample(peers, min(PEER_COUNT, len(peers))):
            send_probe(world, host, now_ms, actions, kind=ProbeKind.REQUEST)
        reason = f"no tick for {late_ms:.0f} ms"
        actions.append(
            LogDecision("member", "", "refreshing the view of the fleet", reason)
        )

    def _finish(self, world: World, answered: bool) -> None:
        if world.fleet.refreshing:
            world.fleet.refreshing = False
            world.due(self.name).cancel(TIMEOUT)
            world.due(self.name).cancel(SETTLED)
            world.announce(ViewRefreshed(self._paused_ms, answered))
