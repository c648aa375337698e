"""Check what hosts do to upstreams that name limits, or end under a request."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

from soak.check_times import CONFIG_APPLY_MS, is_in_touch
from soak.records import RunRecord
from soak.upstream import DEADLY
from soak.violation import Violation

# The users' pages allow this multiple of a limit in a window, and some requests more.
LIMIT_WINDOW_MS = 4_000.0
LIMIT_FACTOR, LIMIT_EXTRA = 1.5, 5
# Hosts hear of a limit by answers and from each other.
LIMIT_HEARD_MS = 1_000.0
# Three crashes that follow from each other, attempts beside them, and two trials.
CRASHES_ALLOWED = 8


def check_limits(record: RunRecord) -> Iterator[Violation]:
    """Find upstreams that get far more than they named (LIMIT)."""
    for limit in record.limits:
        times_ms = sorted(
            one.at_ms
            for one in record.arrivals
            if one.upstream == limit.upstream
            and limit.from_ms + LIMIT_HEARD_MS <= one.at_ms <= limit.to_ms
        )
        allowed = LIMIT_FACTOR * limit.per_s * LIMIT_WINDOW_MS / 1_000.0 + LIMIT_EXTRA
        for from_ms in times_ms:
            sent = sum(from_ms <= one < from_ms + LIMIT_WINDOW_MS for one in times_ms)
            if sent > allowed:
                detail = f"{sent} requests in a window, {allowed:.0f} allowed: {limit}"
                yield Violation("LIMIT", from_ms, detail)
                break


def check_suspects(record: RunRecord) -> Iterator[Violation]:
    """Find requests that end one upstream after the other (SUSPECT)."""
    times_by_target = defaultdict(list)
    for arrival in record.arrivals:
        if DEADLY in arrival.target and arrival.ran:
            times_by_target[arrival.target].append(arrival.at_ms)
    for target, times_ms in times_by_target.items():
        if len(times_ms) > CRASHES_ALLOWED:
            detail = f"{target} ended {len(times_ms)} upstreams"
            yield Violation("SUSPECT", times_ms[-1], detail)


def check_evacuations(record: RunRecord) -> Iterator[Violation]:
    """Find requests at upstreams of an evacuated failure domain (EVAC)."""
    sent = {one.id: one for one in record.attempts}
    for arrival in record.arrivals:
        attempt = sent.get(arrival.id)
        if attempt is None or not arrival.ran:
            continue
        for one in record.evacuations:
            late_ms = arrival.at_ms - one.confirmed_ms - CONFIG_APPLY_MS
            if (
                late_ms > 0
                and arrival.at_ms < one.taken_back_ms
                and domain_of(arrival.upstream) == one.domain
                and is_in_touch(record, attempt.host, one.confirmed_ms, arrival.at_ms)
            ):
                detail = f"{arrival.id} at {arrival.upstream}, {late_ms:.0f} ms late"
                yield Violation("EVAC", arrival.at_ms, detail)


def domain_of(upstream: str) -> int:
    """Return the number of an upstream's failure domain, which its name has."""
    return int(upstream.rsplit("-", 2)[1])
