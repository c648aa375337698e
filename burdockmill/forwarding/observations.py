"""Learn from answers how fast and how sound each upstream is."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.forwarding.messages import AttemptEnd
from burdockmill.tables.latency_histogram import LatencyHistogram

if TYPE_CHECKING:
    from collections.abc import Iterable

    from burdockmill.names import UpstreamId

# A newer latency counts a quarter, so that some five answers outweigh the past.
LATENCY_WEIGHT = 0.25
FAILURE_WEIGHT = 0.4
# A single answer counts as at most this much, since a pause delays one of them only.
OUTLIER_FACTOR = 4.0
OUTLIER_EXTRA_MS = 20.0
# What was learnt counts in full for this long, since a host with little traffic asks
# an upstream twice a second only; then it fades by half in the second time, so that an
# upstream that was slow is tried again.
HOLD_MS = 3_000.0
FADE_HALF_MS = 2_000.0
# A nearer upstream that is passed over is tested this often.
STALE_MS = 1_200.0
# An upstream that fails in a row is avoided this long at first, then twice as long.
AVOID_FIRST_MS = 400.0
AVOID_LONGEST_MS = 3_200.0
# A pause lasts under this time; longer silence counts as a failure.
SILENCE_MS = 250.0

_FAILURES = frozenset(
    {
        AttemptEnd.UPSTREAM_ERROR,
        AttemptEnd.NOT_RUN,
        AttemptEnd.NOT_SENT,
        AttemptEnd.BROKEN,
        AttemptEnd.WRONG_ANSWER,
        AttemptEnd.SILENT,
        AttemptEnd.WRONG_INSTANCE,
    }
)
# An upstream that sheds or fails a single request still answers; these show worse.
_OUTAGES = frozenset(
    {AttemptEnd.NOT_SENT, AttemptEnd.SILENT, AttemptEnd.WRONG_INSTANCE}
)


class Observation:
    """Hold what answers showed of one upstream; times in milliseconds.

    `started_ms` tells the incarnation, in wall-clock milliseconds.
    """

    __slots__ = (
        "_failures_in_row",
        "avoided_until_ms",
        "changed_ms",
        "cold_until_ms",
        "failing",
        "latency_ms",
        "open_since_ms_by_attempt",
        "probing",
        "started_ms",
    )

    def __init__(self, started_ms: int = 0, cold_until_ms: float = 0.0) -> None:
        self.started_ms = started_ms
        self.open_since_ms_by_attempt: dict[int, float] = {}
        self.latency_ms: float | None = None
        self.failing = 0.0
        self.changed_ms = 0.0
        self.avoided_until_ms = 0.0
        self.cold_until_ms = cold_until_ms
        self.probing = False
        self._failures_in_row = 0

    @property
    def suspect(self) -> bool:
        """Tell whether the last attempts showed an outage."""
        return self.avoided_until_ms > 0.0

    def may_probe(self, now_ms: float) -> bool:
        """Tell whether one attempt may show if a suspect is sound again."""
        return self.suspect and now_ms >= self.avoided_until_ms and not self.probing

    def is_stale(self, now_ms: float) -> bool:
        """Tell whether what was learnt is so old that a copy should test it."""
        return not (
            self.suspect
            or self.open_since_ms_by_attempt
            or now_ms - self.changed_ms < STALE_MS
        )

    def started(self, attempt: int, now_ms: float) -> None:
        """Note an attempt under way."""
        self.probing = self.suspect
        self.open_since_ms_by_attempt[attempt] = now_ms

    def oldest_ms(self, now_ms: float) -> float:
        """Return how long the oldest attempt under way has been silent."""
        since_ms = next(iter(self.open_since_ms_by_attempt.values()), now_ms)
        return now_ms - since_ms

    def faded(self, now_ms: float) -> float:
        """Return how much of what was learnt still counts, from 1 down to 0."""
        return 0.5 ** (max(0.0, now_ms - self.changed_ms - HOLD_MS) / FADE_HALF_MS)

    def dropped(self, attempt: int) -> None:
        """Forget an attempt that was withdrawn before it was sent."""
        self.open_since_ms_by_attempt.pop(attempt, None)
        self.probing = False

    def ended(
        self, attempt: int, end: AttemptEnd, now_ms: float, connecting_ms: float = 0.0
    ) -> float | None:
        """Note how an attempt ended; return how long it took, in milliseconds.

        `connecting_ms` passed before it had a connection and tells of no upstream.
        """
        since_ms = self.open_since_ms_by_attempt.pop(attempt, None)
        if since_ms is None:
            return None
        took_ms = now_ms - since_ms - connecting_ms
        self.probing = False
        if end is AttemptEnd.ANSWERED:
            self._learn_latency(took_ms, now_ms)
            self.failing *= 1.0 - FAILURE_WEIGHT
            self.avoided_until_ms = 0.0
            self._failures_in_row = 0
        elif end is AttemptEnd.SILENT and took_ms < SILENCE_MS:
            # It was given up early, so the silence shows only a lower bound.
            if took_ms > (self.latency_ms or 0.0):
                self._learn_latency(took_ms, now_ms)
        elif end in _FAILURES:
            self._learn_failure(end, now_ms)
        return took_ms

    def status(self, now_ms: float) -> dict[str, object]:
        """Return what is known, for operators."""
        return {
            "latency_ms": None
            if self.latency_ms is None
            else round(self.latency_ms, 1),
            "failing": round(self.failing * self.faded(now_ms), 2),
            "avoided": self.suspect,
            "under_way": len(self.open_since_ms_by_attempt),
        }

    def _learn_latency(self, took_ms: float, now_ms: float) -> None:
        if self.latency_ms is None:
            self.latency_ms = took_ms
        else:
            weight = max(LATENCY_WEIGHT, 1.0 - self.faded(now_ms))
            most_ms = OUTLIER_FACTOR * self.latency_ms + OUTLIER_EXTRA_MS
            self.latency_ms += weight * (min(took_ms, most_ms) - self.latency_ms)
        self.changed_ms = now_ms

    def _learn_failure(self, end: AttemptEnd, now_ms: float) -> None:
        self.failing += FAILURE_WEIGHT * (1.0 - self.failing)
        self.changed_ms = now_ms
        if end not in _OUTAGES:
            return
        if now_ms >= self.avoided_until_ms:
            avoid_ms = min(AVOID_FIRST_MS * 2**self._failures_in_row, AVOID_LONGEST_MS)
            self._failures_in_row = min(self._failures_in_row + 1, 16)
            self.avoided_until_ms = now_ms + avoid_ms


class Observations:
    """Hold an observation for each registered upstream, and latencies by route."""

    def __init__(self) -> None:
        self._by_upstream: dict[UpstreamId, Observation] = {}
        self._latency_by_class: dict[tuple[str, bool], LatencyHistogram] = {}

    def of(self, upstream: UpstreamId) -> Observation:
        """Return what is known of an upstream."""
        known = self._by_upstream.get(upstream)
        if known is None:
            known = self._by_upstream[upstream] = Observation()
        return known

    def renew(
        self, upstream: UpstreamId, started_ms: int, cold_until_ms: float
    ) -> None:
        """Forget what another incarnation of an upstream showed."""
        self._by_upstream[upstream] = Observation(started_ms, cold_until_ms)

    def forget(self, upstreams: Iterable[UpstreamId]) -> None:
        """Forget upstreams that are gone."""
        for upstream in upstreams:
            self._by_upstream.pop(upstream, None)

    def latencies(self, route: str, is_near: bool) -> LatencyHistogram:
        """Return the latencies of a route's attempts, by whether they stay near."""
        key = (route, is_near)
        known = self._latency_by_class.get(key)
        if known is None:
            known = self._latency_by_class[key] = LatencyHistogram()
        return known

    def keep_routes(self, route_names: set[str]) -> None:
        """Forget the routes that are gone."""
        for key in [key for key in self._latency_by_class if key[0] not in route_names]:
            del self._latency_by_class[key]
