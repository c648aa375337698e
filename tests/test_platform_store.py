"""Check how responses of the store are converted to catalog changes."""

import asyncio

import pytest

from burdockmill.clients.catalog_source import HistoryLostError, StoreError
from burdockmill.messages.store_position import StorePosition
from burdockmill.platform.store_source import StoreSource
from tests.builders_platform import (
    StandinStore,
    configuration_of,
    entry_of,
    search_route,
    single_route,
)


@pytest.fixture
async def store():
    async with StandinStore() as started:
        started.put(
            "op/config",
            configuration_of(
                [search_route(["a", "b"]), single_route("c", type="unsafe")],
                ["a", "b", "c"],
            ),
        )
        yield started


@pytest.fixture
async def source(store):
    made = StoreSource(store.address)
    yield made
    await made.close()


async def test_reads_the_configuration_and_all_pages_of_registrations(store, source):
    store.page = 2
    for number in range(5):
        store.put(f"servers/u-{number}", entry_of("a", f"127.0.0.1:{9000 + number}"))
    delta = await source.read_all(1_500.0)
    assert delta.is_whole
    assert delta.revision == store.revision
    assert [change.registration.upstream for change in delta.registered] == [
        f"u-{number}" for number in range(5)
    ]
    search, single = delta.tables.routes
    assert (search.is_idempotent, single.is_idempotent) == (True, False)
    assert search.shards.services == ("a", "b")
    assert search.latency_goal_ms == 132.5
    assert single.services[0].service == "c"
    assert delta.tables.limits.idle_timeout_ms == 15_000


async def test_a_watch_returns_registered_and_departed_upstreams(store, source):
    store.put("servers/u-1", entry_of("a", "127.0.0.1:9001"))
    before = store.revision
    store.put("servers/u-2", entry_of("a", "127.0.0.1:9002", state="draining"))
    store.remove("servers/u-1")
    store.put("some/other-key", {"not": "ours"})
    delta = await source.watch(StorePosition(0, before), 1_000)
    assert [change.registration.draining for change in delta.registered] == [True]
    assert [change.upstream for change in delta.departed] == ["u-1"]
    assert (delta.base, delta.revision) == (before, store.revision)


async def test_a_watch_without_changes_returns_an_empty_delta(store, source):
    delta = await source.watch(StorePosition(0, store.revision), 20)
    assert delta.registered == delta.departed == ()
    assert delta.tables is None


@pytest.mark.parametrize(
    "entry",
    [
        b"\xff\xfe not text",
        b"[]",
        {"service": "a"},
        entry_of("a", "127.0.0.1:9001", slots="two"),
        entry_of("a", "127.0.0.1:9001", state="asleep"),
        entry_of("a", "nowhere"),
        entry_of("a", "127.0.0.1:9001", **{"cold-left-ms": None}),
        entry_of(None, "127.0.0.1:9001"),
    ],
)
async def test_a_malformed_registration_does_not_affect_others(store, source, entry):
    store.put("servers/bad", entry)
    store.put("servers/good", entry_of("a", "127.0.0.1:9002"))
    delta = await source.read_all(1_500.0)
    assert [change.registration.upstream for change in delta.registered] == ["good"]
    assert source.counts["malformed_registrations"] == 1


async def test_a_value_that_is_not_base64_does_not_affect_others(store, source):
    store.put_text("servers/bad", "***")
    store.put("servers/good", entry_of("a", "127.0.0.1:9002"))
    delta = await source.read_all(1_500.0)
    assert [change.registration.upstream for change in delta.registered] == ["good"]


async def test_a_malformed_configuration_keeps_the_last_one(store, source):
    before = store.revision
    store.put("op/config", {"version": "seven"})
    delta = await source.watch(StorePosition(0, before), 100)
    assert delta.tables is None
    assert source.counts["malformed_configurations"] == 1


async def test_a_lost_history_raises_its_own_error(store, source):
    before = store.revision
    store.put("servers/u-1", entry_of("a", "127.0.0.1:9001"))
    store.compact()
    with pytest.raises(HistoryLostError):
        await source.watch(StorePosition(0, before), 100)


@pytest.mark.parametrize("refusal", [429, 503, "reset"])
async def test_a_refusal_is_an_error_and_counted(store, source, refusal):
    store.refusal = refusal
    with pytest.raises(StoreError):
        await source.watch(StorePosition(0, 1), 100)
    assert source.counts["failed_calls"] == 1


async def test_a_call_to_an_unresponsive_store_times_out(store, source, monkeypatch):
    monkeypatch.setattr("burdockmill.platform.store_source.WATCH_MARGIN_MS", 50.0)
    store.refusal = "silent"
    with pytest.raises(StoreError):
        await source.watch(StorePosition(0, 1), 50)
    with pytest.raises(StoreError):
        await source.read_all(50.0)
    store.refusal = None
    assert (await source.read_all(1_500.0)).tables.version == 7


async def test_a_catalog_that_takes_longer_than_the_timeout_to_arrive_is_read(
    store, source
):
    for number in range(40):
        store.put(f"servers/u-{number}", entry_of("a", f"127.0.0.1:{9000 + number}"))
    store.page = 100
    store.chunk_bytes, store.chunk_interval_s = 1_000, 0.05
    delta = await source.read_all(200.0)
    assert len(delta.registered) == 40


async def test_an_answer_that_arrives_too_slowly_times_out(store, source):
    for number in range(40):
        store.put(f"servers/u-{number}", entry_of("a", f"127.0.0.1:{9000 + number}"))
    store.page = 100
    store.chunk_bytes, store.chunk_interval_s = 10, 0.05
    async with asyncio.timeout(2.0):
        with pytest.raises(StoreError, match="bytes received"):
            await source.read_all(200.0)


async def test_an_answer_that_stops_arriving_times_out(store, source):
    for number in range(400):
        store.put(f"servers/u-{number}", entry_of("a", f"127.0.0.1:{9000 + number}"))
    store.chunk_bytes, store.chunk_interval_s = 30_000, 10.0
    async with asyncio.timeout(2.0):
        with pytest.raises(StoreError, match="bytes received"):
            await source.read_all(200.0)


async def test_an_answer_with_a_wrong_type_is_an_error(store, source):
    store.put("servers/u-1", entry_of("a", "127.0.0.1:9001"))
    store.items["servers/u-1"]["rev"] = "not a number"
    with pytest.raises(StoreError):
        await source.read_all(1_500.0)


async def test_absurd_numbers_of_an_entry_are_bounded_or_name_no_upstream(
    store, source
):
    changes_by_id = {
        "u-many-slots": {"slots": 10**15},
        "u-no-slots": {"slots": -(10**15)},
        "u-cold": {"cold-left-ms": 1e308},
        "u-slots-of-400-digits": {"slots": 10**400},
        "u-born-of-400-digits": {"born": 10**400},
    }
    for upstream, changes in changes_by_id.items():
        store.put(f"servers/{upstream}", entry_of("a", "127.0.0.1:9001", **changes))
    delta = await source.read_all(1_500.0)
    registered = [change.registration for change in delta.registered]
    assert {one.upstream: (one.slots, one.cold_ms) for one in registered} == {
        "u-many-slots": (1_000_000, 0.0),
        "u-no-slots": (1, 0.0),
        "u-cold": (2, 600_000.0),
    }
