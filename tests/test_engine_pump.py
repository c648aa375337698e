"""Check when the event loop ticks an engine."""

import asyncio
from collections import Counter

import pytest

from burdockmill.clock import MonotonicClock
from burdockmill.engine_pump import EnginePump

LATER_MS = 60_000.0
SOON_MS = 5.0


class StubEngine:
    """Count ticks; the next timer expires when the test says."""

    def __init__(self):
        self.due_ms = None
        self.ticked = asyncio.Event()
        self.ticks = 0

    def post(self, event):
        pass

    def tick(self, now_ms):
        self.ticks += 1
        self.ticked.set()
        return []

    def next_due_ms(self):
        return self.due_ms

    async def next_tick(self):
        self.ticked.clear()
        async with asyncio.timeout(5.0):
            await self.ticked.wait()


@pytest.fixture
def clock():
    return MonotonicClock()


@pytest.fixture
async def engine():
    return StubEngine()


@pytest.fixture
def pump(engine, clock):
    made = EnginePump(engine, clock, lambda actions, now_ms: None, Counter())
    yield made
    made.close()


async def test_a_timer_that_comes_before_the_one_set_is_not_missed(pump, engine, clock):
    engine.due_ms = clock.now_ms() + LATER_MS
    pump.post("event")
    await engine.next_tick()
    engine.due_ms = clock.now_ms() + SOON_MS
    pump.post("event")
    await engine.next_tick()
    await engine.next_tick()
    assert clock.now_ms() >= engine.due_ms


async def test_a_timer_that_was_moved_back_is_set_again_when_it_fires(
    pump, engine, clock
):
    engine.due_ms = clock.now_ms() + SOON_MS
    pump.post("event")
    await engine.next_tick()
    engine.due_ms = clock.now_ms() + 4 * SOON_MS
    pump.post("event")
    await engine.next_tick()
    while clock.now_ms() < engine.due_ms:
        await engine.next_tick()
    assert engine.ticks >= 3


async def test_nothing_ticks_once_no_timer_is_left(pump, engine, clock):
    engine.due_ms = clock.now_ms() + SOON_MS
    pump.post("event")
    await engine.next_tick()
    engine.due_ms = None
    pump.post("event")
    await engine.next_tick()
    await asyncio.sleep(4 * SOON_MS / 1_000)
    assert engine.ticks == 2
