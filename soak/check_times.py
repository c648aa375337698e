"""Check what must have happened by a time: stops, departures, versions, deadlines."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

from soak.records import ClientAttempt, Route, RunRecord
from soak.violation import Violation

STABLE_MS = 5_000.0
DRAIN_MS = 3_000.0
CONFIG_APPLY_MS = 4_000.0
LOSS_SLACK_MS = 200.0
GRACE_MS = 3_000.0
DEADLINE_SLACK_MS = 500.0
RECOVERY_MS = 12_000.0
RETRY_WINDOW_MS = 10_000.0
RETRY_RATIO, RETRY_EXTRA = 0.2, 58
LATE_ARRIVALS_ALLOWED = 20
GONE_ALLOWED = 3
GONE_MS = 500.0
RECOVERED_FRACTION = 0.25
# Once all faults are over for so long, a site of this size serves nearly all.
SETTLED_FRACTION = 0.95
MEMORY_LIMIT_KB = 300 * 1024
GROWTH_LIMIT_KB = 20 * 1024
DESCRIPTORS_LIMIT = 1_000
LEAST_LIFE_MS = 60_000.0
STORE_KINDS = ("store_pause", "store_copy")
# Planned work excuses no request that it cuts off.
PLANNED_KINDS = ("stop", "build")


def is_in_touch(record: RunRecord, host: int, from_ms: float, to_ms: float) -> bool:
    """Return whether nothing impaired a host or the store in a time and before it."""
    return not any(
        one.from_ms <= to_ms and one.to_ms >= from_ms - STABLE_MS
        for one in record.impairments
        if one.host == host or one.kind in STORE_KINDS
    )


def check_stops(record: RunRecord) -> Iterator[Violation]:
    """Find requests that planned stops cut off (LOST)."""
    for stop in record.stops:
        to_ms = max(stop.ended_ms, stop.at_ms + GRACE_MS) + 1_000.0
        if any(
            one.from_ms <= to_ms and one.to_ms >= stop.at_ms - STABLE_MS
            for one in record.impairments
            if one.kind not in PLANNED_KINDS
        ):
            continue
        arrived = {one.id for one in record.arrivals}
        for attempt in record.attempts:
            if attempt.host == stop.host and stop.at_ms <= attempt.ended_ms <= to_ms:
                yield from _check_cut(attempt, attempt.id in arrived, stop.at_ms)


def _check_cut(
    attempt: ClientAttempt, has_arrived: bool, stopped_ms: float
) -> Iterator[Violation]:
    took_ms = attempt.ended_ms - attempt.sent_ms
    is_over = took_ms >= attempt.time_limit_ms
    if attempt.status or attempt.left or not attempt.is_proper or is_over:
        return
    if has_arrived or took_ms > LOSS_SLACK_MS:
        detail = (
            f"{attempt.id} at host {attempt.host}, sent "
            f"{attempt.sent_ms - stopped_ms:.0f} ms after SIGTERM, cut {took_ms:.0f} "
            f"ms later, arrived: {has_arrived}"
        )
        yield Violation("LOST", attempt.ended_ms, detail)


def check_departures(record: RunRecord) -> Iterator[Violation]:
    """Find requests at upstreams that are leaving for long (DRAIN)."""
    sent = {one.id: one for one in record.attempts}
    confirmed = {one.upstream: one.confirmed_ms for one in record.departures}
    for arrival in record.arrivals:
        attempt = sent.get(arrival.id)
        confirmed_ms = confirmed.get(arrival.upstream)
        if attempt is None or confirmed_ms is None or not arrival.ran:
            continue
        late_ms = arrival.at_ms - confirmed_ms - DRAIN_MS
        if late_ms > 0 and is_in_touch(
            record, attempt.host, confirmed_ms, arrival.at_ms
        ):
            detail = f"{arrival.id} at {arrival.upstream}, {late_ms:.0f} ms late"
            yield Violation("DRAIN", arrival.at_ms, detail)


def check_versions(record: RunRecord) -> Iterator[Violation]:
    """Find requests that are handled as only older versions allow (CONFIG)."""
    service_of = {one.id: one.service for one in record.arrivals if one.ran}
    for attempt in record.attempts:
        service = service_of.get(attempt.id)
        if attempt.route is not Route.MOVED or service is None:
            continue
        due = [
            one
            for one in record.configurations
            if one.confirmed_ms + CONFIG_APPLY_MS < attempt.sent_ms
        ]
        newest = max(due, key=lambda one: one.version, default=None)
        if newest is None:
            continue
        allowed = {
            one.moved_service
            for one in record.configurations
            if one.version >= newest.version and one.confirmed_ms <= attempt.ended_ms
        }
        if service not in allowed and is_in_touch(
            record, attempt.host, newest.confirmed_ms, attempt.sent_ms
        ):
            detail = (
                f"{attempt.id} at host {attempt.host} ran at {service}, not as {newest}"
            )
            yield Violation("CONFIG", attempt.sent_ms, detail)


def check_deadlines(record: RunRecord) -> Iterator[Violation]:
    """Find requests that are passed on with more time than is left (BUDGET)."""
    sent = {one.id: one for one in record.attempts}
    passed = [
        (one, sent[one.id]) for one in record.arrivals if one.ran and one.id in sent
    ]
    late = [
        arrival.id
        for arrival, attempt in passed
        if not 0 <= arrival.left_ms <= attempt.time_limit_ms + DEADLINE_SLACK_MS
    ]
    if len(late) > max(LATE_ARRIVALS_ALLOWED, len(passed) / 5):
        yield Violation("BUDGET", record.to_ms, f"deadlines, first {late[0]}")


def check_departed_clients(record: RunRecord) -> Iterator[Violation]:
    """Find requests that are passed on after their clients have left (GONE)."""
    left = {one.id: one for one in record.attempts if one.left}
    late = [
        arrival.id
        for arrival in record.arrivals
        if arrival.id in left
        and arrival.at_ms > left[arrival.id].ended_ms + GONE_MS
        and is_in_touch(
            record, left[arrival.id].host, left[arrival.id].sent_ms, arrival.at_ms
        )
    ]
    if len(late) > GONE_ALLOWED:
        yield Violation("GONE", record.to_ms, f"{len(late)} requests, first {late[0]}")


def check_repeats(record: RunRecord) -> Iterator[Violation]:
    """Find services that get too many repeats in some time (BUDGET)."""
    routes_of = _routes_by_service(record)
    first_ms: dict[tuple[str, str], float] = {}
    repeats_ms = defaultdict(list)
    for arrival in sorted(record.arrivals, key=lambda one: one.at_ms):
        key = (arrival.id, arrival.service)
        if key in first_ms:
            repeats_ms[arrival.service].append(arrival.at_ms)
        first_ms.setdefault(key, arrival.at_ms)
    for service, times_ms in repeats_ms.items():
        requests_ms = [
            one.sent_ms for one in record.attempts if one.route in routes_of[service]
        ]
        for from_ms in times_ms:
            repeats = _count(times_ms, from_ms, from_ms + RETRY_WINDOW_MS)
            requests = max(
                _count(requests_ms, begin_ms, begin_ms + RETRY_WINDOW_MS)
                for begin_ms in (
                    from_ms,
                    from_ms - RETRY_WINDOW_MS / 2,
                    from_ms - RETRY_WINDOW_MS,
                )
            )
            if repeats > RETRY_RATIO * requests + RETRY_EXTRA:
                detail = f"{repeats} repeats at {service} for {requests} requests"
                yield Violation("BUDGET", from_ms, detail)
                break


def _routes_by_service(record: RunRecord) -> dict[str, set[Route]]:
    routes: dict[str, set[Route]] = defaultdict(set)
    sent = {one.id: one.route for one in record.attempts}
    for arrival in record.arrivals:
        if arrival.id in sent:
            routes[arrival.service].add(sent[arrival.id])
    return routes


def _count(times_ms: list[float], from_ms: float, to_ms: float) -> int:
    return sum(from_ms <= one < to_ms for one in times_ms)


def check_recovery(record: RunRecord) -> Iterator[Violation]:
    """Find a run that does not serve again after its faults (RECOVER)."""
    from_ms = record.faults_end_ms + RECOVERY_MS
    asked = [
        one
        for one in record.attempts
        if one.sent_ms >= from_ms and one.is_proper and not one.left
    ]
    if not asked:
        yield Violation("RECOVER", record.to_ms, "nothing was asked after the faults")
        return
    fraction = sum(one.status == 200 for one in asked) / len(asked)
    if fraction < RECOVERED_FRACTION:
        yield Violation("RECOVER", record.to_ms, f"{fraction:.3f} served")
    elif fraction < SETTLED_FRACTION:
        yield Violation("SETTLED", record.to_ms, f"{fraction:.3f} served")


def check_processes(record: RunRecord) -> Iterator[Violation]:
    """Find processes that end by themselves or grow."""
    for detail in record.unexpected_ends:
        yield Violation("ENDS", record.to_ms, detail)
    samples_by_pid = defaultdict(list)
    for sample in record.samples:
        samples_by_pid[sample.pid].append(sample)
        if sample.memory_kb > MEMORY_LIMIT_KB or sample.descriptors > DESCRIPTORS_LIMIT:
            yield Violation("GROWTH", sample.at_ms, str(sample))
    for samples in samples_by_pid.values():
        if samples[-1].at_ms - samples[0].at_ms < LEAST_LIFE_MS:
            continue
        third = len(samples) // 3
        early = sorted(one.memory_kb for one in samples[third : 2 * third])
        late = sorted(one.memory_kb for one in samples[2 * third :])
        grown_kb = late[len(late) // 2] - early[len(early) // 2]
        if grown_kb > GROWTH_LIMIT_KB:
            yield Violation(
                "GROWTH", samples[-1].at_ms, f"{grown_kb} KB: {samples[-1]}"
            )
