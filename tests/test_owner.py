import pytest

from burdockmill.errors import Ran
from burdockmill.messages.actions import ClosePool
from burdockmill.messages.events import HealthRead
from burdockmill.messages.peer import PartStatus, Reason
from burdockmill.rules.model import Completion
from burdockmill.systems._upstream_admission import QUEUE_LIMIT
from burdockmill.tables.fair_queue import FairQueue
from burdockmill.tables.rows import MemberRow
from tests.builders_limits import DOMAIN, OwnerBench, make_rule_set, make_upstream


@pytest.fixture
def bench():
    bench = OwnerBench()
    bench.train()
    bench.sent.clear()
    return bench


def fill_slots(bench):
    return [bench.submit(), bench.submit()]


def test_queue_alternates_callers_and_orders_each_by_deadline():
    queue = FairQueue()
    for index in range(4):
        queue.add("many", 100.0 - index, (f"m{index}", 1))
    queue.add("few", 500.0, ("f0", 1))
    queue.add("few", 400.0, ("f1", 1))
    order = [queue.pop()[0] for _ in range(6)]
    assert order == ["m3", "f1", "m2", "f0", "m1", "m0"]


def test_caller_that_requeues_at_once_gets_only_its_fair_share():
    queue = FairQueue()
    for index in range(20):
        queue.add("many", 100.0, (f"m{index}", 1))
    queue.add("one", 50.0, ("one0", 1))
    popped = []
    for index in range(1, 11):
        popped.append(queue.pop()[0])
        if popped[-1].startswith("one"):
            queue.add("one", 50.0, (f"one{index}", 1))
    assert sum(name.startswith("one") for name in popped) == 5


def test_removed_attempts_no_longer_count_in_the_queue():
    queue = FairQueue()
    queue.add("a", 1.0, ("a", 1))
    queue.add("b", 2.0, ("b", 1))
    assert queue.remove(("a", 1))
    assert not queue.remove(("a", 1))
    assert len(queue) == 1
    assert queue.pop() == ("b", 1)
    assert len(queue) == 0


def test_cancelled_attempt_frees_its_place_in_the_queue(bench):
    fill_slots(bench)
    queued = [bench.submit(remaining_ms=60_000.0) for _ in range(QUEUE_LIMIT)]
    late = bench.submit(remaining_ms=60_000.0)
    refused = bench.outcome_of(late)
    assert (refused.reason, refused.ran) == (Reason.QUEUE_FULL, Ran.NO)
    assert refused.retry_after_ms >= 10 * QUEUE_LIMIT / 2
    bench.cancel(queued[0])
    assert bench.outcome_of(queued[0]).status == PartStatus.CANCELLED
    assert bench.outcome_of(bench.submit(remaining_ms=60_000.0)) is None


def test_earliest_deadline_starts_first(bench):
    first, _ = fill_slots(bench)
    late = bench.submit(remaining_ms=900.0)
    soon = bench.submit(remaining_ms=500.0)
    bench.answer(first)
    assert bench.sent_ids()[-1] == soon
    assert late not in bench.sent_ids()


def test_attempt_that_cannot_finish_in_time_is_refused_at_once(bench):
    fill_slots(bench)
    refused = bench.outcome_of(bench.submit(remaining_ms=14.0))
    assert (refused.reason, refused.ran) == (Reason.NO_TIME, Ran.NO)
    assert refused.retry_after_ms == 5
    assert bench.outcome_of(bench.submit(remaining_ms=16.0)) is None
    assert bench.world.counter_by_name["refused_no_time"] == 1


@pytest.mark.parametrize(
    ("completion", "taken"), [(Completion.COVERAGE, 39), (Completion.LATENCY, 19)]
)
def test_queue_wait_is_bounded_by_the_completion_policy(bench, completion, taken):
    rules = make_rule_set(revision=2)
    service = rules.service_by_name["leave"]._replace(completion=completion)
    bench.set_rules(rules._replace(service_by_name={"leave": service}))
    fill_slots(bench)
    waiting = [bench.submit(remaining_ms=400.0) for _ in range(60)]
    refused = [name for name in waiting if bench.outcome_of(name)]
    assert abs(len(waiting) - len(refused) - taken) <= 1
    assert bench.outcome_of(refused[0]).reason == Reason.NO_TIME


def test_queued_attempt_is_refused_after_its_latest_start_time(bench):
    fill_slots(bench)
    waiting = bench.submit(remaining_ms=100.0)
    bench.advance(91.0)
    refused = bench.outcome_of(waiting)
    assert (refused.reason, refused.ran) == (Reason.NO_TIME, Ran.NO)
    assert waiting not in bench.sent_ids()


def test_expired_attempt_is_not_sent_after_a_process_pause(bench):
    first, _ = fill_slots(bench)
    waiting = bench.submit(remaining_ms=100.0)
    bench.now_ms += 95.0
    bench.answer(first)
    assert waiting not in bench.sent_ids()
    assert bench.outcome_of(waiting).reason == Reason.NO_TIME


def test_idle_upstream_accepts_an_attempt_whatever_the_estimate(bench):
    assert bench.submit(remaining_ms=5.0) in bench.sent_ids()


