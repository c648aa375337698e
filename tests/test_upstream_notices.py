"""Check what upstreams may ask of a host in their answers, and what it does then."""

import asyncio

import pytest

from burdockmill.errors import Ran
from burdockmill.forwarding.messages import AttemptEnd, AttemptOutcome
from burdockmill.forwarding.upstream_notices import (
    NOTICES_LIMIT,
    Incarnation,
    UpstreamNotices,
)
from burdockmill.policies.return_time import (
    SPREAD_FRACTION,
    choose_retry_after_ms,
    pause_until_enough_ms,
)
from tests.builders_forwarding import (
    LoadReplay,
    Run,
    Upstream,
    answered,
    make_planner,
    make_registration,
    make_request,
    make_route,
    make_single_route,
    replicas_of,
)
from tests.builders_platform import StandinUpstream
from tests.test_forwarding_client import Caller

BUSY = AttemptOutcome(AttemptEnd.NOT_RUN, pause_ms=800.0)
LEAVING = answered()._replace(is_leaving=True)


@pytest.fixture
async def upstream():
    async with StandinUpstream("u-1") as started:
        yield started


@pytest.fixture
async def caller(upstream):
    made = Caller(upstream)
    yield made
    await made.client.close()


@pytest.fixture
def notices():
    return UpstreamNotices(1_200.0)


def answer_with(upstream, extra, status="200 OK"):
    async def script(self, request, writer):
        writer.write(self.answer(request, status=status, extra=extra))

    upstream.script = script


@pytest.mark.parametrize("name", ["Server-Leaving", "X-Burdockmill-Server-Leaving"])
@pytest.mark.parametrize(
    ("status", "extra"),
    [
        ("200 OK", ""),
        ("500 Failed", ""),
        ("503 Busy", "X-Burdockmill-Not-Executed: 1\r\n"),
    ],
)
async def test_any_answer_may_say_that_its_upstream_is_leaving(
    upstream, caller, name, status, extra
):
    answer_with(upstream, f"{name}: 1\r\n{extra}", status)
    assert (await caller.send()).is_leaving


async def test_an_answer_of_another_upstream_says_nothing_of_this_one(upstream, caller):
    extra = "Server-Leaving: 1\r\nRetry-After: 9\r\n"
    answer_with(upstream, extra, "421 Misdirected Request")
    outcome = await caller.send()
    assert outcome.end is AttemptEnd.WRONG_INSTANCE
    assert not outcome.is_leaving
    assert outcome.pause_ms is None


@pytest.mark.parametrize(
    ("status", "retry_after", "pause_ms"),
    [
        ("503 Busy", "2", 2_000.0),
        ("503 Busy", "0.25", 250.0),
        ("503 Busy", "0", 0.0),
        ("503 Busy", "1e12", 600_000.0),
        ("503 Busy", "inf", 600_000.0),
        ("503 Busy", "-1", None),
        ("503 Busy", "nan", None),
        ("503 Busy", "soon", None),
        ("503 Busy", "Wed, 21 Oct 2026 07:28:00 GMT", None),
        ("500 Failed", "2", None),
        ("200 OK", "2", None),
    ],
)
@pytest.mark.parametrize("extra", ["", "X-Burdockmill-Not-Executed: 1\r\n"])
async def test_a_rejection_may_ask_for_a_pause(
    upstream, caller, extra, status, retry_after, pause_ms
):
    answer_with(upstream, f"Retry-After: {retry_after}\r\n{extra}", status)
    assert (await caller.send()).pause_ms == pause_ms


async def test_a_rejection_without_a_time_asks_for_no_pause(upstream, caller):
    answer_with(upstream, "X-Burdockmill-Not-Executed: 1\r\n", "503 Busy")
    assert (await caller.send()).pause_ms is None


