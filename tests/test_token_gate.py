"""Check which attempts get tokens, and at what rate these are issued."""

import pytest

from burdockmill.errors import Ran
from burdockmill.forwarding.messages import AttemptKind
from burdockmill.forwarding.token_gate import TokenGate
from burdockmill.forwarding.upstream_notices import Incarnation
from burdockmill.policies.token_allocation import TokenBucket
from burdockmill.tables.upstream_limits import UpstreamLimits
from tests.builders_forwarding import (
    Run,
    make_planner,
    make_request,
    make_single_route,
    replicas_of,
)

SERVICE = "payroll"


def test_the_last_token_is_left_to_first_attempts():
    limits = UpstreamLimits()
    gate = TokenGate(limits, lambda event: None)
    [one, *_] = replicas_of(SERVICE)
    planner = make_planner(lambda _: [one], gate=gate)
    limits.record(one, 8.0, 1.0, 2.0)
    stock = limits.of(one).stock
    stock.dry_until_ms = 500.0
    stock.add(1, 900.0)
    assert planner.choose(SERVICE, (), True, 10.0, AttemptKind.HEDGE) is None
    assert planner.choose(SERVICE, (), True, 10.0, AttemptKind.FIRST) is not None
    stock.add(1, 900.0)
    assert planner.choose(SERVICE, (), True, 10.0, AttemptKind.HEDGE) is not None
    assert planner.pause_ms(SERVICE, 10.0) == 0.0
    assert planner.choose(SERVICE, (), True, 900.0, AttemptKind.FIRST) is not None


def test_a_request_without_any_token_is_refused_at_once_with_the_time_of_the_next():
    limits = UpstreamLimits()
    gate = TokenGate(limits, lambda event: None)
    planner = make_planner(gate=gate)
    for one in replicas_of(SERVICE):
        limits.record(one, 8.0, 1.0, 2.0)
        limits.of(one).stock.dry_until_ms = 400.0
    run = Run(make_single_route(), planner, make_request(received_ms=100.0), 100.0)
    assert run.sent == []
    assert run.result.ran is Ran.NO
    assert 300 <= run.result.retry_after_ms <= 331


def test_a_search_that_lacks_tokens_for_its_coverage_takes_none():
    limits = UpstreamLimits()
    gate = TokenGate(limits, lambda event: None)
    planner = make_planner(gate=gate)
    for service in ("shard-1", "shard-2", "shard-3"):
        for one in replicas_of(service):
            limits.record(one, 8.0, 1.0, 2.0)
            stock = limits.of(one).stock
            stock.dry_until_ms = 400.0
            if service == "shard-3":
                stock.add(5, 900.0)
    run = Run(planner=planner, now_ms=100.0)
    assert run.sent == []
    assert run.result.status == 503
    for one in replicas_of("shard-3"):
        assert limits.of(one).stock.count(100.0) == 5


def granted_in(bucket, seconds, limit_per_s):
    """Return how many tokens a bucket issues if it is asked every 10 ms."""
    times_ms = range(0, seconds * 1_000, 10)
    return sum(bucket.grant(100, limit_per_s, float(at_ms)) for at_ms in times_ms)


@pytest.mark.parametrize("limit_per_s", [0.5, 3.9, 16.0, 250.0])
def test_tokens_are_issued_at_the_rate_of_the_limit(limit_per_s):
    granted = granted_in(TokenBucket(0.0, is_takeover=False), 20, limit_per_s)
    assert 0.95 * 20 * limit_per_s - 1 <= granted <= 20 * limit_per_s


def test_a_host_that_takes_over_issues_half_of_the_limit_at_first():
    """The host before it may still issue the whole limit to some."""
    granted = granted_in(TokenBucket(0.0, is_takeover=True), 4, 16.0)
    assert 0.9 * 32 <= granted <= 32


def test_few_unused_tokens_accumulate():
    bucket = TokenBucket(0.0, is_takeover=False)
    bucket.grant(0, 16.0, 60_000.0)
    assert bucket.grant(1_000, 16.0, 60_000.0) == 8
    assert bucket.wait_ms(4, 16.0, 60_000.0) == 250.0


def test_waiting_attempts_get_tokens_by_the_rank_of_their_routes():
    limits = UpstreamLimits()
    gate = TokenGate(limits, lambda event: None)
    [one, *_] = replicas_of(SERVICE)
    limits.record(one, 8.0, 1.0, 2.0)
    decided = []
    for rank in (2, 0, 1, 0):
        gate.wait(one, rank, lambda may, rank=rank: decided.append((rank, may)))
    limits.of(one).stock.add(3, 900.0)
    gate.on_change(Incarnation.of(one), 10.0)
    assert decided == [(0, True), (0, True), (1, True), (2, False)]
    assert limits.of(one).stock.waiting == 0


def test_a_cancelled_attempt_does_not_use_a_token():
    limits = UpstreamLimits()
    gate = TokenGate(limits, lambda event: None)
    [one, *_] = replicas_of(SERVICE)
    limits.record(one, 8.0, 1.0, 2.0)
    decided = []
    gate.wait(one, 0, decided.append).cancel()
    limits.of(one).stock.add(1, 900.0)
    gate.on_change(Incarnation.of(one), 10.0)
    assert decided == [None]
    assert limits.of(one).stock.count(10.0) == 1
