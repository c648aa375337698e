"""Check that odd answers of the store neither flood it nor end the following."""

import asyncio
import random
from contextlib import suppress

from aiohttp import web
from loguru import logger

from burdockmill.clients.catalog_reader import CatalogReader
from burdockmill.clients.catalog_source import CatalogSource
from burdockmill.clock import MonotonicClock
from burdockmill.fleet_core import make_fleet_engine
from burdockmill.messages.events import HostStarted
from burdockmill.systems._ring import Ring
from burdockmill.systems.catalog_system import CatalogSystem
from burdockmill.tables.rows import MemberRow
from burdockmill.world import World
from tests.builders_forwarding import make_delta, make_tables
from tests.builders_forwarding_node import Site, until
from tests.builders_platform import StandinStore

LIMIT_MS = 3_000
OBSERVED_S = 1.0
CALLS_LIMIT = 20


class OddStore(StandinStore):
    """Replace the answers to range reads or watches while they are set."""

    range_answer = None
    watch_answer = None

    def _range(self, query):
        if self.range_answer is not None:
            return self.range_answer(query)
        return super()._range(query)

    async def _watch(self, query):
        if self.watch_answer is not None:
            return self.watch_answer(query)
        return await super()._watch(query)


def gone(_query):
    return web.Response(status=410)


def odd_site(**options):
    site = Site(change_limit_ms=LIMIT_MS, **options)
    site.store = OddStore()
    return site


async def follow(site, version):
    site.publish(version=version)
    await until(
        lambda: all(
            node.engine.world.catalog.version == version for node in site.nodes
        ),
        f"all hosts at version {version}",
        LIMIT_MS / 1_000,
    )


async def test_a_store_without_history_in_range_reads_is_not_called_in_a_loop():
    lines = []
    async with odd_site() as site:
        await site.ready()
        sink = logger.add(lines.append, level="INFO")
        site.store.range_answer = site.store.watch_answer = gone
        calls = site.store.calls
        await asyncio.sleep(OBSERVED_S)
        calls = site.store.calls - calls
        logger.remove(sink)
        assert calls <= CALLS_LIMIT
        assert len([one for one in lines if "store:" in one]) <= CALLS_LIMIT
        site.store.range_answer = site.store.watch_answer = None
        await follow(site, 9)


async def test_a_page_that_is_empty_but_not_the_last_removes_no_upstream():
    def empty_with_more(query):
        items = (
            [] if query["prefix"] != "op/config" else [site.store.items["op/config"]]
        )
        return web.json_response(
            {
                "items": items,
                "has-more": not items,
                "store-revision": site.store.revision,
            }
        )

    async with odd_site(hosts=2) as site:
        await site.ready()
        site.store.range_answer = empty_with_more
        site.store.compact()
        site.store.put("other/key", {})
        site.store.compact()
        await asyncio.sleep(OBSERVED_S)
        for node in site.nodes:
            assert node.engine.world.catalog.ready_count() == 3
        site.store.range_answer = None
        await follow(site, 9)


async def test_watches_that_return_at_once_without_changes_are_spaced():
    def at_once(_query):
        return web.json_response({"events": [], "store-revision": site.store.revision})

    async with odd_site() as site:
        await site.ready()
        site.store.watch_answer = at_once
        calls = site.store.calls
        await asyncio.sleep(OBSERVED_S)
        assert site.store.calls - calls <= CALLS_LIMIT
        site.store.watch_answer = None
        await follow(site, 9)


async def test_frequent_changes_of_other_keys_do_not_each_cost_a_call():
    async with odd_site() as site:
        await site.ready()
        calls = site.store.calls
        for number in range(100):
            site.store.put("other/key", {"number": number})
            await asyncio.sleep(OBSERVED_S / 100)
        assert site.store.calls - calls <= CALLS_LIMIT
        await follow(site, 9)


async def test_hosts_follow_a_store_that_once_gave_a_revision_far_too_high():
    def far_ahead(_query):
        site.store.watch_answer = None
        return web.json_response({"events": [], "store-revision": 2**62})

    async with odd_site(hosts=2) as site:
        await site.ready()
        site.store.watch_answer = far_ahead
        await until(lambda: site.store.watch_answer is None, "a host is given it")
        await follow(site, 9)
        # Its position may have reached all hosts by now.
        await asyncio.sleep(LIMIT_MS / 1_000)
        calls = site.store.calls
        await asyncio.sleep(OBSERVED_S)
        assert site.store.calls - calls <= CALLS_LIMIT
        await follow(site, 10)


class LateSource(CatalogSource):
    """Return the answer to the first watch long after that was abandoned."""

    def __init__(self):
        self.revision = 5
        self.watches = 0
        self.release = asyncio.Event()

    async def read_all(self, timeout_ms):
        whole = make_delta(self.revision)._replace(is_whole=True)
        return whole._replace(tables=make_tables(), tables_revision=5)

    async def watch(self, after, wait_ms):
        self.watches += 1
        if self.watches == 1:
            while not self.release.is_set():
                with suppress(asyncio.CancelledError):
                    await self.release.wait()
            return make_delta(6, base=5)
        await asyncio.sleep(0.02)
        self.revision += 1
        return make_delta(self.revision, base=after.revision)

    async def close(self):
        pass


async def test_the_answer_to_a_run_that_was_left_behind_is_not_emitted():
    world = World("e0", "waw-a", random.Random(1))
    source = LateSource()
    events = []
    reader = CatalogReader(
        source,
        world,
        Ring(),
        MonotonicClock(),
        random.Random(1),
        LIMIT_MS,
        events.append,
    )
    late = asyncio.create_task(reader.run())
    await until(lambda: source.watches == 1, "a watch hangs")
    late.cancel()
    current = asyncio.create_task(reader.run())
    await until(lambda: source.watches > 1, "another run watches")
    emitted = len(events)
    current.cancel()
    await asyncio.gather(current, return_exceptions=True)
    source.release.set()
    await asyncio.wait({late}, timeout=1.0)
    assert late.done()
    assert len(events) == emitted


def test_a_timer_survives_one_failure_of_its_system(monkeypatch):
    failures = []
    engine = make_fleet_engine("e0", "waw-a", random.Random(1), Ring(), LIMIT_MS)
    engine.on_failure = lambda system, error: failures.append(error)
    check_age = CatalogSystem._check_age
    checks = []

    def fail_once(*arguments):
        checks.append(arguments)
        if len(checks) == 1:
            raise RuntimeError("one failure")
        check_age(*arguments)

    monkeypatch.setattr(CatalogSystem, "_check_age", fail_once)
    engine.post(HostStarted(MemberRow("e0", "waw-a", "", "127.0.0.1:9", 1), ()))
    for now_ms in range(0, 20_000, 100):
        engine.tick(float(now_ms))
    assert len(failures) == 1
    assert len(checks) > 1