def test_the_longest_of_several_pauses_holds(notices):
    one = make_registration()
    notices.record(one, BUSY, 0.0)
    notices.record(one, BUSY._replace(pause_ms=100.0), 200.0)
    notices.record(one, BUSY._replace(pause_ms=0.0), 300.0)
    notices.record(one, answered(), 400.0)
    assert not notices.may_send(one, 799.0)
    assert notices.pause_ms(one, 300.0) == 500.0
    assert notices.may_send(one, 800.0)


def test_a_leaving_upstream_is_the_last_resort_for_a_while(notices):
    one = make_registration()
    assert notices.record(one, LEAVING, 100.0)
    assert not notices.record(one, LEAVING, 900.0)
    assert notices.may_send(one, 1_299.0)
    assert not notices.may_send(one, 1_300.0)
    assert notices.is_leaving(one)


def test_notices_hold_for_one_incarnation(notices):
    one = make_registration()
    notices.record(one, LEAVING._replace(pause_ms=5_000.0), 0.0)
    restarted = one._replace(started_ms=one.started_ms + 1)
    assert notices.may_send(restarted, 2_000.0)
    assert not notices.is_leaving(restarted)


def test_a_registration_that_lapses_and_returns_is_still_leaving(notices):
    one = make_registration()
    notices.record(one, LEAVING, 0.0)
    returned = one._replace(address="127.0.0.1:10", cold_ms=5.0)
    assert not notices.may_send(returned, 60_000.0)


def test_the_number_of_notices_is_limited(notices):
    for number in range(NOTICES_LIMIT + 5):
        notices.record_leaving(Incarnation(f"u-{number}", 1), 0.0)
    assert len(notices._leaving_since_ms) == NOTICES_LIMIT


def test_attempts_go_to_others_than_the_leaving_upstream(notices):
    planner = make_planner(notices=notices)
    [first] = Run(make_single_route(), planner).sent
    notices.record(first.upstream, LEAVING, 0.0)
    [second] = Run(make_single_route(), planner).sent
    assert second.upstream != first.upstream


def test_neither_hedges_nor_retries_nor_probes_go_to_a_paused_upstream(notices):
    planner = make_planner(notices=notices)
    for one in replicas_of("payroll")[1:]:
        notices.record(one, BUSY, 0.0)
        observation = planner.observations.of(one.upstream)
        observation.started(99, 0.0)
        observation.ended(99, AttemptEnd.NOT_SENT, 0.0)
    # Their outages are over, so they would be probed.
    request = make_request(received_ms=500.0)
    run = Run(make_single_route(), planner, request, now_ms=500.0)
    for now_ms in range(510, 700, 10):
        run.tick(float(now_ms))
    run.end(0, AttemptOutcome(AttemptEnd.BROKEN), 700.0)
    assert len(run.sent) == 1


def test_a_search_that_paused_shards_leave_uncovered_is_refused_at_once(notices):
    planner = make_planner(notices=notices)
    for service, pause_ms in (("shard-1", 300.0), ("shard-2", 700.0)):
        for one in replicas_of(service):
            notices.record(one, BUSY._replace(pause_ms=pause_ms), 0.0)
    run = Run(planner=planner)
    assert run.sent == []
    assert run.result.status == 503
    assert run.result.ran is Ran.NO
    # One of ten shards may be missing, so one has to accept requests again.
    longest_ms = 300.0 * (1.0 + SPREAD_FRACTION)
    assert 300 <= run.result.retry_after_ms <= longest_ms + 1.0
    assert Run(planner=planner, now_ms=301.0).sent


def test_a_shard_with_one_accepting_replica_is_served(notices):
    planner = make_planner(notices=notices)
    for one in replicas_of("payroll")[:2]:
        notices.record(one, BUSY, 0.0)
    [sent] = Run(make_single_route(), planner).sent
    assert sent.upstream == replicas_of("payroll")[2]


def test_a_rejection_that_asks_for_a_pause_is_retried_elsewhere(notices):
    planner = make_planner(notices=notices)
    run = Run(make_single_route(is_idempotent=False), planner)
    for attempt in range(3):
        notices.record(run.sent[attempt].upstream, BUSY, 5.0)
        run.end(attempt, BUSY, 5.0)
    assert len(run.sent) == 3
    assert run.result.ran is Ran.NO
    assert 800 <= run.result.retry_after_ms <= 881


