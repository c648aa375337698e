"""Use what an upstream states of its load while that is recent.

Load pattern: many hosts send to the same upstreams, and each host knows only its own
attempts. An upstream's answers state how many requests run and wait there and how long
work takes now; both change several times a second.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burdockmill.forwarding.messages import StatedLoad

# The weight of a stated load halves in this time: queues of a few slots and requests of
# 10 to 40 ms are others after some 300 ms.
LOAD_HALF_LIFE_MS = 150.0
# A request in a free slot counts as this much of one ahead, since hosts that see the
# same free slots at the same time fill them together.
BUSY_SHARE = 0.5
# A weight below this is taken for 0.
LEAST_WEIGHT = 0.02
# EWMA weight of a stated pace in the pace that is expected without a recent statement.
PACE_WEIGHT = 0.1
PACE_LOWEST = 0.1
PACE_HIGHEST = 20.0


class UpstreamLoad:
    """Store the latest stated load of an upstream, and its usual pace."""

    __slots__ = ("_others", "_stated", "_stated_ms", "_usual_ahead", "_usual_pace")

    def __init__(self) -> None:
        self._stated: StatedLoad | None = None
        self._stated_ms = -math.inf
        self._others = 0.0
        self._usual_ahead = 0.0
        self._usual_pace = 1.0

    def record(self, load: StatedLoad, own_requests: int, now_ms: float) -> float:
        """Record a stated load, of which `own_requests` are this host's.

        Return the pace at which the answer that states it was worked on.
        """
        pace = max(PACE_LOWEST, min(load.pace, PACE_HIGHEST))
        self._usual_pace += PACE_WEIGHT * (pace - self._usual_pace)
        self._stated = load._replace(pace=pace)
        self._stated_ms = now_ms
        self._others = max(0.0, float(load.running + load.waiting - own_requests))
        ahead = self._ahead(float(own_requests))
        self._usual_ahead += PACE_WEIGHT * (ahead - self._usual_ahead)
        return pace

    def status(self, now_ms: float) -> dict[str, object] | None:
        """Return the latest stated load with its age, as shown to operators."""
        if self._stated is None:
            return None
        age_ms = round(now_ms - self._stated_ms)
        return {**self._stated._asdict(), "age_ms": age_ms}

    def weight(self, now_ms: float) -> float:
        """Return the weight of the stated load, from 1 down to 0."""
        weight = 0.5 ** (max(0.0, now_ms - self._stated_ms) / LOAD_HALF_LIFE_MS)
        return weight if weight >= LEAST_WEIGHT else 0.0

    def pace(self, now_ms: float) -> float:
        """Return how many times as long as usual work is expected to take now."""
        if self._stated is None:
            return 1.0
        stated = self._stated.pace - self._usual_pace
        return self._usual_pace + self.weight(now_ms) * stated

    def queue(self, own_work: float, now_ms: float) -> tuple[float, float]:
        """Return the weight of the stated load, and the requests ahead of a new one.

        `own_work` is what this host has there, in usual requests. The requests ahead
        are those for each slot, beyond the usual ones, whose wait the upstream's
        latency contains already.
        """
        weight = self.weight(now_ms)
        if not weight or self._stated is None:
            return 0.0, 0.0
        return weight, self._ahead(own_work) - self._usual_ahead

    def _ahead(self, own_work: float) -> float:
        """Return the requests that a new one waits for, for each slot."""
        assert self._stated is not None
        slots = max(1, self._stated.slots)
        present = self._others + own_work
        busy = BUSY_SHARE * min(present, float(slots))
        return (busy + max(0.0, present - slots + 1.0)) / slots
