"""Let hosts take turns at requests that may crash upstreams.

The owner of a request, chosen by rendezvous, grants the turn to one host at a time. A
claim carries what its sender knows, so that any host can be the owner, and the reply
what the owner knows, so that a host learns of a hold before it sends anything.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.messages.actions import SendToPeer
from burdockmill.messages.events import PeerReceived, PeerUnreachable
from burdockmill.messages.suspects import (
    TurnClaim,
    TurnOver,
    TurnReply,
    TurnReturn,
    TurnWanted,
)
from burdockmill.systems.system import System

if TYPE_CHECKING:
    from burdockmill.messages.actions import Action
    from burdockmill.messages.events import Event
    from burdockmill.messages.suspects import SuspectReport
    from burdockmill.names import HostId
    from burdockmill.tables.suspect_row import SuspectRow
    from burdockmill.world import World


class CanaryTurnSystem(System):
    """Claim turns of other hosts, and grant those that this host owns."""

    name = "canary_turn"
    handles = (
        TurnWanted,
        TurnOver,
        TurnClaim,
        TurnReply,
        TurnReturn,
        PeerUnreachable,
    )

    def run(self, world: World, now_ms: float) -> list[Action]:
        """Send claims and returns, and reply to those of other hosts."""
        actions: list[Action] = []
        for event in world.drain_events(self.name):
            actions += self._handle(world, event, now_ms)
        return actions

    def _handle(self, world: World, event: Event, now_ms: float) -> list[Action]:
        match event:
            case TurnWanted(key=key, owner=owner):
                return self._claim(world, key, owner, now_ms)
            case TurnOver(key=key, owner=owner):
                reports = world.suspects.reports([key], now_ms)
                return [SendToPeer(owner, TurnReturn(report)) for report in reports]
            case PeerReceived(message=TurnClaim() as claim):
                return self._reply(world, event.sender, claim, now_ms)
            case PeerReceived(message=TurnReply() as reply):
                row = self._merge(world, reply.report, now_ms)
                if row is not None and row.round == reply.report.round:
                    row.turn.replied(reply.claim, reply.is_granted, now_ms)
            case PeerReceived(message=TurnReturn() as returned):
                row = self._merge(world, returned.report, now_ms)
                if row is not None and row.turn.holder in ("", event.sender):
                    row.end_canary(now_ms)
                    if returned.report.canary_age_ms >= 0.0:
                        row.canary_sent_ms = now_ms - returned.report.canary_age_ms
            case PeerUnreachable(host=host, message=TurnClaim(report=report)):
                row = world.suspects.row(report.key)
                if row is not None:
                    world.suspects.counts["turn_owners_passed_over"] += 1
                    row.turn.pass_over(host)
        return []

    def _claim(
        self, world: World, key: str, owner: HostId, now_ms: float
    ) -> list[Action]:
        row = world.suspects.row(key)
        if row is None:
            return []
        world.suspects.counts["turns_claimed"] += 1
        # The owner stores the request from now on, and tells others of an answer.
        row.is_shared = True
        claim = TurnClaim(row.report(now_ms), row.turn.last_claim)
        return [SendToPeer(owner, claim)]

    def _reply(
        self, world: World, sender: HostId, claim: TurnClaim, now_ms: float
    ) -> list[Action]:
        row = self._merge(world, claim.report, now_ms)
        if row is None:
            # Without a row the request is answered, or there is no room to know more.
            stored = world.suspects.stored_row(claim.report.key)
            report = claim.report if stored is None else stored.report(now_ms)
            return [SendToPeer(sender, TurnReply(report, claim.claim, True))]
        is_granted = row.grant_turn(sender, now_ms)
        world.suspects.counts["turns_granted"] += is_granted
        world.suspects.counts["turns_denied"] += not is_granted
        reply = TurnReply(row.report(now_ms), claim.claim, is_granted)
        return [SendToPeer(sender, reply)]

    def _merge(
        self, world: World, report: SuspectReport, now_ms: float
    ) -> SuspectRow | None:
        """Learn from a report; return the row of its request if that is suspected."""
        world.suspects.merge(report, now_ms)
        return world.suspects.row(report.key)
