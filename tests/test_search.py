"""Test decisions of searches that fuzzing rarely reaches."""

import itertools
import random

import msgspec
import pytest
from hypothesis import given, strategies as st

from burdockmill.covered_slots import CoveredSlots
from burdockmill.messages.actions import (
    CancelAtUpstream,
    LogDecision,
    SendToUpstream,
)
from burdockmill.policies.hedge_budget import HedgeBudget
from burdockmill.policies.observed_placement import ObservedPlacement
from burdockmill.rules.model import ServiceRule
from burdockmill.slots import SLOT_COUNT, SlotRange, subtract, union
from burdockmill.standins.virtual_fleet import FixedLink, VirtualFleet
from burdockmill.tables.latency_histogram import LatencyHistogram
from burdockmill.tables.upstream_view import EJECT_MS, UpstreamViews
from burdockmill.world import World
from tests.builders_search import (
    UPSTREAMS,
    boot,
    make_fleet_rules,
    make_request,
    make_shards,
)
from tests.fake_upstreams import FakeUpstreams, FaultMode
from tests.oracle import Oracle

SPANS = st.lists(
    st.tuples(st.integers(0, 60), st.integers(0, 60)).map(
        lambda pair: SlotRange(min(pair), max(pair))
    ),
    max_size=8,
)


class SearchBench:
    """Run a small virtual fleet and check its answers against a scan."""

    def __init__(self, cuts=(8000,), snapshots=(1, 2), settle_ms=100.0, **rules):
        self.oracle = Oracle(1)
        self.upstreams = FakeUpstreams(self.oracle, UPSTREAMS, snapshots)
        self.fleet = VirtualFleet(1, self.upstreams, FixedLink(0.5))
        self.log = []
        self.actions = []
        self.fleet.on_action = lambda host, action: self.actions.append(action)
        shards = {name: make_shards(name, cuts) for name in "cl"}
        boot(self.fleet, make_fleet_rules(shards, **rules))
        self.fleet.run_until(settle_ms)

    def upstream(self, name):
        return self.upstreams.upstream_by_id[name]

    def search(self, request_id="q", service="c", for_ms=500.0, **changes):
        request = make_request(self.fleet, request_id, service, **changes)
        start_ms = self.fleet.clock.now_ms()
        self.fleet.post("e0", request)
        self.fleet.run_until(start_ms + for_ms)
        (answered,) = [
            candidate
            for candidate in self.fleet.answers
            if candidate.answer.request_id == request_id
        ]
        assert self.oracle.problems(request, answered.answer.result) == []
        return answered.answer.result, answered.at_ms - start_ms

    def counter(self, name):
        return self.fleet.engine_by_host["e0"].world.counter_by_name[name]


@given(SPANS, SPANS)
def test_covered_slots_agree_with_ranges(spans, wanted):
    covered = CoveredSlots()
    for done, span in enumerate(spans, 1):
        before = covered.count
        assert covered.add(span) == covered.count - before
        assert covered.ranges() == union(spans[:done])
    for span in wanted:
        assert tuple(covered.missing_ranges(span)) == subtract([span], spans)
    assert covered.count == sum(b - a + 1 for a, b in union(spans))


def test_search_without_a_snapshot_answers_at_once_without_coverage():
    bench = SearchBench(settle_ms=0.0)
    answer, took_ms = bench.search()
    assert (answer.snapshot, took_ms) == (0, 0.0)
    assert not answer.coverage["complete"]
    assert {one["reason"] for one in answer.coverage["missing"]} == {"no_snapshot"}


def test_slots_without_a_shard_are_reported_as_unmapped():
    bench = SearchBench()
    rules = bench.fleet.engine_by_host["e0"].world.rules
    rules.shards_by_service["c"] = rules.shards_by_service["c"][:1]
    answer, _ = bench.search()
    assert answer.coverage["missing"] == [
        {"first": 8000, "last": SLOT_COUNT - 1, "reason": "unmapped"}
    ]


def test_a_search_restarts_once_when_its_snapshot_is_gone():
    bench = SearchBench(snapshots=(1, 2))
    for name in UPSTREAMS:
        bench.upstream(name).snapshots = {1}
    answer, _ = bench.search()
    assert (answer.snapshot, answer.coverage["complete"]) == (1, True)
    assert bench.counter("searches_restarted") == 1


