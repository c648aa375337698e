"""Check that no bytes of the store raise anything but its boundary's own errors."""

import asyncio
import json
from base64 import b64encode
from collections import Counter

import msgspec
from hypothesis import given, settings, strategies as st

from burdockmill.clients.catalog_source import StoreError
from burdockmill.forwarding.messages import Registration
from burdockmill.forwarding.routes import RoutingTables
from burdockmill.messages.catalog import CatalogResponse
from burdockmill.messages.store_position import StorePosition
from burdockmill.platform.configuration import (
    MalformedValueError,
    decode_configuration,
    decode_registration,
)
from burdockmill.platform.store_items import StoreItems
from burdockmill.platform.store_pages import (
    EventsPage,
    Item,
    MalformedAnswerError,
    RangePage,
    decode_events,
    decode_range,
)
from burdockmill.platform.store_source import StoreSource
from tests.builders_hostile import (
    ADDRESS,
    header_values,
    hostile_bytes,
    odd_texts,
    spoiled,
)
from tests.builders_platform import (
    configuration_of,
    entry_of,
    search_route,
    single_route,
)

EXAMPLES = settings(max_examples=300, deadline=None)
CALLS = settings(max_examples=60, deadline=None)
ENTRY = entry_of("a", ADDRESS)
CONFIGURATION = configuration_of([search_route(["a"]), single_route("c")], ["a", "c"])
VALUE = b64encode(json.dumps(ENTRY).encode()).decode()
ITEM = {"key": "servers/u-1", "value": VALUE, "rev": 6, "lease": 0, "created": 6}
RANGE = {"items": [ITEM], "has-more": False, "store-revision": 7}
EVENTS = {"events": [ITEM], "store-revision": 7}
BODY = json.dumps(EVENTS).encode()
GOOD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(BODY), BODY)


@EXAMPLES
@given(hostile_bytes(ENTRY), odd_texts())
def test_any_entry_is_a_registration_or_malformed(value, key):
    try:
        decoded = decode_registration(f"servers/{key}", value)
    except MalformedValueError as error:
        assert len(str(error)) <= 200
    else:
        assert msgspec.json.decode(msgspec.json.encode(decoded), type=Registration)


@EXAMPLES
@given(hostile_bytes(CONFIGURATION))
def test_any_configuration_is_a_table_of_routes_or_malformed(value):
    try:
        assert isinstance(decode_configuration(value), RoutingTables)
    except MalformedValueError as error:
        assert len(str(error)) <= 200


@EXAMPLES
@given(hostile_bytes(RANGE), hostile_bytes(EVENTS))
def test_any_page_is_read_or_malformed(range_page, events):
    for decode, page_type, body in (
        (decode_range, RangePage, range_page),
        (decode_events, EventsPage, events),
    ):
        try:
            assert isinstance(decode(body), page_type)
        except MalformedAnswerError as error:
            assert len(str(error)) <= 200


@EXAMPLES
@given(st.lists(st.tuples(odd_texts(), hostile_bytes(ENTRY)), max_size=4))
def test_good_items_hold_beside_any_others_and_reach_the_peers(odd):
    items = [Item(f"servers/{key}", 6, b64encode(value).decode()) for key, value in odd]
    items += [Item("op/config", 6, "W1tb"), Item("servers/u-1", 6, VALUE)]
    delta = StoreItems(Counter()).build_delta(5, StorePosition(0, 7), items)
    assert delta.registered[-1].registration.upstream == "u-1"
    encoded = msgspec.json.encode(CatalogResponse(delta))
    assert msgspec.json.decode(encoded, type=CatalogResponse).delta == delta


async def watch_twice(first):
    """Watch a store that answers with some bytes first; return the second answer."""
    answers = [first, GOOD]

    async def serve(reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answers.pop(0))
        except (asyncio.IncompleteReadError, ConnectionError, IndexError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    source = StoreSource(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
    try:
        for _ in range(3):
            try:
                delta = await source.watch(StorePosition(0, 5), 100)
            except StoreError as error:
                assert len(str(error)) <= 200
                continue
            if answers:
                continue
            return delta
    finally:
        await source.close()
        server.close()
    return None


@CALLS
@given(st.one_of(spoiled(GOOD), st.binary(max_size=300)))
def test_any_answer_is_read_or_an_error_and_the_next_one_is_read(first):
    delta = asyncio.run(watch_twice(first))
    assert delta is not None
    assert delta.registered


@CALLS
@given(header_values())
def test_any_era_is_read_or_an_error(era):
    head = b"HTTP/1.1 200 OK\r\nStore-Era: %s\r\nContent-Length: %d\r\n\r\n"
    first = head % (era.replace(b"\n", b"").replace(b"\r", b""), len(BODY))
    asyncio.run(watch_twice(first + BODY))
