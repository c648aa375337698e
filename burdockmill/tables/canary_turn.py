"""Store which host may send the next attempt at a request that crashed upstreams."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burdockmill.names import HostId

# A turn that was granted lapses after this time unless its canary is known by then.
GRANT_MS = 1_000.0
# The host that was granted a turn uses it within this time of the grant's arrival.
USABLE_MS = 500.0


class CanaryTurn:
    """Store the turn at one request, both as its owner granted it and as it is used.

    On the owner, `holder` has the turn until `granted_until_ms`. On the holder, a
    canary may be sent until `usable_until_ms`, and `is_used` is set while it is in
    flight. Claims are numbered, as replies may come late: one to a claim before
    `first_open` is void. `unanswered` counts the claims since the last reply, and
    `passed_over` names the owners that did not reply.
    """

    __slots__ = (
        "claimed_ms",
        "first_open",
        "granted_until_ms",
        "holder",
        "is_used",
        "last_claim",
        "passed_over",
        "unanswered",
        "usable_until_ms",
    )

    def __init__(self) -> None:
        self.holder: HostId = ""
        self.granted_until_ms = -math.inf
        self.usable_until_ms = -math.inf
        self.is_used = False
        self.claimed_ms = -math.inf
        self.last_claim = 0
        self.first_open = 1
        self.unanswered = 0
        self.passed_over: set[HostId] = set()

    def claim(self, now_ms: float) -> None:
        """Record that the turn is asked of its owner."""
        self.claimed_ms = now_ms
        self.last_claim += 1
        self.unanswered += 1

    def replied(self, claim: int, is_granted: bool, now_ms: float) -> None:
        """Record the owner's reply to a claim."""
        self.unanswered = 0
        if is_granted and claim >= self.first_open and not self.is_used:
            self.first_open = self.last_claim + 1
            self.usable_until_ms = now_ms + USABLE_MS

    def pass_over(self, owner: HostId) -> None:
        """Ask another owner from now on, as this one does not reply."""
        self.passed_over.add(owner)
        self.unanswered = 0
        self.claimed_ms = -math.inf

    def use(self) -> None:
        """Record that the canary is sent from here."""
        self.is_used = True
        self.usable_until_ms = -math.inf
        self.first_open = self.last_claim + 1

    def free(self) -> None:
        """Let the owner grant the turn again."""
        self.holder = ""
        self.granted_until_ms = -math.inf
        self.usable_until_ms = -math.inf
