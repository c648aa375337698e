"""Hold back requests that crash the upstreams that run them."""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING, Any

from burdockmill.forwarding.canary_turns import CanaryTurns, Turn
from burdockmill.forwarding.standing import Standing
from burdockmill.forwarding.upstream_notices import Incarnation
from burdockmill.messages.suspects import SuspectsChanged
from burdockmill.policies.crash_blame import (
    HELD_DEPTH,
    LONE_CANARY_CRASHES,
    Crash,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable, Mapping

    from burdockmill.forwarding.messages import Registration
    from burdockmill.messages.events import Event
    from burdockmill.names import HostId
    from burdockmill.tables.crash_suspects import CrashSuspects
    from burdockmill.tables.suspect_row import SuspectRow

# An upstream that ended is back after some seconds; a reply before that disproves it.
DISPROOF_MS = 1_000.0
# The store shows a new incarnation within this time; until then a reply may be from
# the next run of an upstream that fell silent.
REGISTRATION_DELAY_MS = 2_500.0
# A trial that is due happens at the host that a client reaches only by chance.
MIN_RETURN_MS = 1_000.0
# A request that gets no more trials is told to return after this time.
NO_TRIAL_RETURN_MS = 3_600_000.0
# All hosts together tell of so many newly suspected requests at once, and on average,
# since each report reaches every host several times.
SHARES_BURST = 16.0
SHARES_PER_MS = 0.001
# Ended or silent upstreams beyond this number are discarded, oldest first.
ENDED_LIMIT = 1_024


class SilentUpstream:
    """Store when an upstream fell silent, and when it first replied after that."""

    __slots__ = ("replied_ms", "since_ms")

    def __init__(self, since_ms: float) -> None:
        self.since_ms = since_ms
        self.replied_ms: float | None = None


class CrashGuard:
    """Record crashes and answers of requests, and decide which are sent."""

    def __init__(
        self,
        suspects: CrashSuspects,
        host: HostId,
        live_hosts: Callable[[], Collection[HostId]],
        post: Callable[[Event], None],
    ) -> None:
        self.counts: Counter[str] = Counter()
        self.suspects = suspects
        self._host = host
        self._live_hosts = live_hosts
        self._post = post
        self._turns = CanaryTurns(host, live_hosts, post, self.counts)
        self._ended_ms_by_incarnation: dict[Incarnation, float] = {}
        self._silent_by_incarnation: dict[Incarnation, SilentUpstream] = {}
        self._shares = SHARES_BURST
        self._refilled_ms = 0.0

    def standing(self, key: str, now_ms: float) -> Standing:
        """Return how to treat a request now; a trial is given only once.

        A trial that another host grants is awaited, as `turn` tells.
        """
        row = self.suspects.row(key)
        if row is None:
            return Standing.TRUSTED
        if not row.is_held:
            return Standing.SUSPECTED
        if now_ms >= max(row.next_trial_ms, row.canary_until_ms):
            if self._turns.owner(row) != self._host:
                return Standing.TRIAL_AWAITED
            if self._turns.turn(row, now_ms) is Turn.FREE:
                self._start_trial(row, now_ms)
                return Standing.TRIAL
        self.counts["refused"] += 1
        return Standing.HELD

    def is_held(self, key: str) -> bool:
        """Return whether a request is held back; this starts no trial."""
        row = self.suspects.row(key)
        return row is not None and row.is_held

    def crash_count(self, key: str) -> int:
        """Return how many crashes are known under a request since its last answer."""
        row = self.suspects.row(key)
        return 0 if row is None else len(row.crash_by_incarnation)

    def return_ms(self, key: str, now_ms: float) -> float:
        """Return in how many milliseconds a request that is held back is tried."""
        row = self.suspects.row(key)
        due_ms = math.inf if row is None else row.next_trial_ms
        if due_ms == math.inf:
            return NO_TRIAL_RETURN_MS
        return max(MIN_RETURN_MS, due_ms - now_ms)

    def depth(self, key: str) -> int:
        """Return how many crashes under a request followed one from the other."""
        row = self.suspects.row(key)
        return 0 if row is None else row.depth

    def crashed(
        self,
        key: str,
        upstream: Registration,
        known_depth: int,
        now_ms: float,
        is_silent: bool = False,
    ) -> None:
        """Record that an upstream seems to have ended under a request.

        `known_depth` is what `depth` returned when the attempt was sent. `is_silent` is
        whether its connections did not end.
        """
        incarnation = Incarnation.of(upstream)
        if incarnation not in self._silent_by_incarnation:
            self._ended_ms_by_incarnation[incarnation] = now_ms
            _discard_oldest(self._ended_ms_by_incarnation)
        known, needed_turn = self.depth(key), self.needs_turn(key)
        # An answer since then has started another round.
        depth = min(known_depth, known) + 1
        if is_silent and depth > 1 and known >= depth:
            # Silence shows late, when one canary after the other may have been sent.
            depth = max(depth, HELD_DEPTH)
        crash = Crash(self._host, depth, now_ms)
        row = self.suspects.record(key, incarnation, crash, now_ms)
        if row is None or (row.depth <= known and row.needs_turn is needed_turn):
            return
        if row.depth > known:
            row.end_canary()
        if row.is_shared or row.is_held:
            self._publish(row)

    def turn(self, key: str, now_ms: float) -> Turn:
        """Return whether an attempt may be sent, or waits for the end of another."""
        row = self.suspects.row(key)
        return Turn.FREE if row is None else self._turns.turn(row, now_ms)

    def must_wait(self, key: str, now_ms: float) -> bool:
        """Return whether an attempt of this or another host has to end first."""
        return self.turn(key, now_ms) is Turn.WAIT

    def needs_turn(self, key: str) -> bool:
        """Return whether all hosts together send one attempt at a time."""
        row = self.suspects.row(key)
        return row is not None and row.needs_turn

    def canary_sent(self, key: str, now_ms: float) -> None:
        """Let other attempts at a request that crashed several upstreams wait."""
        row = self.suspects.row(key)
        if row is None:
            return
        if row.needs_turn:
            self._turns.use(row)
        if row.is_held:
            if now_ms >= row.canary_until_ms:
                self._start_trial(row, now_ms)
            return
        if len(row.crash_by_incarnation) >= LONE_CANARY_CRASHES:
            row.canary_sent_ms = now_ms
            self.counts["lone_canaries"] += 1
            if row.is_shared:
                self._publish(row)
            else:
                self.share([key], now_ms)

    def canary_ended(self, key: str, is_decided: bool = True) -> None:
        """Let the next attempt at a request be sent.

        Unless `is_decided` the next one waits on, as silence shows only later.
        """
        row = self.suspects.row(key)
        if row is None:
            return
        if is_decided:
            row.end_canary()
        self._turns.end(row)

    def trial_failed(self, key: str, now_ms: float) -> None:
        """Record that a trial ended without an answer."""
        row = self.suspects.row(key)
        if row is not None:
            self.suspects.end_trial(row, now_ms)
            self._publish(row)

    def answered(self, keys: Iterable[str], now_ms: float) -> None:
        """Clear a request that an upstream has answered."""
        for key in keys:
            row = self.suspects.clear(key, now_ms)
            if row is not None and row.is_shared:
                self._publish(row)

    def fell_silent(self, upstream: Registration, now_ms: float) -> None:
        """Record that an upstream neither replies nor accepts connections."""
        self.counts["upstreams_fell_silent"] += 1
        self._silent_by_incarnation[Incarnation.of(upstream)] = SilentUpstream(now_ms)
        _discard_oldest(self._silent_by_incarnation)

    def is_silent(self, incarnation: Incarnation) -> bool:
        """Return whether an upstream fell silent, and did not come back since."""
        return incarnation in self._silent_by_incarnation

    def replied(self, upstream: Registration, sent_ms: float, now_ms: float) -> None:
        """Record a reply to an attempt, which shows that its upstream still runs."""
        if not self._ended_ms_by_incarnation and not self._silent_by_incarnation:
            return
        incarnation = Incarnation.of(upstream)
        if self._is_same_run(incarnation, sent_ms, now_ms):
            del self._silent_by_incarnation[incarnation]
            self.disprove(incarnation, now_ms)
        ended_ms = self._ended_ms_by_incarnation.get(incarnation)
        if ended_ms is not None and sent_ms > ended_ms:
            del self._ended_ms_by_incarnation[incarnation]
            if now_ms - ended_ms < DISPROOF_MS:
                self.disprove(incarnation, now_ms)

    def disprove(self, incarnation: Incarnation, now_ms: float) -> None:
        """Take back the crashes of an upstream that still runs."""
        for row in self.suspects.disprove(incarnation, now_ms):
            if row.is_shared:
                self._publish(row)

    def share(self, keys: Iterable[str], now_ms: float) -> None:
        """Tell other hosts of the crashes under a request that got no answer.

        When many requests lose their upstreams at once, some are told of only after
        they have come again.
        """
        for key in keys:
            row = self.suspects.row(key)
            if row is None or row.is_shared:
                continue
            elapsed_ms = max(0.0, now_ms - self._refilled_ms)
            self._refilled_ms = now_ms
            hosts = max(1, len(self._live_hosts()))
            refilled = self._shares + elapsed_ms * SHARES_PER_MS / hosts
            self._shares = min(max(1.0, SHARES_BURST / hosts), refilled)
            if self._shares < 1.0:
                self.counts["shares_refused"] += 1
                return
            self._shares -= 1.0
            self._publish(row)

    def explain(self, key: str, now_ms: float) -> Mapping[str, object] | None:
        """Return the crashes under a request for logs, None if there are none."""
        row = self.suspects.row(key)
        if row is None:
            return None
        return {
            "held_back": row.is_held,
            "trials": row.trials,
            "crashes": [
                [
                    incarnation.upstream,
                    one.host,
                    one.depth,
                    round(now_ms - one.ended_ms),
                ]
                for incarnation, one in row.crash_by_incarnation.items()
            ],
        }

    def _is_same_run(
        self, incarnation: Incarnation, sent_ms: float, now_ms: float
    ) -> bool:
        """Return whether a reply shows that an upstream was only silent for a while."""
        silent = self._silent_by_incarnation.get(incarnation)
        if silent is None:
            return False
        if sent_ms <= silent.since_ms:
            return True
        if silent.replied_ms is None:
            silent.replied_ms = now_ms
        return sent_ms - silent.replied_ms >= REGISTRATION_DELAY_MS

    def _start_trial(self, row: SuspectRow, now_ms: float) -> None:
        row.canary_sent_ms = now_ms
        self._publish(row)
        self.counts["trials"] += 1

    def _publish(self, row: SuspectRow) -> None:
        row.is_shared = True
        self._post(SuspectsChanged((row.key,)))


def _discard_oldest(by_incarnation: dict[Incarnation, Any]) -> None:
    if len(by_incarnation) > ENDED_LIMIT:
        del by_incarnation[next(iter(by_incarnation))]
