"""Check that nothing in the store or on the way to it ends the following of it."""

import asyncio
import random
from collections import Counter

from burdockmill.clients.catalog_reader import CatalogReader
from burdockmill.clients.catalog_source import CatalogSource
from burdockmill.clock import MonotonicClock
from burdockmill.messages.events import CatalogRead
from burdockmill.systems._ring import Ring
from burdockmill.world import World
from tests.builders_forwarding import make_delta, make_tables
from tests.builders_forwarding_node import Site, until
from tests.builders_platform import single_route

CHANGE_LIMIT_MS = 3_000
TOO_DEEP = b'{"labels":' + b"[" * 4_000


def versions_of(site):
    return [node.engine.world.catalog.version for node in site.nodes]


# Guards against review/1: an entry that cannot be read ends the reading at every host.
async def test_hosts_follow_the_store_past_an_entry_that_nests_too_deeply():
    async with Site(hosts=3, change_limit_ms=CHANGE_LIMIT_MS) as site:
        await site.ready()
        site.store.put("servers/i-other", TOO_DEEP)
        # Each host in turn takes the reading over.
        await asyncio.sleep(CHANGE_LIMIT_MS / 1_000)
        site.publish(version=9, routes=[single_route("c", prefix="/added/")])
        await until(
            lambda: versions_of(site) == [9, 9, 9],
            f"all hosts at version 9, not {versions_of(site)}",
            CHANGE_LIMIT_MS / 1_000,
        )
        for node in site.nodes:
            assert (await site.client(node).ask("/added/2f")).status == 200


# Guards against review/1: a restarted host gets no catalog while the entry is there.
async def test_a_host_starts_while_the_store_holds_an_entry_that_nests_too_deeply():
    async with Site() as site:
        await site.ready()
        site.store.put("servers/i-other", TOO_DEEP)
        await site.nodes[0].stop()
        node = await site.start(site.nodes[0].settings.peer_address)
        await until(lambda: node.ready, "the host has a catalog", 3.0)


class BreakingStore(CatalogSource):
    """Raise an error that no caller expects on every other call."""

    def __init__(self):
        self.counts = Counter()
        self.calls = 0

    def fail_in_turn(self):
        self.calls += 1
        if self.calls % 2:
            raise RuntimeError("the handler is closed")

    async def read_all(self, timeout_ms):
        self.fail_in_turn()
        whole = make_delta(5)._replace(is_whole=True)
        return whole._replace(tables=make_tables(), tables_revision=5)

    async def watch(self, after, wait_ms):
        self.fail_in_turn()
        return make_delta(after.revision + 1, base=after.revision)

    async def close(self):
        pass


async def test_the_reader_survives_an_error_of_a_connection_that_it_does_not_know():
    events = []
    store = BreakingStore()
    reader = CatalogReader(
        store,
        World("e0", "waw-a", random.Random(1)),
        Ring(),
        MonotonicClock(),
        random.Random(1),
        CHANGE_LIMIT_MS,
        events.append,
    )
    task = asyncio.create_task(reader.run())
    await until(lambda: task.done() or len(events) > 4, "events or the task's end")
    assert not task.done(), task.exception()
    assert isinstance(events[0], CatalogRead)
    task.cancel()
