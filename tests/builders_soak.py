"""Build records of soak runs, each with one fault put in."""

import heapq

from soak.records import (
    Arrival,
    ClientAttempt,
    Configuration,
    ProcessSample,
    Route,
    RunRecord,
)
from soak.upstream import RECORD_BYTES, answer_of

SHARDS = ("a", "b")
CONFIGURATION = Configuration(1, SHARDS, "c", 0.0)
FAULTS_END_MS, TO_MS = 30_000.0, 60_000.0


class RecordBuilder:
    """Build a record in which each request is served, and change it."""

    def __init__(self):
        self.attempts = []
        self.arrivals = []
        self.changed = {}
        for number in range(200):
            route = list(Route)[number % len(Route)]
            self.serve(f"r-{number}", route, number * 250.0)

    def serve(self, name, route, sent_ms, host=0, upstream=0):
        """Add a request that is served by the given upstream of each service."""
        services = SHARDS if route is Route.SEARCH else ("c",)
        method = "POST" if route is Route.ONCE else "GET"
        body = b"body" if route is Route.ONCE else b""
        target = f"{route.value}{name}"
        answers = [answer_of(one, method, target, body) for one in services]
        records = [
            one[start : start + RECORD_BYTES]
            for one in answers
            for start in range(0, len(one), RECORD_BYTES)
        ]
        is_search = route is Route.SEARCH
        names = {one: f"u-{one}-{upstream}" for one in services}
        self.attempts.append(
            ClientAttempt(
                name,
                route,
                method,
                target,
                body,
                host,
                1_000.0,
                sent_ms,
                sent_ms + 30.0,
                200,
                b"".join(heapq.nlargest(10, records)) if is_search else answers[0],
                tuple(f"{one}.{name}" for one in names.values()),
            )
        )
        for service, upstream_name in names.items():
            self.arrive(name, service, upstream_name, sent_ms + 5.0)

    def arrive(self, name, service, upstream, at_ms, **changes):
        """Add a run of a request."""
        attempt = self.of(name)
        arrival = Arrival(
            at_ms,
            upstream,
            service,
            name,
            attempt.method,
            attempt.target,
            attempt.body.decode(),
            900.0,
            True,
        )
        self.arrivals.append(arrival._replace(**changes))

    def of(self, name):
        return next(one for one in self.attempts if one.id == name)

    def first(self, route):
        return next(one for one in self.attempts if one.route is route)

    def change(self, attempt, **changes):
        """Replace a request by one with changes."""
        self.attempts[self.attempts.index(attempt)] = attempt._replace(**changes)

    def build(self):
        record = RunRecord(
            0.0,
            TO_MS,
            FAULTS_END_MS,
            self.attempts,
            self.arrivals,
            [],
            [],
            [],
            [CONFIGURATION],
            [ProcessSample(at_ms, 0, 7, 50_000, 40) for at_ms in range(0, 60_001, 500)],
            [],
            [],
        )
        return record._replace(**self.changed)
