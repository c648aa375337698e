"""Check the timeouts and retries towards a store that does not answer."""

import asyncio
import random
from collections import Counter

import pytest

from burdockmill.clients.catalog_reader import (
    READ_DELAYS_PER_LIMIT,
    UNCONFIRMED_FRACTION,
    USUAL_TIMEOUTS,
    CatalogReader,
)
from burdockmill.clients.catalog_source import (
    CatalogSource,
    HistoryLostError,
    StoreError,
)
from burdockmill.clock import MonotonicClock
from burdockmill.messages.events import CatalogRead
from burdockmill.policies.departure_grace import REGISTRATION_RENEWAL_MS
from burdockmill.systems._ring import Ring
from burdockmill.tables.rows import MemberRow
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


class RestartedStore(UnresponsiveStore):
    """Answer watches as a store that restarted from a copy without their revision."""

    async def read_all(self, timeout_ms):
        self.read_called.set()
        return make_delta(3, make_registration("u-1"), is_whole=True, era=2)

    async def watch(self, after, wait_ms):
        self.watches += 1
        if after.era < 2:
            raise HistoryLostError("410")
        await asyncio.sleep(60)


def world_in_era_1(world):
    whole = make_delta(9, make_registration("u-1"), make_registration("u-2"), era=1)
    tables = {"tables": make_tables(), "tables_revision": 1}
    world.catalog.apply(whole._replace(is_whole=True, **tables), 0.0)
    return world


async def test_the_reader_of_a_domain_reads_a_new_era_at_once(world):
    store = RestartedStore()
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    events = await read_until(world_in_era_1(world), store, bool)
    assert loop.time() - started_s < 0.1
    assert events[0].delta.position == (2, 3)
    assert events[0].delta.grace_ms == REGISTRATION_RENEWAL_MS


async def test_another_host_does_not_read_an_era_that_it_receives_meanwhile(world):
    """Replay a restart of the store after an outage, in which all hosts watch it."""
    host = world_in_era_1(world)
    host.fleet.confirmed_ms = float("-inf")
    host.member_by_host["e1"] = MemberRow("e1", "waw-a", "mazowsze", "e1")
    host.members_version += 1
    store = RestartedStore()
    ring = Ring()
    ring.readers = lambda _: ["e1"]
    reader = CatalogReader(
        store,
        host,
        ring,
        MonotonicClock(),
        random.Random(1),
        CHANGE_LIMIT_MS,
        lambda _: None,
    )
    task = asyncio.create_task(reader.run())
    async with asyncio.timeout(5):
        while not store.watches:
            await asyncio.sleep(0.001)
    await asyncio.sleep(0.02)
    assert not store.read_called.is_set()
    host.catalog.apply(await store.read_all(1_000), 0.0)
    store.read_called.clear()
    await asyncio.sleep(CHANGE_LIMIT_MS / READ_DELAYS_PER_LIMIT / 1_000)
    task.cancel()
    assert not store.read_called.is_set()
    assert store.watches == 2
