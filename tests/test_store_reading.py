"""Check from where the store is watched, and when all of it is read instead."""

import asyncio
import random

import pytest

from burdockmill.clients.catalog_reader import CatalogReader
from burdockmill.clock import MonotonicClock
from burdockmill.fleet_core import make_fleet_engine
from burdockmill.messages.events import (
    CatalogConfirmed,
    CatalogRead,
    HostStarted,
    PeerRevisionReceived,
)
from burdockmill.messages.store_position import StorePosition
from burdockmill.platform.store_source import StoreSource
from burdockmill.policies.store_reading import StoreReading
from burdockmill.policies.store_role import StoreRole, store_role
from burdockmill.systems._ring import Ring
from burdockmill.tables.rows import MemberRow
from tests.builders_forwarding import make_delta, make_tables
from tests.builders_forwarding_node import Site, until
from tests.builders_platform import StandinStore, entry_of, single_route

INTERVAL_MS = 3_000.0
LIMIT_MS = 3_000


def position(revision):
    return StorePosition(0, revision)


@pytest.fixture
def reading():
    made = StoreReading(INTERVAL_MS)
    made.begin_step(position(0))
    made.emitted(position(5), 0.0)
    return made


def watch_other_key(reading, applied, revision):
    """Watch a change of a key that is not of the catalog."""
    after = reading.begin_step(position(applied))
    assert not reading.needs_whole_read(after)
    reading.unchanged(reading.base_of(after, position(applied)), position(revision))


def test_a_change_after_those_of_other_keys_continues_the_catalog(reading):
    for revision in range(6, 40):
        watch_other_key(reading, 5, revision)
    after = reading.begin_step(position(5))
    assert after == position(39)
    assert reading.base_of(after, position(5)) == position(5)


def test_other_keys_advance_the_position_at_a_bounded_rate(reading):
    emitted = 0
    for step in range(1, 100):
        now_ms = step * 100.0
        if reading.is_position_due(position(5 + step), now_ms):
            reading.emitted(position(5 + step), now_ms)
            emitted += 1
    assert emitted == 3


def test_a_watch_that_cannot_be_read_is_replaced_and_then_tried_again(reading):
    for _ in range(2):
        after = reading.begin_step(position(5))
        assert not reading.needs_whole_read(after)
        reading.unreadable(is_whole_read=False)
    assert reading.needs_whole_read(reading.begin_step(position(5)))
    reading.unreadable(is_whole_read=True)
    assert not reading.needs_whole_read(reading.begin_step(position(5)))


def test_a_change_that_the_core_did_not_apply_is_read_again_ever_more_rarely(reading):
    reads = 0
    for _ in range(200):
        if reading.needs_whole_read(reading.begin_step(position(4))):
            reading.whole_read()
            reading.emitted(position(5), 0.0)
            reads += 1
    assert 5 <= reads <= 8
    after = reading.begin_step(position(5))
    assert not reading.needs_whole_read(after)


def test_a_host_that_peers_do_not_bring_up_to_date_reads_by_itself():
    engine = make_fleet_engine("e0", "waw-a", random.Random(1), Ring(), LIMIT_MS)
    world = engine.world
    others = [
        MemberRow(f"e{one}", "waw-a", "", f"127.0.0.1:{one}", 1) for one in (1, 2)
    ]
    own = MemberRow("e0", "waw-a", "", "127.0.0.1:9", 1)
    engine.post(HostStarted(own, tuple(others)))
    whole = make_delta(5, is_whole=True, tables=make_tables(5), tables_revision=5)
    engine.post(CatalogRead(whole))
    engine.post(CatalogConfirmed(0.0))
    engine.tick(0.0)

    class LastReader(Ring):
        def readers(self, world):
            return ["e1"]

    def role(now_ms):
        return store_role(world, LastReader(), now_ms, 1_650.0)

    engine.post(PeerRevisionReceived("e1", 6))
    engine.tick(100.0)
    world.fleet.confirmed_ms = 2_000.0
    assert role(1_700.0) is StoreRole.NONE
    assert role(1_800.0) is StoreRole.BEHIND
    # What it reads from the store is at least as new as what the peer reported.
    engine.post(CatalogConfirmed(1_900.0))
    engine.tick(1_900.0)
    assert role(1_950.0) is StoreRole.NONE


