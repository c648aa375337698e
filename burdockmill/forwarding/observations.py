"""Record the latency and health of each upstream from the outcomes of attempts."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from burdockmill.forwarding.attempt_costs import MIN_WORK_MS, AttemptCosts
from burdockmill.forwarding.messages import AttemptEnd
from burdockmill.forwarding.open_work import OpenWork
from burdockmill.policies.upstream_load import UpstreamLoad
from burdockmill.tables.latency_histogram import LatencyHistogram

if TYPE_CHECKING:
    from collections.abc import Iterable

    from burdockmill.names import UpstreamId

# EWMA weight of a new latency: a quarter, so that some five answers replace the past.
LATENCY_WEIGHT = 0.25
FAILURE_WEIGHT = 0.4
# A single latency is capped at this, since a pause delays only one answer.
OUTLIER_FACTOR = 4.0
OUTLIER_EXTRA_MS = 20.0
# A latency above this multiple of the average may be due to a pause, which has ended
# then. It has a low weight unless the next attempt is as slow.
STALLED_FACTOR = 2.0
STALLED_EXTRA_MS = 10.0
FIRST_STALL_WEIGHT = 0.05
# An observation keeps its full weight for this long, since a host with little traffic
# sends attempts to an upstream only twice a second.
FULL_WEIGHT_MS = 3_000.0
# After that its weight is reduced by half in each such period, so that an upstream that
# was slow is tried again.
HALF_LIFE_MS = 2_000.0
# A closer upstream that gets no attempts is probed this often.
STALE_MS = 1_200.0
# An upstream is avoided for this long after an outage, and twice as long after each
# consecutive one, up to a limit.
AVOID_FIRST_MS = 400.0
AVOID_LONGEST_MS = 3_200.0
# An upstream's pause is shorter than this; an attempt without a response for this
# long counts as a failure.
UNRESPONSIVE_MS = 250.0

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
# An upstream that sheds or fails a request still responds; these ends show an outage.
_OUTAGES = frozenset(
    {AttemptEnd.NOT_SENT, AttemptEnd.SILENT, AttemptEnd.WRONG_INSTANCE}
)


class Observation:
    """Store the latency and health of one upstream; times in milliseconds.

    `started_ms` identifies the incarnation, in wall-clock milliseconds. `latency_ms` is
    that of a request of the service's reference route, and `network_ms` the part of it
    that is not the upstream's.
    """

    __slots__ = (
        "_failures_in_row",
        "_is_stalled",
        "_stall_ended_ms",
        "avoided_until_ms",
        "changed_ms",
        "cold_until_ms",
        "failing",
        "latency_ms",
        "load",
        "network_ms",
        "open_since_ms_by_attempt",
        "open_work",
        "probing",
        "started_ms",
    )

    def __init__(self, started_ms: int = 0, cold_until_ms: float = 0.0) -> None:
        self.started_ms = started_ms
        self.open_since_ms_by_attempt: dict[int, float] = {}
        self.open_work = OpenWork()
        self.latency_ms: float | None = None
        self.network_ms = 0.0
        self.load = UpstreamLoad()
        self.failing = 0.0
        self.changed_ms = 0.0
        self.avoided_until_ms = 0.0
        self.cold_until_ms = cold_until_ms
        self.probing = False
        self._failures_in_row = 0
        # Whether the latest latency was that of a stall, and when the stall ended.
        self._is_stalled = False
        self._stall_ended_ms = -math.inf

    @property
    def suspect(self) -> bool:
        """Return whether an outage was observed and no answer since."""
        return self.avoided_until_ms > 0.0

    def may_probe(self, now_ms: float) -> bool:
        """Return whether a probe may check now if a suspect upstream is healthy."""
        return self.suspect and now_ms >= self.avoided_until_ms and not self.probing

    def is_stale(self, now_ms: float) -> bool:
        """Return whether a probe is due, with no outage and no attempt in flight."""
        return not (
            self.suspect
            or self.open_since_ms_by_attempt
            or now_ms - self.changed_ms < STALE_MS
        )

    def started(self, attempt: int, now_ms: float, factor: float = 1.0) -> None:
        """Record that an attempt was sent; `factor` is its work in usual requests."""
        self.probing = self.suspect
        self.open_since_ms_by_attempt[attempt] = now_ms
        self.open_work.add(attempt, factor)

    @property
    def reply_ms(self) -> float | None:
        """Return the expected latency of the attempt in flight that takes longest.

        None if no latency is known.
        """
        if self.latency_ms is None:
            return None
        extra_work = self.open_work.largest - 1.0
        return self.latency_ms + extra_work * self.work_ms(self.latency_ms)

    def work_ms(self, latency_ms: float) -> float:
        """Return the upstream's part of a latency."""
        return max(MIN_WORK_MS, latency_ms - self.network_ms)

    def oldest_ms(self, now_ms: float) -> float:
        """Return the age of the oldest attempt in flight, in milliseconds."""
        since_ms = next(iter(self.open_since_ms_by_attempt.values()), now_ms)
        return now_ms - since_ms

    def weight(self, now_ms: float) -> float:
        """Return the remaining weight of the observation, from 1 down to 0."""
        return 0.5 ** (
            max(0.0, now_ms - self.changed_ms - FULL_WEIGHT_MS) / HALF_LIFE_MS
        )

    def withdrawn(self, attempt: int) -> None:
        """Remove an attempt that was withdrawn before it was sent."""
        self.open_since_ms_by_attempt.pop(attempt, None)
        self.open_work.remove(attempt)
        self.probing = False

    def ended(
        self,
        attempt: int,
        end: AttemptEnd,
        now_ms: float,
        connecting_ms: float = 0.0,
        scale: float | None = None,
    ) -> float | None:
        """Record how an attempt ended; return how long it took, in milliseconds.

        `connecting_ms` is the time until it had a connection, which is excluded since
        it does not depend on the upstream's health. `scale` is how many times as long
        as a usual request it works, None for what was known when it was sent.
        """
        since_ms = self.open_since_ms_by_attempt.pop(attempt, None)
        factor = self.open_work.remove(attempt)
        if since_ms is None:
            return None
        took_ms = now_ms - since_ms - connecting_ms
        self.probing = False
        usual_ms = self._usual_ms(took_ms, factor if scale is None else scale)
        if end is AttemptEnd.ANSWERED:
            self._record_latency(usual_ms, since_ms, now_ms)
            self.failing *= 1.0 - FAILURE_WEIGHT
            self.avoided_until_ms = 0.0
            self._failures_in_row = 0
        elif end is AttemptEnd.SILENT and took_ms < UNRESPONSIVE_MS:
            # The attempt was cancelled early, so its duration is only a lower bound.
            if usual_ms > (self.latency_ms or 0.0):
                self._record_latency(usual_ms, since_ms, now_ms)
        elif end in _FAILURES:
            self._record_failure(end, now_ms)
        return took_ms

    def end_outage(self) -> None:
        """Forget the failures since the last answer."""
        self.failing = 0.0
        self.avoided_until_ms = 0.0
        self._failures_in_row = 0

    def status(self, now_ms: float) -> dict[str, object]:
        """Return the observation as shown to operators."""
        return {
            "latency_ms": None
            if self.latency_ms is None
            else round(self.latency_ms, 1),
            "failing": round(self.failing * self.weight(now_ms), 2),
            "avoided": self.suspect,
            "under_way": len(self.open_since_ms_by_attempt),
            "stated_load": self.load.status(now_ms),
        }

    def _usual_ms(self, took_ms: float, scale: float) -> float:
        """Return how long a request of the reference route would have taken.

        `scale` is the work of the request that took `took_ms` in usual requests.
        """
        if scale == 1.0:
            return took_ms
        if self.latency_ms is None:
            return self.network_ms + self.work_ms(took_ms) / scale
        # A wait for a slot is the same for all, so that the answer to a cheap request
        # says little of the work; dividing by the scale would amplify its wait.
        error_ms = self.work_ms(took_ms) - scale * self.work_ms(self.latency_ms)
        return max(0.0, self.latency_ms + error_ms * min(scale, 1.0 / scale))

    def _record_latency(self, took_ms: float, since_ms: float, now_ms: float) -> None:
        if self.latency_ms is None:
            self.latency_ms = took_ms
        else:
            weight = self._weight_of_latency(took_ms, since_ms, now_ms)
            limit_ms = OUTLIER_FACTOR * self.latency_ms + OUTLIER_EXTRA_MS
            self.latency_ms += weight * (min(took_ms, limit_ms) - self.latency_ms)
        self.changed_ms = now_ms

    def _weight_of_latency(
        self, took_ms: float, since_ms: float, now_ms: float
    ) -> float:
        """Return the weight of a latency; attempts of one stall count once."""
        assert self.latency_ms is not None
        weight = max(LATENCY_WEIGHT, 1.0 - self.weight(now_ms))
        if took_ms <= STALLED_FACTOR * self.latency_ms + STALLED_EXTRA_MS:
            self._is_stalled = False
            return weight
        if since_ms < self._stall_ended_ms:
            return 0.0
        self._stall_ended_ms = now_ms
        if not self._is_stalled:
            self._is_stalled = True
            return FIRST_STALL_WEIGHT
        return weight

    def _record_failure(self, end: AttemptEnd, now_ms: float) -> None:
        self.failing += FAILURE_WEIGHT * (1.0 - self.failing)
        self.changed_ms = now_ms
        if end not in _OUTAGES:
            return
        if now_ms >= self.avoided_until_ms:
            avoid_ms = min(AVOID_FIRST_MS * 2**self._failures_in_row, AVOID_LONGEST_MS)
            self._failures_in_row = min(self._failures_in_row + 1, 16)
            self.avoided_until_ms = now_ms + avoid_ms


