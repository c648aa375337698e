"""Check which attempts a request run sends, and when and how it answers."""

import pytest

from burdockmill.errors import Ran
from burdockmill.forwarding.hedge_queue import UNANSWERED_WAIT_MS
from burdockmill.forwarding.messages import (
    AttemptEnd,
    AttemptKind,
    AttemptOutcome,
    MergedAnswer,
)
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
)

NOT_RUN = AttemptOutcome(AttemptEnd.NOT_RUN)
NOT_SENT = AttemptOutcome(AttemptEnd.NOT_SENT)
BROKEN = AttemptOutcome(AttemptEnd.BROKEN)


def test_a_search_is_sent_within_the_domain_and_merges_the_greatest_records():
    run = Run()
    assert [action.upstream.domain for action in run.sent] == ["waw-a"] * 10
    run.answer_all_but({}, 12.0)
    assert run.result.missing == 0
    assert run.result.body == b"".join(record(n) for n in range(10, 0, -1))
    assert set(run.result.stamps) == {f"s-{n}" for n in range(10)}


def test_duplicate_records_are_kept_and_an_incomplete_one_is_dropped():
    run = Run(make_route(shards=2))
    run.end(0, answered(record(7) + record(7) + b"short", "a"), 5.0)
    run.end(1, answered(record(7) + record(9), "b"), 6.0)
    assert run.result.body == record(9) + record(7) * 3


def test_an_unresponsive_shard_is_hedged_and_the_first_answer_counts():
    run = Run()
    run.answer_all_but({3}, 12.0)
    assert run.result is None
    run.tick(run.run.next_due_ms)
    first, hedge = run.attempts_of(3)
    assert hedge.kind is AttemptKind.HEDGE
    assert hedge.upstream.upstream != first.upstream.upstream
    run.end(hedge.attempt, answered(record(1)), 60.0)
    assert run.result.missing == 0
    assert first.attempt in run.withdrawn
    run.end(first.attempt, answered(record(99)), 150.0)
    assert run.result.body[:16] == record(10)


def test_a_search_without_one_shard_is_answered_within_the_goal():
    run = Run()
    run.answer_all_but({3}, 12.0)
    due_ms = 0.0
    while run.result is None:
        due_ms = run.run.next_due_ms
        run.tick(due_ms)
    assert run.result.missing == 1
    assert 110.0 < due_ms < 132.0


def test_a_search_below_its_minimum_coverage_waits_past_the_goal():
    run = Run()
    run.answer_all_but({3, 4}, 12.0)
    run.tick(130.0)
    assert run.result is None
    run.end(run.attempts_of(3)[0].attempt, answered(record(1)), 200.0)
    assert run.result.missing == 1


def test_a_search_that_cannot_be_covered_is_refused_before_any_part_runs():
    planner = make_planner(
        lambda name: [] if name in ("shard-1", "shard-2") else replicas_of(name)
    )
    run = Run(planner=planner)
    assert run.sent == []
    assert run.result.status == 503
    assert run.result.ran is Ran.NO
    assert run.result.retry_after_ms > 0


def test_a_search_that_loses_too_many_shards_on_the_way_may_have_run():
    run = Run(planner=make_planner(lambda name: replicas_of(name)[:1]))
    run.end(0, BROKEN, 3.0)
    assert run.result is None
    run.end(1, BROKEN, 4.0)
    assert run.result.status == 502
    assert run.result.ran is Ran.UNKNOWN


def test_a_search_that_was_not_run_at_all_is_refused_with_a_retry_time():
    run = Run(planner=make_planner(lambda name: []))
    assert run.result.status == 503
    assert run.result.ran is Ran.NO
    assert 0 < run.result.retry_after_ms < 400


def test_an_attempt_that_was_not_run_is_retried_and_does_not_count_as_run():
    run = Run()
    run.answer_all_but({0}, 10.0)
    run.end(0, NOT_RUN, 11.0)
    run.end(run.attempts_of(0)[1].attempt, NOT_RUN, 12.0)
    assert [action.kind.value for action in run.attempts_of(0)] == [
        "first",
        "retry",
        "retry",
    ]
    assert run.run.parts[0].possible_runs == 1


def test_no_more_upstreams_than_allowed_may_run_a_part():
    run = Run()
    run.answer_all_but({0}, 10.0)
    run.end(0, BROKEN, 11.0)
    run.end(run.attempts_of(0)[1].attempt, BROKEN, 13.0)
    assert len(run.attempts_of(0)) == 2
    assert run.result.missing == 1


def test_a_request_that_is_not_idempotent_is_sent_once():
    run = Run(make_single_route(is_idempotent=False))
    run.tick(300.0)
    assert len(run.sent) == 1
    run.end(0, BROKEN, 310.0)
    assert len(run.sent) == 1
    assert run.result.status == 502
    assert run.result.ran is Ran.UNKNOWN


@pytest.mark.parametrize("outcome", [NOT_RUN, NOT_SENT])
def test_a_request_that_is_not_idempotent_is_retried_if_it_was_not_run(outcome):
    run = Run(make_single_route(is_idempotent=False))
    run.end(0, outcome, 5.0)
    assert len(run.sent) == 2
    run.end(1, answered(b"done"), 80.0)
    assert run.result.body == b"done"


