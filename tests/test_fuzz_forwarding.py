"""Fuzz request runs and check their invariants."""

import random

from hypothesis import given, settings, strategies as st

from burdockmill.errors import BurdockmillError, Ran
from burdockmill.forwarding.messages import (
    AttemptEnd,
    AttemptOutcome,
    MergedAnswer,
    UpstreamAnswer,
)
from burdockmill.forwarding.upstream_notices import UpstreamNotices
from tests.builders_forwarding import (
    Run,
    answered,
    failed,
    make_planner,
    make_request,
    make_route,
    make_single_route,
    record,
    replicas_of,
    services_of,
)

ENDS = [
    AttemptEnd.NOT_RUN,
    AttemptEnd.NOT_SENT,
    AttemptEnd.WRONG_INSTANCE,
    AttemptEnd.BROKEN,
    AttemptEnd.WRONG_ANSWER,
    AttemptEnd.SILENT,
]


LAST_RESORT_MS = 30.0


class RandomRun:
    """Run a request whose attempts end at random times, until it is answered."""

    def __init__(self, seed, route, replicas):
        self.rng = random.Random(seed)
        self.route = route
        deadline_ms = self.rng.choice((20.0, 150.0, 900.0))
        self.notices = UpstreamNotices(LAST_RESORT_MS)
        planner = make_planner(
            lambda name: replicas_of(name)[:replicas], notices=self.notices
        )
        self.leaving_since_ms = {}
        self.paused_until_ms = {}
        self.body_by_part = {}
        self.ended = {}
        self.now_ms = 0.0
        self._leave_and_pause_before()
        self.run = Run(route, planner, make_request(deadline_ms=deadline_ms))
        self._check_sent(0)
        self.answered_ms = 0.0
        for _ in range(400):
            if self.run.result is not None:
                break
            self._step()

    def _leave_and_pause_before(self):
        """Let some upstreams leave or pause before the request arrives."""
        for service in services_of(self.route):
            for replica in replicas_of(service):
                if self.rng.random() < 0.15:
                    self._answer_with_notice(replica, answered())

    def _answer_with_notice(self, upstream, outcome):
        name = upstream.upstream
        if self.rng.random() < 0.5:
            outcome = outcome._replace(is_leaving=True)
            self.leaving_since_ms.setdefault(name, self.now_ms)
        else:
            pause_ms = self.rng.choice((0.0, 5.0, 80.0, 900.0))
            outcome = outcome._replace(pause_ms=pause_ms)
            until_ms = self.now_ms + pause_ms
            self.paused_until_ms[name] = max(
                until_ms, self.paused_until_ms.get(name, 0.0)
            )
        self.notices.record(upstream, outcome, self.now_ms)
        return outcome

    def _check_sent(self, since):
        """Check that no attempt goes to an upstream that asked for none."""
        for action in self.run.sent[since:]:
            name = action.upstream.upstream
            assert self.now_ms >= self.paused_until_ms.get(name, 0.0)
            since_ms = self.leaving_since_ms.get(name, self.now_ms)
            assert self.now_ms - since_ms < LAST_RESORT_MS

    def _step(self):
        sent = len(self.run.sent)
        self._advance()
        self._check_sent(sent)

    def _advance(self):
        open_attempts = [
            action for action in self.run.sent if action.attempt not in self.ended
        ]
        due_ms = self.run.run.next_due_ms
        if open_attempts and self.rng.random() < 0.6:
            self.now_ms = min(self.now_ms + self.rng.expovariate(0.1), due_ms)
            action = self.rng.choice(open_attempts)
            outcome = self._outcome(action)
            if self.rng.random() < 0.2:
                outcome = self._answer_with_notice(action.upstream, outcome)
            self.ended[action.attempt] = outcome
            self.run.end(action.attempt, outcome, self.now_ms)
        else:
            self.now_ms = max(self.now_ms, due_ms)
            self.run.tick(self.now_ms)

    def _outcome(self, action):
        draw = self.rng.random()
        if draw < 0.55:
            body = record(self.rng.randrange(1_000)) + record(self.rng.randrange(1_000))
            return answered(body, f"stamp-{action.attempt}")
        if draw < 0.65:
            return failed(500, f"stamp-{action.attempt}")
        return AttemptOutcome(self.rng.choice(ENDS))

    def possible_runs(self, part):
        return [
            action
            for action in self.run.attempts_of(part)
            if action.attempt not in self.ended
            or not self.ended[action.attempt].end.certainly_not_run
        ]


def check(random_run):
    run, route = random_run.run, random_run.route
    assert run.result is not None
    assert random_run.now_ms <= run.run.request.deadline_ms
    for part in run.run.parts:
        upstreams = [action.upstream.upstream for action in run.attempts_of(part.index)]
        assert len(upstreams) == len(set(upstreams))
        limit = route.attempts_limit if route.is_idempotent else 1
        assert len(random_run.possible_runs(part.index)) <= limit
    result = run.result
    if isinstance(result, BurdockmillError):
        if result.ran is Ran.NO:
            assert not any(
                random_run.possible_runs(part.index) for part in run.run.parts
            )
        if result.status in (429, 503):
            assert result.ran is Ran.NO
            assert result.retry_after_ms > 0
    elif isinstance(result, UpstreamAnswer):
        assert any(outcome.answer is result for outcome in random_run.ended.values())
    else:
        check_merged(random_run, result)


def check_merged(random_run, result):
    assert isinstance(result, MergedAnswer)
    shards = random_run.route.shards
    by_stamp = {
        outcome.answer.stamp: (action.part, outcome.answer.body)
        for action in random_run.run.sent
        if (outcome := random_run.ended.get(action.attempt)) is not None
        and outcome.end is AttemptEnd.ANSWERED
    }
    parts = [by_stamp[stamp][0] for stamp in result.stamps]
    assert len(parts) == len(set(parts)) == len(shards.services) - result.missing
    assert len(parts) >= shards.least_coverage * len(shards.services)
    bodies = b"".join(by_stamp[stamp][1] for stamp in result.stamps)
    records = sorted(
        (bodies[at : at + 16] for at in range(0, len(bodies), 16)), reverse=True
    )
    assert result.body == b"".join(records[: shards.top_count])


@settings(max_examples=400, deadline=None)
@given(
    seed=st.integers(0, 1_000_000),
    shards=st.integers(1, 12),
    replicas=st.integers(0, 3),
)
def test_searches(seed, shards, replicas):
    check(RandomRun(seed, make_route(shards=shards), replicas))


@settings(max_examples=300, deadline=None)
@given(seed=st.integers(0, 1_000_000), replicas=st.integers(0, 3), safe=st.booleans())
def test_single_requests(seed, replicas, safe):
    check(RandomRun(seed, make_single_route(is_idempotent=safe), replicas))
