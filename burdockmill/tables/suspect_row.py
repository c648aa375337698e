"""Store the crashes under one request."""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING

from burdockmill.messages.suspects import CrashReport, SuspectReport
from burdockmill.policies.crash_blame import (
    CANARY_LIMIT_MS,
    CLEARED_MS,
    HELD_CRASHES,
    HELD_MS,
    SHORT_MEMORY_TRIALS,
    SUSPECTED_MS,
    TRIAL_LIMIT_MS,
    Crash,
    greatest_depth,
    is_to_blame,
    needs_turn,
    next_trial_ms,
)
from burdockmill.tables.canary_turn import GRANT_MS, CanaryTurn

if TYPE_CHECKING:
    from burdockmill.forwarding.upstream_notices import Incarnation
    from burdockmill.names import HostId

# More crashes than are needed to hold a request back are not stored.
CRASHES_LIMIT = 8
# Reports of one canary that arrive by several ways differ by less than this.
CANARY_SLACK_MS = 250.0


class SuspectRow:
    """Store the crashes under one request since its last answer.

    `changed_ms` is when the last crash was recorded, or the row was cleared.
    `is_shared` is set once other hosts were told, `is_logged` while the log states that
    it is held back. `canary_sent_ms` is when this or another host sent the canary that
    others wait for, a trial if the request is held back; those sent up to
    `canary_over_ms` have ended. `canaries` is how many attempts were made after the
    third crash before the request was held back. `has_shared_blame` is whether each of
    its crashes was also one of another request that is held back. `is_memory_short` is
    whether earlier crashes may be forgotten, as all hosts were lost.
    """

    __slots__ = (
        "canaries",
        "canary_over_ms",
        "canary_sent_ms",
        "changed_ms",
        "crash_by_incarnation",
        "has_shared_blame",
        "is_held",
        "is_logged",
        "is_memory_short",
        "is_shared",
        "key",
        "round",
        "trials",
        "turn",
    )

    def __init__(self, key: str, now_ms: float) -> None:
        self.key = key
        self.round = 0
        self.is_held = False
        self.is_logged = False
        self.is_shared = False
        self.is_memory_short = False
        self.has_shared_blame = False
        self.trials = 0
        self.canaries = 0
        self.changed_ms = now_ms
        self.canary_sent_ms = -math.inf
        self.canary_over_ms = -math.inf
        self.crash_by_incarnation: dict[Incarnation, Crash] = {}
        self.turn = CanaryTurn()

    @property
    def next_trial_ms(self) -> float:
        """Return when the next trial is due, in clock milliseconds."""
        return next_trial_ms(
            self.trials, self.canaries, self.has_shared_blame, self.changed_ms
        )

    @property
    def is_to_blame(self) -> bool:
        """Return whether the crashes are enough to hold the request back."""
        crashes = len(self.crash_by_incarnation)
        return is_to_blame(self.depth, crashes, self.is_memory_short)

    @property
    def needs_turn(self) -> bool:
        """Return whether all hosts together send one attempt at a time, by turns."""
        crashes = len(self.crash_by_incarnation)
        return self.is_held or needs_turn(crashes, self.is_memory_short)

    @property
    def forgotten_ms(self) -> float:
        """Return when the row expires, in clock milliseconds."""
        if self.is_held:
            return self.changed_ms + HELD_MS
        kept_ms = SUSPECTED_MS if self.crash_by_incarnation else CLEARED_MS
        return self.changed_ms + kept_ms

    @property
    def depth(self) -> int:
        """Return how many crashes followed one from the other."""
        return greatest_depth(self.crash_by_incarnation.values())

    @property
    def canary_until_ms(self) -> float:
        """Return until when other attempts wait, in clock milliseconds.

        The end of a canary with a turn is told to the owner, that of others is not.
        """
        has_turn = self.is_held or self.turn.is_used or self.turn.holder
        limit_ms = TRIAL_LIMIT_MS if has_turn else CANARY_LIMIT_MS
        return self.canary_sent_ms + limit_ms

    def learn_canary(self, sent_ms: float) -> bool:
        """Record a canary that another host sent; return whether it is a newer one."""
        is_newer = sent_ms > self.canary_sent_ms + CANARY_SLACK_MS
        is_newer = is_newer and sent_ms > self.canary_over_ms
        if is_newer:
            self.canary_sent_ms = sent_ms
        return is_newer

    def end_canary(self, now_ms: float = -math.inf) -> None:
        """Let the next attempt be sent; late news of one before `now_ms` is none."""
        over_ms = max(self.canary_sent_ms, now_ms)
        self.canary_over_ms = max(self.canary_over_ms, over_ms)
        self.canary_sent_ms = -math.inf
        self.turn.free()

    def grant_turn(self, host: HostId, now_ms: float) -> bool:
        """Grant a host the next attempt, unless it is not due or another has the turn.

        The same host is granted it again, as the first reply may be lost.
        """
        if self.is_held and now_ms < self.next_trial_ms:
            return False
        turn = self.turn
        until_ms = max(self.canary_until_ms, turn.granted_until_ms)
        if now_ms < until_ms and turn.holder != host:
            return False
        turn.holder, turn.granted_until_ms = host, now_ms + GRANT_MS
        return True

    def report(self, now_ms: float) -> SuspectReport:
        """Return what this host knows, for other hosts."""
        crashes = tuple(
            CrashReport(*incarnation, one.host, one.depth, now_ms - one.ended_ms)
            for incarnation, one in self.crash_by_incarnation.items()
        )
        age_ms = now_ms - self.changed_ms
        is_awaited = now_ms < self.canary_until_ms
        canary_age_ms = now_ms - self.canary_sent_ms if is_awaited else -1.0
        return SuspectReport(
            self.key,
            self.round,
            self.is_held,
            self.trials,
            age_ms,
            crashes,
            canary_age_ms,
            self.canaries,
        )

    def start_round(self, number: int, now_ms: float) -> None:
        """Forget all crashes: an answer showed that the request does not cause them."""
        self.round = number
        self.is_held = False
        self.has_shared_blame = False
        self.trials = 0
        self.canaries = 0
        self.changed_ms = now_ms
        self.end_canary()
        self.crash_by_incarnation.clear()

    def add(self, incarnation: Incarnation, crash: Crash) -> bool:
        """Add a crash; return whether it was new and is stored."""
        crashes = self.crash_by_incarnation
        if incarnation in crashes:
            return False
        crashes[incarnation] = crash
        self.changed_ms = max(self.changed_ms, crash.ended_ms)
        if not self.is_held and self.is_to_blame:
            self.hold()
        if len(crashes) > CRASHES_LIMIT:
            del crashes[self._least_telling()]
        return incarnation in crashes

    def hold(self) -> None:
        """Hold the request back."""
        self.is_held = True
        if self.is_memory_short:
            self.trials = max(self.trials, SHORT_MEMORY_TRIALS)
        elif len(self.crash_by_incarnation) > HELD_CRASHES:
            self.canaries = 1

    def remove(self, incarnation: Incarnation) -> None:
        """Remove a crash that was none; those that followed from it are less deep."""
        removed = self.crash_by_incarnation.pop(incarnation)
        crashes = self.crash_by_incarnation
        if any(crash.depth == removed.depth for crash in crashes.values()):
            return
        for other, crash in crashes.items():
            if crash.depth > removed.depth:
                crashes[other] = crash._replace(depth=crash.depth - 1)

    def _least_telling(self) -> Incarnation:
        """Return a crash of the depth that most others have too."""
        crashes = self.crash_by_incarnation
        count_by_depth = Counter(crash.depth for crash in crashes.values())
        return max(crashes, key=lambda one: (count_by_depth[crashes[one].depth], one))
