"""Check how received bytes are counted, cut and bounded, without a network."""

import asyncio
from itertools import accumulate, pairwise

import pytest
from aiohttp.http_parser import HttpRequestParser
from hypothesis import given, strategies as st

from burdockmill.policies.connection_memory import (
    ConnectionMemory,
    lines_cost,
    memory_limit,
)
from burdockmill.policies.json_values import VALUE_COST_BYTES, JsonValueCount
from burdockmill.policies.request_pieces import PIECE_BYTES, Phase, RequestPieces
from burdockmill.policies.transfer_watch import TransferLimit, TransferWatch

HOST = b" /x HTTP/1.1\r\nHost: h\r\n"
UNITS = (
    b"GET" + HOST + b"\r\n",
    b"GET" + HOST + b"a:\r\n" * 1_500 + b"\r\n",
    b"POST" + HOST + b"Content-Length: 12\r\n\r\nab\r\n\r\ncd\r\n\r\n",
    b"POST" + HOST + b"Content-Length: 9000\r\n\r\n" + b"x" * 9_000,
    b"POST" + HOST + b"Transfer-Encoding: chunked\r\n\r\n"
    b"4\r\n\r\n\r\n\r\n1;e=1\r\nx\r\n0\r\n\r\n",
    b"POST" + HOST + b"Transfer-Encoding: chunked\r\n\r\n"
    b"1\r\nx\r\n0\r\n" + b"t:\r\n" * 1_200 + b"\r\n",
    b"\r\n",
)


class Protocol:
    """Stand in for the connection of aiohttp's parser."""

    connected = True

    def pause_reading(self):
        raise AssertionError("the buffer is larger than any of these bodies")

    def resume_reading(self, resume_parser=True):
        pass


def parse(cuts):
    """Parse as a connection does; return requests, bodies and the pieces' state."""
    loop = asyncio.new_event_loop()
    limit = 10**6
    parser = HttpRequestParser(
        Protocol(), loop, limit, max_headers=limit, max_field_size=limit
    )
    pieces, requests, payload = RequestPieces(), [], None
    for data in cuts:
        whole = pieces.is_piece(data)
        if not whole:
            pieces.add(data)
        while whole or len(pieces):
            before = 0 if payload is None else payload.total_bytes
            piece = data if whole else pieces.take()
            whole = False
            assert piece
            assert len(piece) <= PIECE_BYTES or pieces.phase is Phase.SIZED_BODY
            messages, _, _ = parser.feed_data(piece)
            assert len(messages) <= 1
            grown = 0 if payload is None else payload.total_bytes - before
            pieces.count(piece, grown)
            if messages:
                message, payload = messages[0]
                assert pieces.lines >= len(message.raw_headers)
                requests.append((message, payload))
                if payload.is_eof():
                    payload = None
                    pieces.start_head()
                elif message.chunked:
                    pieces.start_body(None)
                else:
                    size = int(message.headers["Content-Length"])
                    pieces.start_body(size - payload.total_bytes)
            elif payload is not None and payload.is_eof():
                payload = None
                pieces.start_head()
    bodies = [
        b"" if payload is None else b"".join(getattr(payload, "_buffer", ()))
        for _, payload in requests
    ]
    loop.close()
    return [(one.method, one.raw_headers) for one, _ in requests], bodies, pieces


def cuts_of(data, sizes):
    ends = sorted({min(end, len(data)) for end in accumulate(sizes)} | {0, len(data)})
    return [data[a:b] for a, b in pairwise(ends)]


@given(
    st.lists(st.sampled_from(UNITS), min_size=1, max_size=5),
    st.lists(st.integers(1, 30) | st.integers(1, 9_000), max_size=12),
)
def test_no_piece_has_bytes_of_two_requests(units, sizes):
    """Guards against requests that the parser holds unseen, and against a lost body."""
    data = b"".join(units)
    requests, bodies, pieces = parse(cuts_of(data, sizes))
    assert len(requests) == sum(unit != b"\r\n" for unit in units)
    assert pieces.phase is Phase.HEAD
    assert (requests, bodies) == parse([data])[:2]


@pytest.mark.parametrize("cut", range(1, 4))
def test_a_blank_line_is_found_where_it_was_cut(cut):
    """Guards against two requests in one piece, of which the parser keeps one."""
    data = UNITS[0] * 2
    requests, _, _ = parse(cuts_of(data, [len(UNITS[0]) - cut]))
    assert len(requests) == 2


@given(st.lists(st.binary(max_size=40) | st.sampled_from(UNITS), max_size=6))
def test_odd_bytes_are_counted_to_the_last(parts):
    """Guards against bytes that no count has, which would be free for a client."""
    pieces = RequestPieces()
    taken = 0
    for part in parts:
        pieces.add(part)
        while len(pieces):
            piece = pieces.take()
            taken += len(piece)
            pieces.count(piece, 0)
    assert taken == pieces.head_bytes == sum(map(len, parts))
    assert pieces.lines == b"".join(parts).count(b"\n")


def test_the_heaviest_connections_are_closed_first():
    """Guards against closing ordinary clients for what others hold."""
    memory = ConnectionMemory(100)
    assert memory.record("small", 10) and memory.record("large", 60)
    assert memory.record("large", 50)
    assert not memory.record("other", 45)
    assert memory.take_excess() == ["large"]
    memory.release("small")
    assert memory.held_bytes == 45


def test_one_request_inside_the_limits_has_room_whatever_the_memory():
    """Guards against a share so small that a legal request is never served."""
    for memory_mb in (0.0, 1.0, 152.0):
        limit = memory_limit(memory_mb, 0.25, 1_000_000, 16_384, 262_144)
        assert limit >= lines_cost(4_096, 16_384) + 2 * 262_144


def test_a_transfer_that_goes_on_is_not_stalled():
    """Guards against closing a slow client that keeps above the least rate."""
    watch = TransferWatch(TransferLimit(grace_s=2.0, least_per_s=100.0))
    assert not any(watch.is_stalled(s, True, 150 * s) for s in range(20))
    assert [watch.is_stalled(20.0 + s, True, 3_000) for s in (1, 11, 13)][-1]
    assert not watch.is_stalled(40.0, False, 0)


@pytest.mark.parametrize(
    ("text", "values"),
    [
        (b"[1,2,3]", 3),
        (b"[[],[],{}]", 6),
        (b'["a,b,c,[,{", "\\",[,"]', 2),
        (b'{"a": "\\\\", "b": [1,2]}', 4),
    ],
)
@pytest.mark.parametrize("part_bytes", [1, 2, 3, 100])
def test_values_are_counted_without_what_strings_have(text, values, part_bytes):
    starts = range(0, len(text), part_bytes)
    for limit_bytes, exceeds in (
        (values * VALUE_COST_BYTES, False),
        (values * VALUE_COST_BYTES - 1, True),
    ):
        count = JsonValueCount(limit_bytes)
        parts = [text[start : start + part_bytes] for start in starts]
        assert any(map(count.exceeds_with, parts)) is exceeds
