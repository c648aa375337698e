"""Fuzz an owner and the retry budget against a model of what was sent and answered."""

from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from burdockmill.errors import Ran
from burdockmill.messages.events import HealthRead
from burdockmill.messages.peer import Reason
from burdockmill.policies.retry_budget import (
    FIRST_ATTEMPTS_PER_RETRY,
    RESERVE_RETRIES,
)
from burdockmill.rules.model import RequestKind
from burdockmill.systems._upstream_admission import QUEUE_LIMIT
from tests.builders_limits import OwnerBench, make_rule_set, make_upstream
from tests.test_limits_entry import EntryBench, work_in

UPSTREAMS = ("u1", "u2")
CALLERS = ("flood", "payroll", "rosters")
KINDS = (RequestKind.SEARCH, RequestKind.FETCH)
FAILURES = (Reason.BROKEN, Reason.DEADLINE, Reason.CONNECT_FAILED, Reason.CANCELLED)
REFUSALS = (Reason.SHED, Reason.COLD, Reason.SNAPSHOT_GONE, Reason.REJECTED)
FINAL_WAIT_MS = 100_000.0
picks = st.integers(0, 1_000)


class OwnerMachine(RuleBasedStateMachine):
    """Check limits, deadlines and one outcome per attempt under any upstream events."""

    @initialize(slots=st.integers(1, 6))
    def begin(self, slots):
        self.slots = slots
        self.leaving = set()
        self.present = set(UPSTREAMS)
        self.revision = 1
        self.deadline_by_id = {}
        self.upstream_by_id = {}
        self.running = {}
        self.ended = set()
        self.seen = 0
        self.bench = OwnerBench(*self.upstream_rules())

    def upstream_rules(self):
        return [make_upstream(name, slots=self.slots) for name in sorted(self.present)]

    def step(self, work):
        work()
        self.check_sends()

    def check_sends(self):
        for send in self.bench.sent[self.seen :]:
            request_id = send.request_id
            assert request_id not in self.ended, "started after its outcome"
            assert request_id not in self.running, "started twice"
            assert send.remaining_ms > 0, "started after its deadline"
            assert self.bench.now_ms < self.deadline_by_id[request_id]
            assert send.upstream in self.present - self.leaving
            self.running[request_id] = send.upstream
            busy = sum(name == send.upstream for name in self.running.values())
            assert busy <= self.slots, "more running than slots"
        self.seen = len(self.bench.sent)
        for request_id, outcome in self.bench.outcomes:
            if outcome.status in {"refused", "cancelled"} and outcome.reason not in (
                REFUSALS
            ):
                assert outcome.ran == Ran.NO
                assert request_id not in self.running, "refused while it runs"
        self.ended = {request_id for request_id, _ in self.bench.outcomes}
        assert len(self.ended) == len(self.bench.outcomes), "two outcomes"

    @rule(
        caller=st.sampled_from(CALLERS),
        upstream=st.sampled_from(UPSTREAMS),
        kind=st.sampled_from(KINDS),
        remaining_ms=st.sampled_from([-5.0, 0.0, 1.0, 20.0, 200.0, 5_000.0]),
        count=st.sampled_from([1, 1, 3, QUEUE_LIMIT + 8]),
    )
    def submit(self, caller, upstream, kind, remaining_ms, count):
        for _ in range(count):
            request_id = f"{caller}-{self.bench.count + 1}"
            self.deadline_by_id[request_id] = self.bench.now_ms + remaining_ms
            self.upstream_by_id[request_id] = upstream
            self.step(
                lambda: self.bench.submit(caller, remaining_ms, upstream, kind=kind)
            )

    @precondition(lambda self: self.open_ids())
    @rule(pick=picks, remaining_ms=st.sampled_from([20.0, 500.0]))
    def repeat(self, pick, remaining_ms):
        open_ids = self.open_ids()
        request_id = open_ids[pick % len(open_ids)]
        upstream = self.upstream_by_id[request_id]
        self.step(
            lambda: self.bench.submit(
                "payroll", remaining_ms, upstream, request_id=request_id
            )
        )

    @precondition(lambda self: self.deadline_by_id)
    @rule(pick=picks)
    def cancel(self, pick):
        names = sorted(self.deadline_by_id)
        self.step(lambda: self.bench.cancel(names[pick % len(names)]))

    @precondition(lambda self: self.running)
    @rule(pick=picks, twice=st.booleans())
    def answer(self, pick, twice):
        self.end(pick, self.bench.answer, twice)

    @precondition(lambda self: self.running)
    @rule(pick=picks, reason=st.sampled_from(REFUSALS), twice=st.booleans())
    def refuse(self, pick, reason, twice):
        self.end(
            pick, lambda name, upstream: self.bench.shed(name, reason, upstream), twice
        )

    @precondition(lambda self: self.running)
    @rule(pick=picks, reason=st.sampled_from(FAILURES), twice=st.booleans())
    def fail(self, pick, reason, twice):
        self.end(
            pick, lambda name, upstream: self.bench.fail(name, reason, upstream), twice
        )

    @rule(
        pick=picks,
        upstream=st.sampled_from(UPSTREAMS),
        by_ms=st.sampled_from([30.0, 300.0, 6_000.0]),
    )
    def pause_until_an_answer(self, pick, upstream, by_ms):
        self.submit("payroll", upstream, KINDS[0], by_ms - 1.0, self.slots + 2)
        if self.running:
            self.bench.now_ms += by_ms
            self.end(pick, self.bench.answer, False)

    def end(self, pick, work, twice):
        names = sorted(self.running)
        request_id = names[pick % len(names)]
        upstream = self.running.pop(request_id)
        self.step(lambda: work(request_id, upstream))
        if twice:
            self.step(lambda: work(request_id, upstream))

    @rule(by_ms=st.sampled_from([0.5, 5.0, 60.0, 1_500.0]))
    def advance(self, by_ms):
        until_ms = self.bench.now_ms + by_ms
        self.step(lambda: self.bench.advance_to(until_ms))

    @rule(upstream=st.sampled_from(UPSTREAMS), what=st.sampled_from(["leave", "gone"]))
    def toggle(self, upstream, what):
        names = self.leaving if what == "leave" else self.present
        names ^= {upstream}
        self.publish()

    @precondition(lambda self: not self.running)
    @rule(slots=st.integers(1, 6))
    def resize(self, slots):
        self.slots = slots
        self.publish()

    def publish(self):
        self.revision += 1
        rules = make_rule_set(
            *(self.upstream_rules() or [make_upstream("other")]),
            revision=self.revision,
            leaving=self.leaving & self.present,
        )
        self.step(lambda: self.bench.set_rules(rules))

    @rule(upstream=st.sampled_from(UPSTREAMS), incarnation=st.sampled_from("ab"))
    def restart(self, upstream, incarnation):
        health = HealthRead(upstream, incarnation, (1,), False)
        self.step(lambda: self.bench.post(health))

    def open_ids(self):
        return sorted(self.deadline_by_id.keys() - self.ended)

    @invariant()
    def queued_attempts_are_bounded(self):
        if not hasattr(self, "bench"):
            return
        waiting = set(self.open_ids()) - self.running.keys()
        for upstream in UPSTREAMS:
            count = sum(self.upstream_by_id[name] == upstream for name in waiting)
            assert count <= QUEUE_LIMIT, "queue above its bound"
        for name in waiting:
            assert self.deadline_by_id[name] >= self.bench.now_ms, (
                "queued past its deadline"
            )
            available = self.present - self.leaving
            assert self.upstream_by_id[name] in available, (
                "queued at an unavailable upstream"
            )

    def teardown(self):
        if not hasattr(self, "bench"):
            return
        while self.running:
            self.end(0, self.bench.answer, False)
        self.bench.advance(FINAL_WAIT_MS)
        self.check_sends()
        assert self.ended == self.deadline_by_id.keys(), "an attempt has no outcome"
        assert self.bench.owner.open_work() == 0