def test_refused_snapshot_is_not_pinned_although_health_advertises_it():
    bench = SearchBench(snapshots=(1, 2))
    for name in UPSTREAMS:
        bench.upstream(name).snapshots = {1}
        bench.upstream(name).advertised = {1, 2}
    bench.search("first")
    bench.fleet.run_until(bench.fleet.clock.now_ms() + 800.0)
    answer, _ = bench.search("second")
    assert answer.snapshot == 1
    assert bench.counter("searches_restarted") == 1


def test_has_more_is_correct_when_the_total_is_a_lower_bound():
    bench = SearchBench()
    rules = bench.fleet.engine_by_host["e0"].world.rules
    whole = [SlotRange(0, 10000), SlotRange(6000, SLOT_COUNT - 1)]
    rules.shards_by_service["c"] = tuple(
        shard._replace(slots=slots, replicas=(name,))
        for shard, slots, name in zip(
            rules.shards_by_service["c"], whole, ("u0", "u3"), strict=True
        )
    )
    for limit in range(1, 50):
        answer, _ = bench.search(f"q{limit}", limit=limit)
        assert answer.coverage["complete"]


def test_unresponsive_replica_is_hedged_and_its_attempt_cancelled():
    bench = SearchBench(hedge_fraction=0.05)
    for number in range(40):
        bench.search(f"warm-{number}", for_ms=30.0)
    bench.upstream("u0").mode = FaultMode.SILENT
    bench.actions.clear()
    answers = [bench.search(f"q{number}", for_ms=500.0) for number in range(3)]
    assert all(answer.coverage["complete"] for answer, _ in answers)
    assert bench.counter("hedges_sent") > 0
    assert any(isinstance(one, CancelAtUpstream) for one in bench.actions)
    assert "hedge" in {one.part for one in bench.actions if type(one) is LogDecision}


def test_postponed_hedge_is_sent_once_the_budget_allows():
    bench = SearchBench(hedge_fraction=0.05)
    for number in range(40):
        bench.search(f"warm-{number}", for_ms=30.0)
    bench.upstream("u0").mode = FaultMode.SILENT
    world = bench.fleet.engine_by_host["e0"].world
    while world.retry_budget.admit("c", is_first=False):
        pass
    refill_ms = bench.fleet.clock.now_ms() + 60.0

    def refill():
        for _ in range(100):
            world.retry_budget.admit("c", is_first=True)

    bench.fleet.call_at(refill_ms, refill)
    answers = [bench.search(f"q{number}", for_ms=500.0) for number in range(3)]
    assert all(answer.coverage["complete"] for answer, _ in answers)
    assert bench.counter("hedges_postponed") > 0
    assert max(took_ms for _, took_ms in answers) < 150.0


def test_latency_completion_answers_at_the_soft_deadline():
    bench = SearchBench(cuts=(800,), hedge_fraction=0.0)
    for name in UPSTREAMS[:3]:
        bench.upstream(name).delay_ms = 5_000.0
    for name in (UPSTREAMS[3], *UPSTREAMS[1:3]):
        bench.upstream(name).delay_ms = 1.0
    bench.upstream(UPSTREAMS[1]).mode = FaultMode.HEALTHY
    rules = bench.fleet.engine_by_host["e0"].world.rules
    first, second = rules.shards_by_service["l"]
    rules.shards_by_service["l"] = (first._replace(replicas=("u0",)), second)
    answer, took_ms = bench.search(service="l")
    assert took_ms == 80.0
    assert answer.coverage["covered"] == SLOT_COUNT - 800
    assert answer.coverage["missing"][0]["reason"] == "deadline"


def test_hedges_never_exceed_their_fraction_of_first_attempts():
    budget, rule = HedgeBudget(), ServiceRule("c", "Tests", hedge_fraction=0.05)
    spent = 0
    for attempts in itertools.accumulate([48] * 50):
        budget.deposit(rule, 48)
        spent += sum(budget.withdraw(rule) for _ in range(5))
        assert spent <= 0.05 * attempts + 1e-6


