"""Check how a restart of the store from an older copy is detected and read."""

import pytest

from burdockmill.clients.catalog_source import HistoryLostError, StoreError
from burdockmill.messages.store_position import StorePosition
from burdockmill.platform.store_source import StoreSource
from tests.builders_platform import (
    StandinStore,
    configuration_of,
    entry_of,
    single_route,
)

ADDRESS = "127.0.0.1:9"


@pytest.fixture
async def store():
    async with StandinStore() as started:
        started.era = 3
        started.put("op/config", configuration_of([single_route("c")], ["c"]))
        yield started


@pytest.fixture
async def source(store):
    made = StoreSource(store.address)
    yield made
    await made.close()


def register(store, upstream):
    store.put(f"servers/{upstream}", entry_of("c", ADDRESS))


@pytest.mark.parametrize("header", ["Store-Era", "X-Burdockmill-Store-Era"])
async def test_a_read_is_positioned_in_the_era_of_its_answers(store, source, header):
    store.era_header = header
    delta = await source.read_all(1_000)
    assert delta.position == StorePosition(3, store.revision)


async def test_a_store_without_the_header_is_in_one_era(store, source):
    store.era = None
    delta = await source.read_all(1_000)
    assert delta.era == 0
    register(store, "u-1")
    delta = await source.watch(delta.position, 1_000)
    assert delta.position == StorePosition(0, store.revision)


async def test_an_answer_without_the_header_belongs_to_the_last_era(store, source):
    await source.read_all(1_000)
    store.era = None
    delta = await source.read_all(1_000)
    assert delta.era == 3


async def test_a_watch_from_a_revision_that_was_lost_is_not_continued(store, source):
    copied = store.copy()
    register(store, "u-1")
    before = (await source.read_all(1_000)).position
    store.restart_from(copied)
    with pytest.raises(HistoryLostError):
        await source.watch(before, 50)


async def test_a_watch_from_a_revision_assigned_again_is_not_continued(store, source):
    copied = store.copy()
    register(store, "u-1")
    before = (await source.read_all(1_000)).position
    store.restart_from(copied)
    register(store, "u-2")
    register(store, "u-3")
    assert before.revision < store.revision
    with pytest.raises(HistoryLostError):
        await source.watch(before, 50)
    delta = await source.read_all(1_000)
    assert delta.position == StorePosition(4, store.revision)


async def test_a_late_answer_of_an_older_era_is_dropped(store, source):
    position = (await source.read_all(1_000)).position
    store.era = 2
    with pytest.raises(StoreError, match="era 2"):
        await source.watch(position, 50)
    with pytest.raises(StoreError, match="era 2"):
        await source.read_all(1_000)
    assert source.counts["answers_of_older_eras"] == 2


async def test_pages_of_two_eras_are_not_one_copy(store, source, monkeypatch):
    register(store, "u-1")
    register(store, "u-2")
    store.page = 1
    ranges = store._range

    def restart_after_the_first_page(query):
        response = ranges(query)
        store.era = 3 if store.calls <= 2 else 4
        return response

    monkeypatch.setattr(store, "_range", restart_after_the_first_page)
    with pytest.raises(StoreError, match="era 4 began"):
        await source.read_all(1_000)


@pytest.mark.parametrize("era", ["", "-1", "1.5", "two", "\u0663"])
async def test_a_malformed_era_is_an_error(store, source, era):
    store.era = era
    with pytest.raises(StoreError, match="malformed era"):
        await source.read_all(1_000)
