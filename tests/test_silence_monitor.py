import asyncio
from collections import Counter

import pytest

from burdockmill.clients._upstream_pool import UpstreamPool
from burdockmill.forwarding.crash_guard import CrashGuard
from burdockmill.forwarding.messages import LinkState
from burdockmill.forwarding.observations import Observations
from burdockmill.forwarding.reach_monitor import OpenAttempt, ReachMonitor
from burdockmill.forwarding.silence_monitor import SilenceMonitor
from burdockmill.forwarding.upstream_notices import Incarnation
from burdockmill.tables.crash_suspects import CrashSuspects
from burdockmill.tables.upstream_reach import UpstreamReach
from tests.builders_forwarding import make_registration, post_nothing

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
