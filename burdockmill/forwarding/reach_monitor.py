"""Notice from the outcomes of attempts when this host reaches no upstream."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from burdockmill.forwarding.messages import AttemptEnd
from burdockmill.messages.actions import LogDecision
from burdockmill.tables.upstream_reach import ReachFailure

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

    from burdockmill.forwarding.messages import AttemptOutcome, Registration
    from burdockmill.forwarding.observations import Observations
    from burdockmill.names import UpstreamId
    from burdockmill.tables.upstream_reach import UpstreamReach

# An attempt without a reply counts as silent after this multiple of the upstream's
# latency, and some time for the network and a queue.
SILENT_LATENCY_FACTOR = 2.0
SILENT_EXTRA_MS = 40.0
MIN_SILENT_MS = 80.0
# The same for an upstream of which no latency is known.
UNKNOWN_SILENT_MS = 250.0

HEARD_ENDS = frozenset(
    {
        AttemptEnd.ANSWERED,
        AttemptEnd.UPSTREAM_ERROR,
        AttemptEnd.NOT_RUN,
    }
)


class OpenAttempt(NamedTuple):
    """Describe an attempt in flight; `since_ms` is the clock time of its start.

    `is_written` is whether its request may have been sent.
    """

    upstream: Registration
    since_ms: float
    is_written: bool = True


class ReachMonitor:
    """Record whether attempts show that upstreams are reached, and report changes.

    `on_failure` is called after each failure, `on_change` when this host becomes
    isolated or connected.
    """

    def __init__(
        self,
        reach: UpstreamReach,
        observations: Observations,
        usable: Callable[[], Collection[Registration]],
        log: Callable[[LogDecision, float], None],
        on_failure: Callable[[], None],
        on_change: Callable[[], None],
    ) -> None:
        self.reach = reach
        self._observations = observations
        self._usable = usable
        self._log = log
        self._on_failure = on_failure
        self._on_change = on_change

    def ended(
        self,
        attempt: OpenAttempt,
        outcome: AttemptOutcome,
        now_ms: float,
        was_needed: bool,
    ) -> None:
        """Record how an attempt ended; `was_needed` is false if it was withdrawn."""
        upstream = attempt.upstream
        end = outcome.end
        if end is AttemptEnd.WRONG_INSTANCE:
            # Another upstream replied at its address.
            self.heard(None, now_ms)
        elif end in HEARD_ENDS or (
            end is AttemptEnd.WRONG_ANSWER and not outcome.is_cut_off
        ):
            self.heard(upstream, now_ms)
        elif outcome.is_cut_off:
            self._failed(attempt, ReachFailure.CUT_OFF, now_ms)
        elif end is AttemptEnd.NOT_SENT and was_needed:
            if outcome.is_refused:
                self.reach.refused(upstream.upstream, now_ms)
            self.unconnected(attempt, now_ms)
        elif end is AttemptEnd.SILENT and self._is_silent(attempt, now_ms):
            self._failed(attempt, ReachFailure.SILENT, now_ms)

    def check(self, attempts: Iterable[OpenAttempt], now_ms: float) -> None:
        """Record the attempts in flight that have had no reply for long."""
        for attempt in attempts:
            if self._is_silent(attempt, now_ms):
                self._failed(attempt, ReachFailure.SILENT, now_ms)
        self._review(now_ms)

    def heard(self, upstream: Registration | None, now_ms: float) -> None:
        """Record that an upstream replied or accepted a connection; None if unknown."""
        name = None if upstream is None else upstream.upstream
        isolated_ms = now_ms - (self.reach.isolated_since_ms or now_ms)
        if self.reach.heard(name, now_ms):
            inputs = {"heard": name, "isolated_ms": round(isolated_ms)}
            reason = "an upstream responds again"
            decision = LogDecision("reach", "", "connected", reason, inputs=inputs)
            self._log(decision, now_ms)
            self._on_change()

    def unconnected(self, attempt: OpenAttempt, now_ms: float) -> None:
        """Record that an upstream accepted no connection."""
        self._failed(attempt, ReachFailure.UNCONNECTED, now_ms)

    def reply_limit_ms(self, upstream: UpstreamId) -> float:
        """Return how long an upstream takes to reply at most if it is well."""
        latency_ms = self._observations.of(upstream).reply_ms
        if latency_ms is None:
            return UNKNOWN_SILENT_MS
        limit_ms = SILENT_LATENCY_FACTOR * latency_ms + SILENT_EXTRA_MS
        return max(MIN_SILENT_MS, limit_ms)

    def _failed(self, attempt: OpenAttempt, kind: ReachFailure, now_ms: float) -> None:
        cut_ms = now_ms if kind is ReachFailure.CUT_OFF else None
        self.reach.failed(attempt.upstream, kind, attempt.since_ms, cut_ms)
        self._review(now_ms)
        self._on_failure()

    def _review(self, now_ms: float) -> None:
        if not self.reach.needs_review or not self.reach.review(self._usable(), now_ms):
            return
        failures = self.reach.unheard
        inputs = {
            "last_heard_ms_ago": round(min(now_ms - self.reach.heard_ms, now_ms)),
            "failed": len(failures),
            "kinds": dict(Counter(one.kind.value for one in failures)),
            "domains": sorted({one.domain for one in failures}),
        }
        reason = "no upstream responds"
        decision = LogDecision("reach", "", "isolated", reason, inputs=inputs)
        self._log(decision, now_ms)
        self._on_change()

    def _is_silent(self, attempt: OpenAttempt, now_ms: float) -> bool:
        upstream = attempt.upstream.upstream
        if attempt.since_ms <= self.reach.heard_of_ms(upstream):
            return False
        return now_ms - attempt.since_ms >= self.reply_limit_ms(upstream)