def test_clients_return_spread_out_after_a_pause():
    waits_ms = [choose_retry_after_ms(900.0, 1_000.0, f"r-{n}") for n in range(400)]
    assert min(waits_ms) >= 1_000
    assert max(waits_ms) <= 1_000 * (1.0 + SPREAD_FRACTION) + 1
    quarters = {int((wait_ms - 1_000) / 25.1) for wait_ms in waits_ms}
    assert quarters == {0, 1, 2, 3}


@pytest.mark.parametrize(
    ("pauses_ms", "needed", "expected_ms"),
    [([], 0, 0.0), ([50.0, 10.0], 1, 10.0), ([50.0, 10.0], 2, 50.0), ([0.0], 1, 0.0)],
)
def test_the_shards_that_return_first_decide(pauses_ms, needed, expected_ms):
    assert pause_until_enough_ms(pauses_ms, needed) == expected_ms


def test_a_replaced_service_loses_no_request_while_its_upstreams_leave(notices):
    """Replay a rolling replacement: each upstream leaves 150 ms before it ends."""
    route = make_single_route()
    planner = make_planner(notices=notices)
    upstreams = [
        Upstream(one, path_ms, 20.0, slots=8)
        for one, path_ms in zip(replicas_of("payroll"), (1.0, 12.0, 12.0), strict=True)
    ]
    replay = LoadReplay(route, upstreams, planner)
    ended = AttemptOutcome(AttemptEnd.BROKEN)

    def leave(upstream, from_ms):
        def outcome_at(now_ms):
            if now_ms < from_ms:
                return None
            if now_ms < from_ms + 150.0:
                return answered()._replace(is_leaving=True)
            return ended

        upstream.outcome_at = outcome_at

    leave(upstreams[0], 1_000.0)
    leave(upstreams[1], 3_000.0)
    replay.run(rate_per_s=60.0, for_ms=5_000.0)
    cut_off = [action for action in replay.sent if action.kind.value == "retry"]
    assert not cut_off
    assert replay.in_time() > 0.99


async def test_at_most_two_requests_reach_a_paused_upstream_under_load(
    upstream, caller
):
    """Replay a burst at an upstream that rejects all of it with a pause."""
    arrivals = []
    loop = asyncio.get_running_loop()
    first_rejected_s = None

    async def script(self, request, writer):
        nonlocal first_rejected_s
        arrivals.append(loop.time())
        first_rejected_s = first_rejected_s or loop.time()
        extra = "X-Burdockmill-Not-Executed: 1\r\nRetry-After: 1.5\r\n"
        writer.write(self.answer(request, b"", "503 Busy", extra))

    upstream.script = script
    notices = UpstreamNotices(1_200.0)
    one = make_registration(upstream.upstream, "payroll", address=upstream.address)
    planner = make_planner(lambda _: [one], notices=notices)
    deadline_s = loop.time() + 1.4
    while loop.time() < deadline_s:
        now_ms = caller.clock.now_ms()
        request = make_request(received_ms=now_ms)
        run = Run(make_single_route(), planner, request, now_ms)
        for action in run.sent:
            outcome = await caller.send()
            notices.record(action.upstream, outcome, caller.clock.now_ms())
        await asyncio.sleep(0.01)
    late = [at_s for at_s in arrivals if at_s > first_rejected_s + 0.5]
    assert len(arrivals) >= 1
    assert len(late) <= 2


def test_a_route_of_paused_and_healthy_shards_is_answered_from_the_healthy(notices):
    planner = make_planner(notices=notices)
    for one in replicas_of("shard-4"):
        notices.record(one, BUSY._replace(pause_ms=5_000.0), 0.0)
    run = Run(make_route(), planner)
    run.answer_all_but(set(), 20.0)
    assert run.result.missing == 1
