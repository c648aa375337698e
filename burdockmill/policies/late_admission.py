"""Decide whether a host that is stopping still takes a request.

Load pattern: clients use the connections that they have open until a stopping host has
closed them, and a body that arrives slowly makes a request late. What is taken and not
answered before the process ends is lost, and its client may not send it again if it
may run only once. A request that is refused at once is served by another host.
"""

from __future__ import annotations

from typing import NamedTuple

# So much of a route's attempts was faster, of requests that may be repeated or not.
REPEATABLE_QUANTILE = 0.9
ONCE_QUANTILE = 0.99
# Attempts of a route that have to be known for its quantiles to tell anything.
MIN_SAMPLES = 20
# Time beyond that of the upstream to pass a request on and to answer it.
FORWARDING_MS = 50.0
# Without known latencies, a repeatable request is taken in the first part of the time.
UNKNOWN_FRACTION = 0.5
# Refused clients return at once, since they reach other hosts.
RETRY_AFTER_MS = 10


class StopTimes(NamedTuple):
    """Store when a stop began and when all requests are answered, in milliseconds."""

    begun_ms: float
    answered_ms: float


class LateRequest(NamedTuple):
    """Describe a request that arrives during a stop; times in milliseconds.

    `final_ms` is the clock time at which it is answered in any case, and `upstream_ms`
    the time that an upstream takes at most as a rule, None if it is not known.
    """

    arrived_ms: float
    final_ms: float
    is_idempotent: bool
    upstream_ms: float | None


def may_finish(request: LateRequest, stop: StopTimes) -> bool:
    """Return whether a request can be expected to end before the host does."""
    if request.final_ms <= stop.answered_ms:
        return True
    remaining_ms = stop.answered_ms - request.arrived_ms
    if request.upstream_ms is not None:
        return request.upstream_ms + FORWARDING_MS <= remaining_ms
    whole_ms = stop.answered_ms - stop.begun_ms
    return request.is_idempotent and remaining_ms >= UNKNOWN_FRACTION * whole_ms


def latency_quantile(is_idempotent: bool) -> float:
    """Return the quantile of a route's latencies that decides on its requests."""
    return REPEATABLE_QUANTILE if is_idempotent else ONCE_QUANTILE
