"""Check the timeouts and retries towards a store that does not answer."""

import asyncio
import random
from collections import Counter

import pytest

from burdockmill.clients.catalog_reader import (
    UNCONFIRMED_FRACTION,
    USUAL_TIMEOUTS,
    CatalogReader,
)
from burdockmill.clients.catalog_source import CatalogSource, StoreError
from burdockmill.clock import MonotonicClock
from burdockmill.messages.events import CatalogRead
from burdockmill.systems._ring import Ring
from burdockmill.world import World
from tests.builders_forwarding import make_delta, make_registration, make_tables

CHANGE_LIMIT_MS = 3_000.0
# A host without a catalog detects within this time that the store is back.
RETRY_WITHIN_MS = 700.0


class UnresponsiveStore(CatalogSource):
    """Fail all calls until `answers` is set; record the timeouts that were given."""

    def __init__(self):
        self.counts = Counter()
        self.timeouts_ms = []
        self.read_called = asyncio.Event()
        self.answers = False
        self.watches = 0

    async def read_all(self, timeout_ms):
        self.timeouts_ms.append(timeout_ms)
        self.read_called.set()
        if not self.answers:
            raise StoreError("no response")
        tables = make_tables()
        delta = make_delta(5)
        return delta._replace(is_whole=True, tables=tables, tables_revision=5)

    async def watch(self, after, wait_ms):
        if not self.answers:
            raise StoreError("no response")
        self.watches += 1
        changed = make_registration(f"u-{after.revision}")
        return make_delta(after.revision + 1, changed, base=after.revision)

    async def close(self):
        pass


@pytest.fixture
def world():
    return World("e0", "waw-a", random.Random(1))


async def read_until(world, store, condition):
    events = []
    reader = CatalogReader(
        store,
        world,
        Ring(),
        MonotonicClock(),
        random.Random(1),
        CHANGE_LIMIT_MS,
        events.append,
    )
    task = asyncio.create_task(reader.run())
    async with asyncio.timeout(10):
        while not condition(events):
            await asyncio.sleep(0.005)
    task.cancel()
    return events


async def test_a_host_without_a_catalog_retries_an_unresponsive_store_soon(world):
    store = UnresponsiveStore()
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    await read_until(world, store, lambda _: len(store.timeouts_ms) >= 8)
    assert max(store.timeouts_ms) <= RETRY_WITHIN_MS
    assert (loop.time() - started_s) * 1_000 < 7 * RETRY_WITHIN_MS / 2


async def test_the_catalog_is_read_as_soon_as_the_store_answers(world):
    store = UnresponsiveStore()
    await read_until(world, store, lambda _: len(store.timeouts_ms) >= 4)
    store.answers = True
    events = await read_until(world, store, bool)
    assert isinstance(events[0], CatalogRead)


async def test_a_host_with_a_catalog_uses_the_usual_timeouts(world):
    world.catalog.apply(
        make_delta(1)._replace(tables=make_tables(), tables_revision=1), 0.0
    )
    world.fleet.confirmed_ms = -CHANGE_LIMIT_MS * UNCONFIRMED_FRACTION * 2
    world.catalog.revision = 0
    store = UnresponsiveStore()
    await read_until(world, store, lambda _: len(store.timeouts_ms) >= 1)
    assert store.timeouts_ms[0] == USUAL_TIMEOUTS.read_timeout_ms


@pytest.mark.parametrize(("limit_ms", "most"), [(1_200.0, 6), (6_000.0, 2)])
async def test_changes_in_quick_succession_share_a_watch(world, limit_ms, most):
    world.catalog.apply(
        make_delta(1)._replace(tables=make_tables(), tables_revision=1), 0.0
    )
    store = UnresponsiveStore()
    store.answers = True
    reader = CatalogReader(
        store,
        world,
        Ring(),
        MonotonicClock(),
        random.Random(1),
        limit_ms,
        lambda _: None,
    )
    world.fleet.confirmed_ms = float("-inf")
    task = asyncio.create_task(reader.run())
    await asyncio.sleep(0.45)
    task.cancel()
    assert 1 <= store.watches <= most
