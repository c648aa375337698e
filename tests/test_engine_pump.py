"""Check when the event loop ticks an engine."""

import asyncio
import random
from collections import Counter

import pytest

from burdockmill.clock import MonotonicClock
from burdockmill.engine import Engine
from burdockmill.engine_pump import EnginePump
from burdockmill.messages.actions import LogDecision
from burdockmill.messages.events import SeedsRead
from burdockmill.systems.system import System
from burdockmill.world import World

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


class FailingSystem(System):
    """Fail for some events, and never pop a timer that it has."""

    name = "failing"
    handles = (SeedsRead,)

    def __init__(self):
        self.handled = []
        self.runs = 0

    def run(self, world, now_ms):
        self.runs += 1
        for event in world.drain_events(self.name):
            if event.seeds == "deadly":
                raise RecursionError("too deep")
            self.handled.append(event.seeds)
        if world.due(self.name).is_due(now_ms):
            raise RuntimeError("before the timer is popped")
        return []


class OtherSystem(FailingSystem):
    name = "other"

    def run(self, world, now_ms):
        self.handled += [event.seeds for event in world.drain_events(self.name)]
        return [LogDecision("other", "", "ran", "")]


async def test_an_event_that_fails_in_one_system_does_not_lose_the_others(clock):
    world = World("e0", "waw-a", random.Random(1))
    failing, other = FailingSystem(), OtherSystem()
    carried_out, counts = [], Counter()
    engine = Engine(world, (failing, other))
    pump = EnginePump(
        engine, clock, lambda done, now_ms: carried_out.extend(done), counts
    )
    for seeds in ("first", "deadly", "last"):
        pump.post(SeedsRead(seeds))
    await asyncio.sleep(0.05)
    assert failing.handled == ["first", "last"]
    assert other.handled == ["first", "deadly", "last"]
    assert carried_out
    assert counts["ticks_failed"] == 1
    pump.close()


async def test_a_timer_that_a_failed_system_leaves_behind_does_not_spin(clock):
    world = World("e0", "waw-a", random.Random(1))
    failing = FailingSystem()
    world.due(failing.name).schedule("key", clock.now_ms())
    pump = EnginePump(Engine(world, (failing,)), clock, lambda *_: None, Counter())
    pump.post(SeedsRead("first"))
    await asyncio.sleep(0.35)
    assert 2 <= failing.runs <= 6
    pump.close()


async def test_a_failure_is_raised_to_a_caller_that_does_not_take_it():
    engine = Engine(World("e0", "waw-a", random.Random(1)), (FailingSystem(),))
    engine.post(SeedsRead("deadly"))
    with pytest.raises(RecursionError):
        engine.tick(0.0)
