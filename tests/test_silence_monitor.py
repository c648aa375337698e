import asyncio
from collections import Counter

import pytest

from burdockmill.clients._upstream_pool import UpstreamPool
from burdockmill.forwarding.crash_guard import CrashGuard
from burdockmill.forwarding.messages import (
    AttemptEnd,
    AttemptKind,
    AttemptOutcome,
    LinkState,
)
from burdockmill.forwarding.observations import Observations
from burdockmill.forwarding.reach_monitor import OpenAttempt, ReachMonitor
from burdockmill.forwarding.request_digest import digest_of
from burdockmill.forwarding.silence_monitor import SilenceMonitor
from burdockmill.forwarding.upstream_notices import Incarnation
from burdockmill.tables.crash_suspects import CrashSuspects
from burdockmill.tables.upstream_reach import UpstreamReach
from tests.builders_forwarding import (
    Run,
    make_planner,
    make_registration,
    make_request,
    make_single_route,
    post_nothing,
)

UPSTREAM = make_registration("u-1")
OTHER = make_registration("u-2", domain="krk-a")


class Fixture:
    def __init__(self):
        self.reach = ReachMonitor(
            UpstreamReach("waw-a"),
            Observations(),
            lambda: [UPSTREAM, OTHER],
            lambda decision, now_ms: None,
            lambda: None,
            lambda: None,
        )
        self.guard = CrashGuard(CrashSuspects(), "e0", lambda: ["e0"], post_nothing)
        self.tested = []
        self.fell = []
        self.silence = SilenceMonitor(
            self.reach,
            self.guard,
            self.tested.append,
            lambda *fell: self.fell.append(fell),
        )


def test_an_upstream_is_silent_if_it_accepts_no_connection_while_others_reply():
    fixture = Fixture()
    fixture.silence.check([OpenAttempt(UPSTREAM, 0.0)], 260.0)
    assert fixture.tested == [UPSTREAM]
    fixture.reach.heard(OTHER, 300.0)
    fixture.silence.tested(UPSTREAM, 260.0, LinkState.SILENT, 560.0)
    assert fixture.fell == [(Incarnation.of(UPSTREAM), 260.0, 560.0)]


@pytest.mark.parametrize("state", [LinkState.ACCEPTED, LinkState.REFUSED])
def test_an_upstream_that_replies_to_a_connection_is_not_silent(state):
    fixture = Fixture()
    fixture.reach.heard(OTHER, 300.0)
    fixture.silence.tested(UPSTREAM, 260.0, state, 290.0)
    assert not fixture.fell


def test_nothing_is_silent_while_this_host_hears_from_no_upstream():
    fixture = Fixture()
    fixture.reach.heard(OTHER, 200.0)
    fixture.silence.tested(UPSTREAM, 260.0, LinkState.SILENT, 560.0)
    assert not fixture.fell


def test_an_upstream_that_was_heard_meanwhile_is_not_silent():
    fixture = Fixture()
    fixture.reach.heard(UPSTREAM, 400.0)
    fixture.silence.tested(UPSTREAM, 260.0, LinkState.SILENT, 560.0)
    assert not fixture.fell


def test_an_attempt_that_is_not_written_or_young_needs_no_test():
    fixture = Fixture()
    fixture.silence.check([OpenAttempt(UPSTREAM, 0.0, is_written=False)], 900.0)
    fixture.silence.check([OpenAttempt(UPSTREAM, 800.0)], 900.0)
    assert not fixture.tested


def test_a_long_attempt_is_tested_ever_more_seldom():
    fixture = Fixture()
    for now_ms in range(0, 8_000, 40):
        fixture.silence.check([OpenAttempt(UPSTREAM, 0.0)], float(now_ms))
        if len(fixture.tested) > len(fixture.fell):
            fixture.fell.append(now_ms)
            fixture.reach.heard(UPSTREAM, float(now_ms))
    assert len(fixture.tested) <= 6


def test_a_reply_after_silence_is_of_the_same_run_only_if_the_store_agrees():
    fixture = Fixture()
    fixture.guard.fell_silent(UPSTREAM, 1_000.0)
    fixture.guard.crashed("key", UPSTREAM, 0, 1_000.0, is_silent=True)
    fixture.guard.replied(UPSTREAM, 4_000.0, 4_020.0)
    fixture.guard.replied(UPSTREAM, 6_000.0, 6_020.0)
    assert fixture.guard.crash_count("key") == 1
    fixture.guard.replied(UPSTREAM, 7_000.0, 7_020.0)
    assert fixture.guard.crash_count("key") == 0


async def test_a_canary_goes_over_a_connection_that_was_accepted_for_it():
    accepted = []

    async def serve(reader, writer):
        accepted.append(writer)
        while await reader.readline():
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    pool = UpstreamPool(f"127.0.0.1:{port}", 4, Counter())
    with pool.use() as session:
        route, connector = session.route, pool.connector
        (await connector.connect_new(route)).release()
        (await connector.connect_new(route)).release()
    await asyncio.sleep(0.01)
    assert len(accepted) == 2
    await pool.close()
    for writer in accepted:
        writer.close()
    server.close()


def fall_silent(run, attempt, now_ms):
    [part] = run.run.parts
    run.run.suspicion.fell_silent(part.attempts[attempt], part.service, now_ms)


def test_a_suspected_request_goes_over_a_connection_that_is_accepted_for_it():
    run = Run(make_single_route())
    assert not run.sent[0].needs_new_connection
    fall_silent(run, 0, 500.0)
    again = Run(make_single_route(), run.planner, make_request("r-2"))
    assert again.sent[0].needs_new_connection


def test_a_crash_under_an_attempt_on_a_kept_connection_is_no_deeper_than_those_known():
    run = Run(make_single_route())
    guard, key = run.planner.guard, run.run.suspicion.digest
    guard.crashed(key, make_registration("u-9"), 0, 1.0, is_silent=True)
    run.tick(run.run.next_due_ms)
    assert [one.kind for one in run.sent] == [AttemptKind.FIRST, AttemptKind.HEDGE]
    fall_silent(run, 1, 900.0)
    assert guard.depth(key) == 1


def test_a_crash_under_a_canary_is_deeper_than_those_known():
    planner, request = make_planner(), make_request()
    key = digest_of(request)
    planner.guard.crashed(key, make_registration("u-9"), 0, 1.0, is_silent=True)
    fall_silent(Run(make_single_route(), planner, request), 0, 500.0)
    assert planner.guard.depth(key) == 2


def test_an_attempt_whose_upstream_is_silent_is_replaced_by_one_other():
    run = Run(make_single_route(attempts_limit=4))
    first_due_ms = run.run.next_due_ms
    fall_silent(run, 0, first_due_ms - 1.0)
    for _ in range(5):
        run.tick(run.run.next_due_ms)
    assert len(run.sent) == 2


def test_an_attempt_that_ended_without_a_reply_is_blamed_once_its_upstream_is_back():
    fixture = Fixture()
    run = Run(make_single_route(attempts_limit=1))
    run.end(0, AttemptOutcome(AttemptEnd.SILENT), 1_200.0)
    [part] = run.run.parts
    suspicion = run.run.suspicion
    fixture.silence.keep(part, 0, suspicion, 1_200.0)
    fixture.silence.restarted("u-other", 0, 4_000.0)
    assert not run.planner.guard.crash_count(suspicion.digest)
    fixture.silence.restarted(*Incarnation.of(run.sent[0].upstream), 4_000.0)
    assert run.planner.guard.crash_count(suspicion.digest) == 1
