"""Decide when a search is answered without the shards that have not responded.

Load pattern: a shard is lost or paused for longer than the latency goal. An answer
from most shards in time is worth more to a caller than a complete one too late.
"""

from __future__ import annotations

from math import ceil
from typing import NamedTuple

# Time to merge the answer, write it and deliver it to the client.
RESPONSE_DELIVERY_MS = 10.0
# An answer is sent at the latest this long before the deadline, to arrive in time.
DEADLINE_MARGIN_MS = 15.0
# Fractions such as 0.9 of a shard count are not exact in binary floating point.
COVERAGE_EPSILON = 1e-9


class AnswerTimes(NamedTuple):
    """Store the clock times, in milliseconds, at which a request is answered.

    From `partial_ms` on, a search is answered once enough shards have responded; at
    `final_ms` it is answered in any case.
    """

    partial_ms: float
    final_ms: float


def answer_times(
    received_ms: float,
    spent_ms: float,
    deadline_ms: float,
    goal_ms: float,
    timeout_ms: float,
) -> AnswerTimes:
    """Return when to answer; `spent_ms` elapsed before the request was received."""
    last_ms = min(deadline_ms, received_ms + timeout_ms)
    final_ms = max(received_ms, last_ms - DEADLINE_MARGIN_MS)
    partial_ms = received_ms + goal_ms - spent_ms - RESPONSE_DELIVERY_MS
    return AnswerTimes(min(partial_ms, final_ms), final_ms)


def least_shards(total: int, least_coverage: float) -> int:
    """Return how many shards an answer needs, at least one."""
    return max(1, ceil(least_coverage * total - COVERAGE_EPSILON))
