"""Check that a busy process does not take its upstreams for unreachable."""

import asyncio
import time

import pytest

from burdockmill.clients._connect_timer import EXTENSIONS_LIMIT, ConnectTimer
from burdockmill.clock import MonotonicClock
from burdockmill.forwarding.messages import AttemptEnd, LinkState
from tests.builders_forwarding import make_registration
from tests.builders_platform import StandinUpstream
from tests.test_forwarding_client import Caller

STALL_S = 0.4


# Guards against a request that is refused because its host was busy for a moment.
async def test_an_attempt_survives_a_stall_of_its_own_process():
    async with StandinUpstream("u-1") as upstream:
        caller = Caller(upstream)
        sending = asyncio.create_task(caller.send(left_ms=4_000.0))
        # The connection is being opened, and the timer runs.
        await asyncio.sleep(0.0)
        await asyncio.sleep(0.0)
        time.sleep(STALL_S)
        outcome = await sending
        await caller.client.close()
    assert outcome.end is AttemptEnd.ANSWERED


# Guards against a host that takes itself for isolated because it was busy.
@pytest.mark.parametrize("test", ["test_link", "test_silence"])
async def test_a_test_of_a_link_survives_a_stall_of_its_own_process(test):
    async with StandinUpstream("u-1") as upstream:
        caller = Caller(upstream)
        registration = make_registration("u-1", address=upstream.address)
        testing = asyncio.create_task(getattr(caller.client, test)(registration))
        await asyncio.sleep(0.0)
        await asyncio.sleep(0.0)
        time.sleep(STALL_S)
        result = await testing
        await caller.client.close()
    assert result in {True, LinkState.ACCEPTED}


@pytest.mark.parametrize("stalls", [0, 1, 2 * EXTENSIONS_LIMIT])
async def test_connecting_is_given_up_however_busy_the_process_is(stalls):
    fired = []
    clock = MonotonicClock()
    started_ms = clock.now_ms()
    ConnectTimer(50.0, lambda: fired.append(clock.now_ms() - started_ms))
    for _ in range(stalls):
        time.sleep(0.1)
        await asyncio.sleep(0.0)
    await asyncio.sleep(0.3)
    assert len(fired) == 1
    assert fired[0] >= 50.0


async def test_a_cancelled_timer_does_not_fire():
    fired = []
    timer = ConnectTimer(10.0, lambda: fired.append(True))
    time.sleep(0.05)
    await asyncio.sleep(0.0)
    timer.cancel()
    await asyncio.sleep(0.1)
    assert not fired
