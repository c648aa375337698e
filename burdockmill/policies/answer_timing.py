"""Say when a search is answered without the shards that are still silent.

Load pattern: a shard is lost or paused for longer than the latency goal. A caller
is served better by most shards in time than by all of them too late.
"""

from __future__ import annotations

from typing import NamedTuple

# Time for merging, writing and the way back to the client.
RETURN_MS = 10.0
# The last answer leaves this long before the deadline, so that it arrives in time.
DEADLINE_MARGIN_MS = 15.0


class AnswerTimes(NamedTuple):
    """Hold the clock times, in milliseconds, at which a request is answered.

    From `partial_ms` on a search is answered once enough shards are in; at
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
    """Return when to answer; `spent_ms` passed before the request was received."""
    last_ms = min(deadline_ms, received_ms + timeout_ms)
    final_ms = max(received_ms, last_ms - DEADLINE_MARGIN_MS)
    partial_ms = received_ms + goal_ms - spent_ms - RETURN_MS
    return AnswerTimes(min(partial_ms, final_ms), final_ms)


def is_enough(covered: int, total: int, least_coverage: float) -> bool:
    """Tell whether so many shards make an answer."""
    return covered > 0 and covered >= least_coverage * total - COVERAGE_EPSILON


# Shares of shard counts such as 0.9 are not exact in binary.
COVERAGE_EPSILON = 1e-9
