import random
from collections import Counter

from burdockmill.core import make_engine
from burdockmill.errors import OverloadedError, Ran, RateLimitedError
from burdockmill.messages.actions import Answer, SendToPeer
from burdockmill.messages.events import PeerReceived, RequestReceived, RulesAccepted
from burdockmill.messages.peer import (
    NO_BODY,
    PartOutcome,
    PartStatus,
    Reason,
    WorkAnswer,
    WorkRequest,
)
from burdockmill.policies import refusal_memory
from burdockmill.policies.rate_limiter import RateLimiter
from burdockmill.policies.retry_budget import FIRST_ATTEMPTS_PER_RETRY, RESERVE_RETRIES
from burdockmill.rules.model import RequestKind, ShardRule
from burdockmill.slots import FULL_RANGE
from burdockmill.tables.rows import MemberRow
from tests.builders_limits import DOMAIN, make_rule_set, make_upstream


class EntryBench:
    """Drive the core of one entry host whose upstreams other hosts own."""

    def __init__(self, replicas=2, rate=None, hosts=4):
        self.engine = make_engine("own", DOMAIN, random.Random(1))
        self.world = self.engine.world
        self.now_ms = 0.0
        self.count = 0
        for index in range(hosts):
            domain = "other" if index else "entry"
            name = f"h{index}" if index else "own"
            row = MemberRow(name, domain, "r", f"127.0.0.1:{index + 1}")
            self.world.member_by_host[name] = row
        self.world.members_version += 1
        names = [f"u{index}" for index in range(replicas)]
        rules = make_rule_set(
            *(make_upstream(name, domain="other") for name in names), rate=rate
        )
        shard = ShardRule("leave-0", "Tests", "leave", FULL_RANGE, tuple(names))
        rules = rules._replace(shards_by_service={"leave": (shard,)})
        self.post(RulesAccepted(rules, "tests"))
        for name in names:
            row = self.world.upstream_by_id[name]
            self.world.upstream_by_id[name] = row._replace(snapshots=(1,))
        self.world.holdings_version += 1

    def post(self, event):
        self.engine.post(event)
        return self.engine.tick(self.now_ms)

    def submit(self, kind=RequestKind.SEARCH):
        self.count += 1
        deadline_ms = self.now_ms + 500.0
        return self.post(
            RequestReceived(
                f"r{self.count}",
                kind,
                "leave",
                "payroll",
                deadline_ms,
                10,
                "LR-1",
                NO_BODY,
            )
        )

    def refuse(self, sent, reason, ran=Ran.NO):
        part = sent.message.parts[0]
        outcome = PartOutcome(
            part.attempt,
            part.upstream,
            part.shard,
            PartStatus.REFUSED,
            ran,
            reason,
            retry_after_ms=80,
        )
        answer = WorkAnswer(sent.message.request_id, 1, [outcome], [])
        return self.post(PeerReceived(sent.host, answer))


def work_in(actions):
    sends = [action for action in actions if isinstance(action, SendToPeer)]
    return [send for send in sends if isinstance(send.message, WorkRequest)]


def result_in(actions):
    (answer,) = [action for action in actions if isinstance(action, Answer)]
    return answer.result


def test_token_bucket_enforces_its_rate_and_returns_the_wait():
    limiter = RateLimiter()
    key = ("payroll", "leave")
    wait_times_ms = [limiter.take(key, 10.0, 0.0) for _ in range(11)]
    assert wait_times_ms == [0.0] * 10 + [100.0]
    assert limiter.take(key, 10.0, 99.0) > 0
    assert limiter.take(key, 10.0, 100.0) == 0
    after_a_pause = [limiter.take(key, 10.0, 60_000.0) for _ in range(11)]
    assert after_a_pause == [0.0] * 10 + [100.0]
    limiter.keep([])
    assert not limiter._bucket_by_key


def test_host_admits_its_share_of_a_callers_rate():
    bench = EntryBench(rate=8.0, hosts=4)
    admitted = [bool(work_in(bench.submit())) for _ in range(5)]
    assert admitted == [True, True, False, False, False]
    error = result_in(bench.submit(RequestKind.FETCH))
    assert isinstance(error, RateLimitedError)
    assert (error.ran, error.retry_after_ms) == (Ran.NO, 500)
    assert bench.world.counter_by_name["refused_rate_limited"] == 4


