"""Notice upstreams that fall silent under attempts, as after a loss of power.

Load pattern: a request ends the machine of each upstream that runs it; no connection
ends, and new ones get no reply. Slow requests, pauses of upstreams and cut links of
this host look alike at first: an upstream that is busy accepts connections, one that
pauses replies later, and a host that is cut off hears from no other upstream either.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from itertools import chain, takewhile
from typing import TYPE_CHECKING, NamedTuple

from burdockmill.forwarding.messages import LinkState
from burdockmill.forwarding.reach_monitor import OpenAttempt
from burdockmill.forwarding.upstream_notices import Incarnation

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from burdockmill.forwarding.crash_guard import CrashGuard
    from burdockmill.forwarding.messages import Registration
    from burdockmill.forwarding.part_run import AttemptRow, PartRun
    from burdockmill.forwarding.reach_monitor import ReachMonitor
    from burdockmill.forwarding.run_suspicion import RunSuspicion
    from burdockmill.names import UpstreamId

# Most pauses of upstreams are shorter than this.
SILENT_MS = 250.0
# A connection to the same upstream is opened at most this often.
RETEST_MS = 500.0
# The upstream of an attempt that ended without a reply is tested for this long.
TESTED_MS = 2_000.0
# The attempt is kept until its upstream, if that ended, is back in the store.
KEPT_MS = 10_000.0
KEPT_LIMIT = 512


class KeptAttempt(NamedTuple):
    """Store an attempt that ended without a reply while its cause is not known."""

    part: PartRun
    row: AttemptRow
    suspicion: RunSuspicion
    ended_ms: float


class SilenceMonitor:
    """Find the upstreams that neither reply to attempts nor accept connections.

    `test` opens a connection to an upstream and calls `tested` with the result.
    `on_silent` is called with the incarnation, the time before which attempts were sent
    that it may have been running, and the time of the clock.
    """

    def __init__(
        self,
        monitor: ReachMonitor,
        guard: CrashGuard,
        test: Callable[[Registration], None],
        on_silent: Callable[[Incarnation, float, float], None],
    ) -> None:
        self.counts: Counter[str] = Counter()
        self._monitor = monitor
        self._guard = guard
        self._test = test
        self._on_silent = on_silent
        self._kept: deque[KeptAttempt] = deque(maxlen=KEPT_LIMIT)
        self._tested_ms_by_incarnation: dict[Incarnation, float] = {}

    def is_testing(self, now_ms: float) -> bool:
        """Return whether attempts ended without a reply lately."""
        return bool(self._kept) and now_ms - self._kept[-1].ended_ms < TESTED_MS

    def keep(
        self, part: PartRun, attempt: int, suspicion: RunSuspicion, now_ms: float
    ) -> None:
        """Keep an attempt that ended without a reply, unless its part has an answer."""
        if part.answer is not None:
            return
        [row] = [row for row in part.attempts if row.number == attempt]
        suspicion.release_request()
        self._kept.append(KeptAttempt(part, row, suspicion, now_ms))

    def check(self, attempts: Iterable[OpenAttempt], now_ms: float) -> None:
        """Test the upstreams that have not replied to attempts for long."""
        while self._kept and now_ms - self._kept[0].ended_ms >= KEPT_MS:
            self._kept.popleft()
        over = [
            OpenAttempt(one.row.upstream, one.row.sent_ms)
            for one in takewhile(
                lambda one: now_ms - one.ended_ms < TESTED_MS, reversed(self._kept)
            )
        ]
        for attempt in chain(attempts, over):
            if self._needs_test(attempt, now_ms):
                self._remember_test(Incarnation.of(attempt.upstream), now_ms)
                self.counts["tests"] += 1
                self._test(attempt.upstream)

    def tested(
        self, upstream: Registration, since_ms: float, state: LinkState, now_ms: float
    ) -> None:
        """Record what became of a connection that was begun at `since_ms`."""
        reach = self._monitor.reach
        is_own_link = reach.is_isolated or reach.heard_ms <= since_ms
        was_heard = reach.heard_of_ms(upstream.upstream) > since_ms
        if state is not LinkState.SILENT or is_own_link or was_heard:
            return
        self.counts["upstreams_fell_silent"] += 1
        self._guard.fell_silent(upstream, now_ms)
        self._blame(Incarnation.of(upstream), since_ms, now_ms)

    def restarted(self, upstream: UpstreamId, started_ms: int, now_ms: float) -> None:
        """Record that the store shows another run of an upstream than this one."""
        self._blame(Incarnation(upstream, started_ms), now_ms, now_ms)

    def _blame(self, incarnation: Incarnation, since_ms: float, now_ms: float) -> None:
        for one in list(self._kept):
            if Incarnation.of(one.row.upstream) != incarnation:
                continue
            self._kept.remove(one)
            if one.part.answer is None and one.row.sent_ms < since_ms:
                one.suspicion.fell_silent(one.row, one.part.service, now_ms)
                self._guard.share(one.suspicion.unanswered_keys, now_ms)
        self._on_silent(incarnation, since_ms, now_ms)

    def _needs_test(self, attempt: OpenAttempt, now_ms: float) -> bool:
        if not attempt.is_written or now_ms - attempt.since_ms < SILENT_MS:
            return False
        name = attempt.upstream.upstream
        heard_ms = max(attempt.since_ms, self._monitor.reach.heard_of_ms(name))
        unheard_ms = now_ms - heard_ms
        # For an attempt that takes long, the time between tests doubles.
        limit_ms = max(SILENT_MS, (now_ms - attempt.since_ms) / 2.0)
        if unheard_ms < limit_ms:
            return False
        incarnation = Incarnation.of(attempt.upstream)
        tested_ms = self._tested_ms_by_incarnation.get(incarnation, -math.inf)
        if now_ms - tested_ms < RETEST_MS or self._guard.is_silent(incarnation):
            return False
        if self._monitor.reach.is_isolated:
            return False
        return unheard_ms >= self._monitor.reply_limit_ms(name)

    def _remember_test(self, incarnation: Incarnation, now_ms: float) -> None:
        tested = self._tested_ms_by_incarnation
        tested.pop(incarnation, None)
        tested[incarnation] = now_ms
        while now_ms - next(iter(tested.values())) >= RETEST_MS:
            del tested[next(iter(tested))]
