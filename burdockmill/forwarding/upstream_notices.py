"""Remember what upstreams asked of this host in their answers.

Load pattern: the upstreams of a service are replaced one after the other, and each says
in its answers that it is leaving, often before its registration does; or all replicas
of a shard are full at once and each asks this host for a pause. Attempts that ignore
this are refused, or are cut off when the upstream ends.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from burdockmill.forwarding.messages import AttemptOutcome, Registration
    from burdockmill.names import UpstreamId

# Notices about upstreams that are gone are discarded beyond this number, oldest first.
NOTICES_LIMIT = 4_096


class Incarnation(NamedTuple):
    """Identify one run of an upstream; `started_ms` is in wall-clock milliseconds."""

    upstream: UpstreamId
    started_ms: int

    @classmethod
    def of(cls, registration: Registration) -> Incarnation:
        """Return the incarnation that a registration describes."""
        return cls(registration.upstream, registration.started_ms)


class UpstreamNotices:
    """Record which incarnations are leaving, and which want no requests for a time.

    `last_resort_ms` is how long a leaving upstream may still get requests that no other
    upstream can serve.
    """

    def __init__(self, last_resort_ms: float) -> None:
        self.counts: Counter[str] = Counter()
        self.last_resort_ms = last_resort_ms
        self._leaving_since_ms: dict[Incarnation, float] = {}
        self._paused_until_ms: dict[Incarnation, float] = {}

    def record(
        self, registration: Registration, outcome: AttemptOutcome, now_ms: float
    ) -> bool:
        """Record what an answer asks of this host; return whether it was new."""
        incarnation = Incarnation.of(registration)
        is_new = False
        if outcome.is_leaving:
            is_new = self.record_leaving(incarnation, now_ms)
        if outcome.pause_ms is not None:
            # Several answers may disagree; all of them are obeyed.
            until_ms = now_ms + outcome.pause_ms
            if until_ms > self._paused_until_ms.get(incarnation, now_ms):
                self._paused_until_ms[incarnation] = until_ms
                self.counts["pauses_requested"] += 1
                _discard_oldest(self._paused_until_ms)
                is_new = True
        return is_new

    def record_leaving(self, incarnation: Incarnation, now_ms: float) -> bool:
        """Record that an incarnation is leaving; return whether that was new."""
        if incarnation in self._leaving_since_ms:
            return False
        self._leaving_since_ms[incarnation] = now_ms
        self.counts["leaving_upstreams"] += 1
        _discard_oldest(self._leaving_since_ms)
        return True

    def is_leaving(self, registration: Registration) -> bool:
        """Return whether an upstream is known to be leaving."""
        return Incarnation.of(registration) in self._leaving_since_ms

    def may_send(self, registration: Registration, now_ms: float) -> bool:
        """Return whether an upstream may get another attempt now."""
        incarnation = Incarnation.of(registration)
        if now_ms < self._paused_until_ms.get(incarnation, now_ms):
            return False
        since_ms = self._leaving_since_ms.get(incarnation)
        return since_ms is None or now_ms < since_ms + self.last_resort_ms

    def pause_ms(self, registration: Registration, now_ms: float) -> float:
        """Return for how long an upstream still wants no requests, in milliseconds."""
        until_ms = self._paused_until_ms.get(Incarnation.of(registration), now_ms)
        return max(0.0, until_ms - now_ms)


def _discard_oldest(time_by_incarnation: dict[Incarnation, float]) -> None:
    if len(time_by_incarnation) > NOTICES_LIMIT:
        del time_by_incarnation[next(iter(time_by_incarnation))]