def test_quantiles_are_within_a_bucket():
    histogram = LatencyHistogram()
    for value in range(1, 1001):
        histogram.add(float(value))
    assert histogram.quantile(0.5) == pytest.approx(500, rel=0.05)
    assert histogram.quantile(0.95) == pytest.approx(950, rel=0.05)


def slow_views(slow):
    views = UpstreamViews()
    ejected = []
    for _, name in itertools.product(range(40), UPSTREAMS[:3]):
        views.record_sent("c", name, "d0", 0.0)
        took_ms = 100.0 if name in slow else 5.0
        views.record_ended("c", name, took_ms, True)
        ejected.append(views.record_reported_time(name, took_ms, 0.0, True))
    return views, {one.upstream for one in ejected if one}


def test_slow_outlier_is_ejected_until_its_next_trial():
    views, ejected = slow_views({"u0"})
    assert ejected == {"u0"}
    world = World("e0", "d0", random.Random(1))
    world.rules = make_fleet_rules({"c": ()})
    placement = ObservedPlacement(views)
    chosen = {placement.choose(world, UPSTREAMS[:3], 1.0)[0] for _ in range(100)}
    assert chosen == {"u1", "u2"}
    assert views.of("u0").ejected_until_ms == EJECT_MS


def test_ejections_are_ignored_when_most_replicas_are_ejected():
    views, _ = slow_views(set())
    for name in UPSTREAMS[:2]:
        views.of(name).ejected_until_ms = 10.0
    world = World("e0", "d0", random.Random(1))
    world.rules = make_fleet_rules({"c": ()})
    placement = ObservedPlacement(views)
    chosen = {placement.choose(world, UPSTREAMS[:3], 1.0)[0] for _ in range(100)}
    assert chosen == set(UPSTREAMS[:3])


def test_views_of_removed_upstreams_are_discarded():
    views, _ = slow_views(set())
    views.retain_only({"u1"}, {"c"})
    assert set(views.view_by_upstream) == {"u1"}


def test_covered_documents_are_weighted_by_shard():
    bench = SearchBench(cuts=(SLOT_COUNT // 2,))
    rules = bench.fleet.engine_by_host["e0"].world.rules
    first, second = rules.shards_by_service["c"]
    first = first._replace(documents=300)
    second = second._replace(documents=100, replicas=())
    rules.shards_by_service["c"] = (first, second)
    answer, _ = bench.search(body=msgspec.Raw(b'{"group":"blue"}'))
    assert answer.coverage["documents"] == 0.75


def test_restart_discards_results_of_the_previous_snapshot():
    bench = SearchBench(snapshots=(1, 2))
    rules = bench.fleet.engine_by_host["e0"].world.rules
    rules.shards_by_service["c"] = tuple(
        shard._replace(replicas=(name,))
        for shard, name in zip(rules.shards_by_service["c"], ("u0", "u3"), strict=True)
    )
    bench.upstream("u0").delay_ms = 1.0
    bench.upstream("u3").delay_ms = 30.0
    bench.upstream("u3").snapshots = {1}
    answer, _ = bench.search(limit=100)
    assert (answer.snapshot, answer.coverage["complete"]) == (1, True)


def test_same_domain_replica_is_preferred_without_observations():
    world = World("e0", "d0", random.Random(1))
    world.rules = make_fleet_rules({"c": ()})
    placement = ObservedPlacement(UpstreamViews())
    chosen = {placement.choose(world, UPSTREAMS[:3], 1.0)[0] for _ in range(50)}
    assert chosen == {"u0"}


@pytest.mark.parametrize("wait_ms", [40.0, 200.0, 900.0])
def test_upstream_deadline_never_exceeds_the_remaining_time(wait_ms):
    bench = SearchBench()
    end_ms = bench.fleet.clock.now_ms() + wait_ms
    deadlines = []

    def record_deadline(host, action):
        if isinstance(action, SendToUpstream):
            deadlines.append(bench.fleet.clock.now_ms() + action.remaining_ms)

    bench.fleet.on_action = record_deadline
    bench.search("q", for_ms=wait_ms + 100.0, deadline_ms=end_ms)
    assert deadlines
    assert max(deadlines) <= end_ms
    assert min(deadlines) > end_ms - 20.0