def test_flooding_caller_is_displaced_from_a_full_queue(bench):
    fill_slots(bench)
    flood = [
        bench.submit(caller="flood", remaining_ms=60_000.0) for _ in range(QUEUE_LIMIT)
    ]
    other = bench.submit(caller="other", remaining_ms=60_000.0)
    assert bench.outcome_of(other) is None
    assert bench.outcome_of(flood[-1]).reason == Reason.QUEUE_FULL
    assert bench.world.counter_by_name["displaced_for_fair_shares"] == 1


def test_duplicate_events_free_a_slot_once(bench):
    first, second = fill_slots(bench)
    third, fourth = bench.submit(), bench.submit()
    bench.answer(first)
    bench.answer(first)
    assert bench.sent_ids() == [first, second, third]
    assert bench.outcome_of(fourth) is None
    dropped = bench.world.counter_by_name["unexpected_upstream_events_dropped"]
    assert dropped == 1


def test_event_for_an_unsent_attempt_is_dropped(bench):
    fill_slots(bench)
    queued = bench.submit()
    bench.answer(queued)
    assert bench.outcome_of(queued) is None
    assert queued not in bench.sent_ids()


def test_shedding_lowers_slots_and_success_raises_them_up_to_the_rule():
    bench = OwnerBench(make_upstream(slots=6))
    bench.train(rounds=40)
    bench.sent.clear()
    running = [bench.submit() for _ in range(10)]
    assert len(bench.sent) == 6
    bench.advance(1.0)
    bench.shed(running[0])
    bench.shed(running[1])
    assert len(bench.sent) == 6
    assert bench.admission()._limit.slots(6) == 3
    assert bench.world.counter_by_name["upstream_refused_shed"] == 2
    for request_id in running[2:]:
        bench.answer(request_id)
    bench.train(rounds=40)
    assert bench.admission()._limit.slots(6) == 6


def test_new_owner_and_new_incarnation_start_from_one_slot():
    bench = OwnerBench()
    bench.post(HealthRead("u1", "u1#1", (1,), False))
    bench.submit()
    bench.submit()
    assert len(bench.sent) == 1
    bench.answer(bench.sent_ids()[0])
    bench.answer(bench.sent_ids()[1])
    bench.train()
    bench.post(HealthRead("u1", "u1#2", (1,), False))
    bench.sent.clear()
    bench.submit()
    bench.submit()
    assert len(bench.sent) == 1
    assert bench.world.counter_by_name["ramp_ups"] == 1


def test_circuit_opens_refuses_probes_once_and_ramps_up(bench):
    for _ in range(5):
        bench.fail(bench.submit())
    refused = bench.outcome_of(bench.submit())
    assert (refused.reason, refused.ran) == (Reason.CIRCUIT_OPEN, Ran.NO)
    assert 0 < refused.retry_after_ms <= 120
    bench.advance(refused.retry_after_ms)
    probe = bench.submit()
    assert bench.outcome_of(bench.submit()).reason == Reason.CIRCUIT_OPEN
    bench.answer(probe)
    bench.sent.clear()
    bench.submit()
    bench.submit()
    assert len(bench.sent) == 1


def test_failed_probe_opens_the_circuit_for_longer(bench):
    for _ in range(5):
        bench.fail(bench.submit())
    bench.advance(200.0)
    bench.fail(bench.submit())
    assert bench.outcome_of(bench.submit()).retry_after_ms > 120


def test_opening_circuit_refuses_queued_attempts(bench):
    running = fill_slots(bench)
    for _ in range(3):
        bench.fail(running[0])
        running = [*running[1:], bench.submit()]
    started, queued = bench.submit(), bench.submit()
    for request_id in running:
        bench.fail(request_id)
    assert bench.sent_ids()[-1] == started
    assert bench.outcome_of(queued).reason == Reason.CIRCUIT_OPEN


def test_leaving_upstream_starts_nothing_new_and_closes_its_pool(bench):
    first, second = fill_slots(bench)
    queued = bench.submit()
    bench.set_rules(make_rule_set(revision=2, leaving=["u1"]))
    assert bench.outcome_of(queued).reason == Reason.DRAINING
    assert bench.outcome_of(bench.submit()).reason == Reason.DRAINING
    assert len(bench.sent) == 2
    bench.answer(first)
    bench.answer(second)
    bench.advance(1_001.0)
    assert ClosePool("u1") in bench.actions


def test_host_that_lost_its_ownership_closes_the_pool_when_idle(bench):
    request_id = bench.submit()
    world = bench.world
    world.member_by_host["own"] = world.member_by_host["own"]._replace(leaving=True)
    world.member_by_host["new"] = MemberRow("new", DOMAIN, "r", "127.0.0.1:2")
    world.members_version += 1
    bench.advance(1_001.0)
    assert ClosePool("u1") not in bench.actions
    bench.answer(request_id)
    bench.advance(1_001.0)
    assert ClosePool("u1") in bench.actions
    assert bench.admission() is None


def test_removed_upstream_refuses_queued_attempts(bench):
    fill_slots(bench)
    queued = bench.submit()
    bench.set_rules(make_rule_set(make_upstream("u2"), revision=2))
    assert bench.outcome_of(queued).reason == Reason.UNKNOWN_UPSTREAM