def test_share_grows_when_hosts_leave():
    bench = EntryBench(rate=8.0, hosts=4)
    for name in ("h1", "h2"):
        row = bench.world.member_by_host[name]
        bench.world.member_by_host[name] = row._replace(leaving=True)
    bench.world.members_version += 1
    assert sum(bool(work_in(bench.submit())) for _ in range(9)) == 4


def test_overload_is_retried_on_a_replica_that_did_not_refuse():
    bench = EntryBench()
    (first,) = work_in(bench.submit())
    (second,) = work_in(bench.refuse(first, Reason.QUEUE_FULL))
    assert second.message.parts[0].upstream != first.message.parts[0].upstream


def test_overload_is_not_retried_on_a_replica_that_refused():
    bench = EntryBench()
    (first,) = work_in(bench.submit())
    (second,) = work_in(bench.refuse(first, Reason.QUEUE_FULL))
    error = result_in(bench.refuse(second, Reason.NO_TIME))
    assert isinstance(error, OverloadedError)
    assert (error.ran, error.retry_after_ms) == (Ran.NO, 80)
    (third,) = work_in(bench.submit())
    assert not work_in(bench.refuse(third, Reason.QUEUE_FULL))
    assert bench.world.counter_by_name["replicas_without_room_passed_over"] == 1


def test_refusal_expires_after_its_retry_time():
    bench = EntryBench()
    (first,) = work_in(bench.submit())
    (second,) = work_in(bench.refuse(first, Reason.QUEUE_FULL))
    bench.refuse(second, Reason.QUEUE_FULL)
    bench.now_ms = 80.0
    (third,) = work_in(bench.submit())
    assert work_in(bench.refuse(third, Reason.QUEUE_FULL))


def test_search_that_may_have_run_is_not_reported_as_overload():
    bench = EntryBench(replicas=1)
    (first,) = work_in(bench.submit())
    result = result_in(bench.refuse(first, Reason.SHED, ran=Ran.UNKNOWN))
    assert not isinstance(result, OverloadedError)


def test_fetch_refused_for_overload_returns_the_retry_time():
    bench = EntryBench(replicas=1)
    (first,) = work_in(bench.submit(RequestKind.FETCH))
    error = result_in(bench.refuse(first, Reason.CIRCUIT_OPEN))
    assert isinstance(error, OverloadedError)
    assert (error.ran, error.retry_after_ms) == (Ran.NO, 80)


def test_fetch_that_may_have_run_is_not_reported_as_not_run():
    bench = EntryBench()
    (first,) = work_in(bench.submit(RequestKind.FETCH))
    (second,) = work_in(bench.refuse(first, Reason.BROKEN, ran=Ran.UNKNOWN))
    error = result_in(bench.refuse(second, Reason.QUEUE_FULL))
    assert error.ran == Ran.UNKNOWN


def test_refusal_memory_evicts_expired_entries(monkeypatch):
    monkeypatch.setattr(refusal_memory, "REMEMBERED_LIMIT", 2)
    memory = refusal_memory.RefusalMemory(Counter())
    for at_ms, upstream in ((0.0, "u1"), (30.0, "u2"), (60.0, "u3")):
        name = (1, upstream, "s", PartStatus.REFUSED, Ran.NO)
        memory.record(PartOutcome(*name, Reason.SHED), at_ms)
    assert set(memory._until_ms_by_upstream) == {"u2", "u3"}
    assert not memory.has_room("u2", 60.0)


def test_retries_of_all_kinds_share_a_tenth_of_first_attempts():
    bench = EntryBench(replicas=4)
    firsts, retries = 200, 0
    for index in range(firsts):
        kind = RequestKind.SEARCH if index % 2 else RequestKind.FETCH
        work = work_in(bench.submit(kind))
        while work:
            work = work_in(bench.refuse(work[0], Reason.BROKEN))
            retries += len(work)
    assert retries == firsts / FIRST_ATTEMPTS_PER_RETRY + RESERVE_RETRIES
    assert bench.world.counter_by_name["retries"] == retries
    assert bench.world.counter_by_name["retry_budget_spent"] > 0