class Observations:
    """Store an observation for each registered upstream, and latencies by route."""

    def __init__(self, costs: AttemptCosts | None = None) -> None:
        self.costs = AttemptCosts() if costs is None else costs
        self._by_upstream: dict[UpstreamId, Observation] = {}
        self._histogram_by_key: dict[tuple[str, bool], LatencyHistogram] = {}

    def of(self, upstream: UpstreamId) -> Observation:
        """Return the observation of an upstream, a new one if there is none."""
        observation = self._by_upstream.get(upstream)
        if observation is None:
            observation = self._by_upstream[upstream] = Observation()
        return observation

    def reset(
        self, upstream: UpstreamId, started_ms: int, cold_until_ms: float
    ) -> None:
        """Start a new observation for another incarnation of an upstream."""
        self._by_upstream[upstream] = Observation(started_ms, cold_until_ms)

    def end_outages(self) -> None:
        """Use all upstreams again, since this host's own links had failed."""
        for observation in self._by_upstream.values():
            observation.end_outage()

    def remove(self, upstreams: Iterable[UpstreamId]) -> None:
        """Remove the observations of upstreams."""
        for upstream in upstreams:
            self._by_upstream.pop(upstream, None)

    def latencies(self, route: str, is_near: bool) -> LatencyHistogram:
        """Return the latencies of a route's attempts in this region or the others."""
        key = (route, is_near)
        histogram = self._histogram_by_key.get(key)
        if histogram is None:
            histogram = self._histogram_by_key[key] = LatencyHistogram()
        return histogram

    def keep_routes(self, route_names: set[str]) -> None:
        """Remove the latencies of routes that are not among `route_names`."""
        for key in [key for key in self._histogram_by_key if key[0] not in route_names]:
            del self._histogram_by_key[key]
        self.costs.keep_routes(route_names)
