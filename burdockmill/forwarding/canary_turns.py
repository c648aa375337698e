"""Decide whether this host may send the next attempt at a suspected request.

Load pattern: a request that crashes upstreams comes at many hosts at the same moment,
again and again, each time after its upstreams are back. Each host knows of the crashes,
and none knows that the others are about to send as well.
"""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

from burdockmill.messages.suspects import TurnOver, TurnWanted
from burdockmill.placement import rendezvous

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Callable, Collection

    from burdockmill.messages.events import Event
    from burdockmill.names import HostId
    from burdockmill.tables.suspect_row import SuspectRow

# While attempts wait, the turn is claimed again after this time.
CLAIM_INTERVAL_MS = 100.0
# An owner that leaves so many claims without a reply is passed over.
UNANSWERED_LIMIT = 3


class Turn(StrEnum):
    """Enumerate whether an attempt may be sent."""

    FREE = "free"
    WAIT = "wait"
    REFUSED = "refused"


class CanaryTurns:
    """Claim the turns of this host, and use those that are granted."""

    def __init__(
        self,
        host: HostId,
        live_hosts: Callable[[], Collection[HostId]],
        post: Callable[[Event], None],
        counts: Counter[str],
    ) -> None:
        self._host = host
        self._live_hosts = live_hosts
        self._post = post
        self._counts = counts

    def turn(self, row: SuspectRow, now_ms: float) -> Turn:
        """Return whether an attempt may be sent now; claim the turn if it is not here.

        Without a row that needs turns, only another host's known canary is waited for.
        """
        if not row.needs_turn:
            return Turn.WAIT if now_ms < row.canary_until_ms else Turn.FREE
        if row.is_held and now_ms < row.next_trial_ms:
            return Turn.REFUSED
        turn = row.turn
        if turn.is_used:
            return Turn.WAIT
        if now_ms < turn.usable_until_ms:
            return Turn.FREE
        owner = self.owner(row)
        if owner == self._host:
            return Turn.FREE if row.grant_turn(owner, now_ms) else Turn.WAIT
        if turn.unanswered >= UNANSWERED_LIMIT:
            self._counts["turn_owners_silent"] += 1
            turn.pass_over(owner)
            owner = self.owner(row)
        if now_ms - turn.claimed_ms >= CLAIM_INTERVAL_MS:
            turn.claim(now_ms)
            self._post(TurnWanted(row.key, owner))
        return Turn.WAIT

    def use(self, row: SuspectRow) -> None:
        """Record that the attempt for which this host has the turn is sent."""
        row.turn.use()

    def end(self, row: SuspectRow) -> None:
        """Record that this attempt has ended, and return the turn to its owner."""
        if not row.turn.is_used:
            return
        row.turn.is_used = False
        owner = self.owner(row)
        row.turn.free()
        if owner != self._host:
            self._post(TurnOver(row.key, owner))

    def owner(self, row: SuspectRow) -> HostId:
        """Return the host that grants the turns at a request.

        It does not depend on which crashes are known, as that differs between hosts.
        """
        candidates = {*self._live_hosts(), self._host} - row.turn.passed_over
        return rendezvous(candidates or {self._host}, row.key) or self._host