class BudgetMachine(RuleBasedStateMachine):
    """Check that retries stay within a tenth of first attempts plus the reserve."""

    @initialize()
    def begin(self):
        self.bench = EntryBench(replicas=5)
        self.firsts = self.retries = 0
        self.open = []

    @rule(kind=st.sampled_from(KINDS), count=st.sampled_from([1, 10, 100]))
    def submit(self, kind, count):
        for _ in range(count):
            sent = work_in(self.bench.submit(kind))
            self.firsts += len(sent)
            self.open.extend(sent)

    @precondition(lambda self: self.open)
    @rule(
        pick=picks,
        reason=st.sampled_from([Reason.BROKEN, Reason.QUEUE_FULL, Reason.DRAINING]),
        count=st.sampled_from([1, 50]),
    )
    def refuse(self, pick, reason, count):
        for _ in range(min(count, len(self.open))):
            sent = self.open.pop(pick % len(self.open))
            again = work_in(self.bench.refuse(sent, reason))
            self.retries += len(again)
            self.open.extend(again)

    @rule(by_ms=st.sampled_from([1.0, 100.0]))
    def advance(self, by_ms):
        self.bench.now_ms += by_ms
        sent = work_in(self.bench.engine.tick(self.bench.now_ms))
        self.retries += len(sent)
        self.open.extend(sent)

    @invariant()
    def retries_are_bounded(self):
        if hasattr(self, "bench"):
            bound = self.firsts / FIRST_ATTEMPTS_PER_RETRY + RESERVE_RETRIES
            assert self.retries <= bound, "retries above the budget"


OwnerMachine.TestCase.settings = settings(max_examples=60, stateful_step_count=40)
BudgetMachine.TestCase.settings = settings(max_examples=30, stateful_step_count=30)
TestOwner = OwnerMachine.TestCase
TestBudget = BudgetMachine.TestCase
