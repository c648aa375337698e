"""Check that clients got true answers to their own requests."""

from __future__ import annotations

import heapq
from collections import Counter, defaultdict
from collections.abc import Iterator

from soak.records import ClientAttempt, Configuration, Route, RunRecord
from soak.upstream import RECORD_BYTES, answer_of
from soak.violation import Violation

OK = 200
# These statuses promise that the request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
NOT_RUN = "no"
TOP_K = 10
LEAST_COVERAGE = 0.5
ATTEMPTS_LIMIT = 2
ALLOWED_OVER_LIMIT = 3
DENIALS_ALLOWED, DENIALS_ALLOWED_FRACTION = 5, 1 / 500


def check_answers(record: RunRecord) -> Iterator[Violation]:
    """Find successes that are not whole or not the client's own (MIXED)."""
    ran = {(one.id, one.upstream): one.service for one in record.arrivals if one.ran}
    for detail in record.stray_bytes:
        yield Violation("MIXED", record.to_ms, f"bytes that are no answer: {detail}")
    for attempt in record.attempts:
        if attempt.status != OK:
            continue
        services = []
        for stamp in attempt.stamps:
            upstream, _, request = stamp.partition(".")
            service = ran.get((request, upstream))
            if request != attempt.id or service is None:
                yield _mixed(attempt, f"signature {stamp}")
            else:
                services.append(service)
        if not services:
            yield _mixed(attempt, "no signature of a run")
        elif attempt.answer != _expected(attempt, services):
            yield _mixed(attempt, f"another body of {services}")
        elif attempt.route is Route.SEARCH:
            yield from _check_coverage(attempt, services, record.configurations)


def _expected(attempt: ClientAttempt, services: list[str]) -> bytes:
    bodies = [
        answer_of(one, attempt.method, attempt.target, attempt.body) for one in services
    ]
    if attempt.route is not Route.SEARCH:
        return bodies[0]
    records = (
        body[start : start + RECORD_BYTES]
        for body in bodies
        for start in range(0, len(body), RECORD_BYTES)
    )
    return b"".join(heapq.nlargest(TOP_K, records))


def _check_coverage(
    attempt: ClientAttempt, services: list[str], configurations: list[Configuration]
) -> Iterator[Violation]:
    named = set(services)
    if len(named) < len(services):
        yield _mixed(attempt, f"a shard twice: {services}")
    if not any(
        named <= set(one.shards) and len(named) + attempt.missing == len(one.shards)
        for one in configurations
    ):
        detail = f"{sorted(named)} and {attempt.missing} missing are no version's set"
        yield _mixed(attempt, detail)
    if len(named) < LEAST_COVERAGE * (len(named) + attempt.missing):
        yield _mixed(attempt, f"too few parts: {sorted(named)}")


def _mixed(attempt: ClientAttempt, detail: str) -> Violation:
    return Violation("MIXED", attempt.ended_ms, f"{attempt.id}: {detail}")


def check_runs(record: RunRecord) -> Iterator[Violation]:
    """Find runs that no client asked for, or more than allowed (UNASKED and others)."""
    sent = {one.id: one for one in record.attempts}
    runs_by_id = defaultdict(list)
    for arrival in record.arrivals:
        attempt = sent.get(arrival.id)
        asked = (arrival.method, arrival.target, arrival.body)
        if attempt is None or not attempt.is_proper:
            yield Violation("UNASKED", arrival.at_ms, f"{arrival.id} was not sent")
        elif asked != (attempt.method, attempt.target, attempt.body.decode("latin-1")):
            yield Violation("UNASKED", arrival.at_ms, f"{arrival.id} was changed")
        elif arrival.ran:
            runs_by_id[arrival.id].append(arrival)
    over_limit = []
    for name, runs in runs_by_id.items():
        attempt = sent[name]
        if attempt.route is Route.ONCE and len(runs) > 1:
            yield Violation("TWICE", runs[1].at_ms, f"{name} ran {len(runs)} times")
        is_refused = attempt.route is Route.ONCE and attempt.status in NOT_RUN_STATUSES
        if is_refused or attempt.ran == NOT_RUN:
            detail = (
                f"{name} at host {attempt.host} got {attempt.status}, ran: "
                f"{attempt.ran!r}, and ran at {[one.upstream for one in runs]}"
            )
            yield Violation("REFUSED", attempt.ended_ms, detail)
        runs_by_service = Counter(one.service for one in runs)
        if max(runs_by_service.values()) > ATTEMPTS_LIMIT and not _is_excused(
            record, attempt
        ):
            over_limit.append(name)
    if len(over_limit) > ALLOWED_OVER_LIMIT:
        yield Violation("BUDGET", record.to_ms, f"over max-attempts: {over_limit}")


def _is_excused(record: RunRecord, attempt: ClientAttempt) -> bool:
    """Return whether upstreams ended or were cut off while the request was open."""
    return any(
        one.from_ms <= attempt.ended_ms and one.to_ms >= attempt.sent_ms
        for one in record.impairments
        if one.kind.startswith("upstream") or one.kind == "link upstreams"
    )


def check_denials(record: RunRecord) -> Iterator[Violation]:
    """Find proper requests that are ended with a 3xx or 4xx (DENIED)."""
    proper = [one for one in record.attempts if one.is_proper]
    denied = [
        one
        for one in proper
        if 300 <= one.status < 500 and one.status not in NOT_RUN_STATUSES
    ]
    if len(denied) > DENIALS_ALLOWED + DENIALS_ALLOWED_FRACTION * len(proper):
        statuses = Counter(one.status for one in denied)
        detail = f"{dict(statuses)}, first {denied[0].id}"
        yield Violation("DENIED", denied[0].ended_ms, detail)