async def test_hosts_that_miss_a_message_are_told_though_other_keys_change():
    async with Site(hosts=3, change_limit_ms=LIMIT_MS) as site:
        await site.ready()
        for number in range(5):
            site.store.put("other/key", {"number": number})
            await asyncio.sleep(0.02)
        site.publish(version=9)
        await until(
            lambda: all(node.engine.world.catalog.version == 9 for node in site.nodes),
            "all hosts at version 9",
            LIMIT_MS / 1_000,
        )
        revision = site.store.revision
        await until(
            lambda: all(
                node.engine.world.catalog.revision >= revision for node in site.nodes
            ),
            "the position of all hosts is that of the store",
            LIMIT_MS / 1_000,
        )


async def test_a_burst_of_large_entries_does_not_end_the_following():
    async with Site(hosts=2, change_limit_ms=LIMIT_MS) as site:
        await site.ready()
        for number in range(14):
            site.store.put(f"servers/i-large-{number}", b"x" * 1_048_000)
        site.publish(version=9, routes=[single_route("c", prefix="/added/")])
        await until(
            lambda: all(node.engine.world.catalog.version == 9 for node in site.nodes),
            "all hosts at version 9",
            LIMIT_MS / 1_000,
        )


async def test_a_reader_that_is_killed_is_back_within_the_bound_of_changes():
    async with Site(hosts=2, change_limit_ms=LIMIT_MS) as site:
        await site.ready()
        for task in asyncio.all_tasks():
            if task.get_name() in ("store reader", "connection warmer"):
                task.cancel()
        site.publish(version=9)
        await until(
            lambda: all(node.engine.world.catalog.version == 9 for node in site.nodes),
            "all hosts at version 9",
            LIMIT_MS / 1_000,
        )
        for node in site.nodes:
            assert all(one.is_running for one in node.supervisor.statuses())
            assert node.supervisor.counts["store reader_failed"] == 1


class HangingSource(StoreSource):
    """Hang in one call for good, and ignore the first cancellation of it."""

    hangs = False
    hung = 0

    async def watch(self, after, wait_ms):
        if self.hangs:
            self.hangs = False
            self.hung += 1
            try:
                await asyncio.Event().wait()
            except asyncio.CancelledError:
                await asyncio.sleep(60)
        return await super().watch(after, wait_ms)


async def test_a_call_that_hangs_at_every_host_does_not_end_the_following(monkeypatch):
    monkeypatch.setattr("tests.builders_forwarding_node.StoreSource", HangingSource)
    async with Site(hosts=2, change_limit_ms=LIMIT_MS) as site:
        await site.ready()
        for node in site.nodes:
            node.source.hangs = True
        await until(lambda: any(node.source.hung for node in site.nodes), "one hangs")
        site.publish(version=9)
        await until(
            lambda: all(node.engine.world.catalog.version == 9 for node in site.nodes),
            "all hosts at version 9",
            LIMIT_MS / 1_000,
        )


async def test_a_reader_reads_all_again_what_the_core_did_not_apply():
    engine = make_fleet_engine("e0", "waw-a", random.Random(1), Ring(), LIMIT_MS)
    lost = []

    def emit(event):
        if isinstance(event, CatalogRead) and not event.delta.is_whole and not lost:
            lost.append(event)
            return
        engine.post(event)
        engine.tick(clock.now_ms())

    clock = MonotonicClock()
    async with StandinStore() as store:
        store.put("op/config", {"version": "none"})
        source = StoreSource(store.address)
        rng = random.Random(1)
        reader = CatalogReader(source, engine.world, Ring(), clock, rng, LIMIT_MS, emit)
        task = asyncio.create_task(reader.run())
        catalog = engine.world.catalog
        await until(lambda: catalog.revision == store.revision, "the catalog is read")
        store.put("servers/u-1", entry_of("a", "127.0.0.1:9001"))
        await until(lambda: "u-1" in catalog.registration_by_upstream, "it is applied")
        assert lost
        task.cancel()
        await source.close()