def test_a_refusal_by_all_upstreams_is_marked_not_run_and_has_a_retry_time():
    run = Run(make_single_route(is_idempotent=False))
    for attempt in range(3):
        run.end(attempt, NOT_RUN, 5.0 + attempt)
    assert run.result.status == 503
    assert run.result.ran is Ran.NO
    assert run.result.retry_after_ms > 0


def test_an_upstreams_error_response_is_returned_when_no_attempt_is_left():
    run = Run(make_single_route())
    run.end(0, failed(500, "first"), 20.0)
    run.end(1, failed(500, "second"), 40.0)
    assert (run.result.status, run.result.stamp) == (500, "second")


def test_a_single_request_is_hedged_while_it_can_still_be_in_time():
    run = Run(make_single_route())
    while len(run.sent) == 1:
        run.tick(run.run.next_due_ms)
    run.end(1, answered(b"hedge"), 150.0)
    assert run.result.body == b"hedge"


def test_the_answer_comes_before_the_deadline_whatever_attempts_are_open():
    run = Run(request=make_request(deadline_ms=400.0))
    while run.result is None:
        now_ms = run.run.next_due_ms
        run.tick(now_ms)
    assert now_ms <= 390.0
    assert run.result.status == 504


def test_the_timeout_of_the_route_limits_the_deadline_of_the_client():
    run = Run(make_route(timeout_ms=300.0), request=make_request(deadline_ms=9_000.0))
    assert all(action.deadline_ms == 300.0 for action in run.sent)
    while run.result is None:
        now_ms = run.run.next_due_ms
        run.tick(now_ms)
    assert now_ms <= 300.0


def test_no_attempt_is_sent_when_no_time_is_left():
    run = Run(request=make_request(deadline_ms=5.0))
    assert run.sent == []
    assert run.result.status == 504


def test_a_repeat_waits_for_the_budget():
    planner = make_planner()
    while planner.budget.withdraw("shard-3", AttemptKind.RETRY, 0.0):
        pass
    run = Run(planner=planner)
    run.answer_all_but({3}, 10.0)
    run.tick(run.run.next_due_ms)
    assert len(run.attempts_of(3)) == 1
    assert run.run.next_due_ms < 110.0


def test_a_suspect_upstream_is_probed_by_a_copy_of_the_request():
    planner = make_planner()
    observation = planner.observations.of("payroll@waw-a")
    observation.started(-1, 0.0)
    observation.ended(-1, AttemptEnd.NOT_SENT, 1.0)
    for _ in range(200):
        planner.budget.deposit("payroll", 0.0)
    run = Run(make_single_route(), planner, make_request(received_ms=900.0), 900.0)
    kinds = {action.kind: action.upstream.domain for action in run.sent}
    assert kinds[AttemptKind.PROBE] == "waw-a"
    assert kinds[AttemptKind.FIRST] != "waw-a"


def test_a_merged_answer_has_the_stamps_of_its_parts():
    run = Run(make_route(shards=3, latency_goal_ms=60.0))
    run.end(0, answered(record(3), "a"), 5.0)
    run.end(2, answered(record(1), "c"), 6.0)
    run.end(1, answered(record(2), "b"), 7.0)
    assert isinstance(run.result, MergedAnswer)
    assert run.result.stamps == ("a", "b", "c")


def test_a_repeat_that_was_never_sent_is_not_charged():
    run = Run()
    run.answer_all_but({3}, 12.0)
    run.tick(run.run.next_due_ms)
    first, hedge = run.attempts_of(3)
    budget = run.planner.budget
    charged = budget.remaining("shard-3", 40.0)
    run.end(first.attempt, answered(record(4)), 40.0)
    run.end(hedge.attempt, NOT_SENT, 40.0)
    assert budget.remaining("shard-3", 40.0) == charged + 1.0


def test_a_retry_after_an_unsent_attempt_is_not_charged():
    run = Run()
    budget = run.planner.budget
    before = budget.remaining("shard-3", 1.0)
    run.end(run.attempts_of(3)[0].attempt, NOT_SENT, 1.0)
    assert run.attempts_of(3)[1].kind is AttemptKind.RETRY
    assert budget.remaining("shard-3", 1.0) == before


def test_a_search_without_any_answer_hedges_one_part_first():
    run = Run()
    due_ms = run.run.next_due_ms
    run.tick(due_ms)
    hedges = [one for one in run.sent if one.kind is AttemptKind.HEDGE]
    assert len(hedges) == 1
    run.tick(due_ms + UNANSWERED_WAIT_MS / 2)
    assert sum(one.kind is AttemptKind.HEDGE for one in run.sent) == 1
    run.tick(due_ms + UNANSWERED_WAIT_MS)
    assert sum(one.kind is AttemptKind.HEDGE for one in run.sent) == 10


def test_a_search_with_an_answer_hedges_all_silent_parts_at_once():
    run = Run()
    run.answer_all_but({1, 2, 3}, 5.0)
    run.tick(run.run.next_due_ms)
    assert sum(one.kind is AttemptKind.HEDGE for one in run.sent) == 3
