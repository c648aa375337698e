"""Check that an upstream or store that sends bytes without end is cut off."""

import asyncio
import resource
import socket

import pytest

from burdockmill.clients.catalog_source import StoreError
from burdockmill.clients.receive_budget import ReceiveBudget
from burdockmill.forwarding.messages import AttemptEnd
from burdockmill.platform.store_source import StoreSource
from tests.builders_platform import StandinUpstream
from tests.test_forwarding_client import Caller

HEAD = b"HTTP/1.1 200 OK\r\n"
INTERIM = b"HTTP/1.1 102 Processing\r\n\r\n"
FOREIGN = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nX-Burdockmill-Request-Id: other\r\n\r\nx"
)
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
# More than any limit, so that only the caller ends the stream.
ENDLESS_BYTES = 256 * 1024 * 1024
BLOCK_BYTES = 64 * 1024
# An attempt that takes longer hangs, however slow the machine is.
HANG_MS = 60_000.0
MEMORY_LIMIT_KB = 40 * 1024
# first bytes, and what is repeated without end
STREAMS = {
    "blank_lines_before_the_head": (b"", b"\r\n"),
    "status_line": (b"HTTP/1.1 200 ", b"O"),
    "header_value": (HEAD + b"A: ", b"a"),
    "header_name": (HEAD, b"A"),
    "headers": (HEAD, b"A: a\r\n"),
    "interim_answers": (b"", INTERIM),
    "answers_of_other_requests": (b"", FOREIGN),
    "body_without_a_length": (HEAD + b"\r\n", b"b"),
    "body_with_a_length": (HEAD + b"Content-Length: 99999999999\r\n\r\n", b"b"),
    "chunks": (CHUNKED, b"1\r\nb\r\n"),
    "chunk": (CHUNKED + b"FFFFFFFF\r\n", b"b"),
    "chunk_size": (CHUNKED, b"0"),
    "chunk_extension": (CHUNKED + b"1;", b"e"),
    "trailers": (CHUNKED + b"0\r\n", b"A: a\r\n"),
    "bytes_that_are_no_answer": (b"", b"\x00"),
}


class EndlessWriter:
    """Send a stream until the caller closes, and count its bytes."""

    def __init__(self, first, repeated):
        self.first = first
        self.block = repeated * max(1, BLOCK_BYTES // len(repeated))
        self.sent = 0
        self.closed = asyncio.Event()

    async def script(self, upstream, request, writer):
        writer.write(self.first)
        try:
            while self.sent < ENDLESS_BYTES:
                writer.write(self.block)
                self.sent += len(self.block)
                await writer.drain()
        except OSError:
            self.closed.set()
        return True


@pytest.fixture
async def upstream():
    async with StandinUpstream("u-1") as started:
        yield started


@pytest.fixture
async def caller(upstream):
    made = Caller(upstream)
    yield made
    await made.client.close()


@pytest.mark.parametrize("name", STREAMS)
async def test_an_endless_answer_is_cut_off_and_fails(upstream, caller, name):
    endless = EndlessWriter(*STREAMS[name])
    upstream.script = endless.script
    before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    outcome = await caller.send(left_ms=4_000.0)
    async with asyncio.timeout(1.0):
        await endless.closed.wait()
    grown_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before_kb
    assert outcome.end is AttemptEnd.WRONG_ANSWER
    assert grown_kb < MEMORY_LIMIT_KB
    # The next attempt opens another connection and is answered.
    upstream.script = None
    assert (await caller.send()).end is AttemptEnd.ANSWERED


async def test_an_answer_that_states_too_large_a_size_fails_at_its_head(
    upstream, caller
):
    async def script(upstream, request, writer):
        writer.write(HEAD + b"Content-Length: 99999999999\r\n\r\n")
        await asyncio.sleep(10.0)
        return True

    upstream.script = script
    outcome = await caller.send(left_ms=4_000.0)
    assert outcome.end is AttemptEnd.WRONG_ANSWER


async def test_a_connection_that_was_held_carries_the_next_request(upstream):
    budget = ReceiveBudget(limit_bytes=300_000)
    caller = Caller(upstream, limit=8, budget=budget)
    body = b"x" * 100_000

    async def script(upstream, request, writer):
        writer.write(upstream.answer(request, body))
        return False

    upstream.script = script
    for _ in range(3):
        outcomes = await asyncio.gather(
            *(caller.send(left_ms=HANG_MS) for _ in range(8))
        )
        assert {one.end for one in outcomes} == {AttemptEnd.ANSWERED}
    assert budget.counts["turns_started"] > 0
    assert budget.received_bytes == 0
    await caller.client.close()


# Guards against a budget that failed answers make larger, until it bounds nothing.
@pytest.mark.parametrize("name", STREAMS)
async def test_no_byte_of_an_endless_answer_is_left_in_the_budget(upstream, name):
    budget = ReceiveBudget()
    caller = Caller(upstream, budget=budget)
    for _ in range(3):
        upstream.script = EndlessWriter(*STREAMS[name]).script
        outcome = await caller.send(left_ms=HANG_MS)
        assert outcome.end is AttemptEnd.WRONG_ANSWER
        assert budget.received_bytes == 0
    await caller.client.close()


@pytest.mark.parametrize("name", ["headers", "body_without_a_length"])
async def test_a_slow_endless_answer_ends_with_its_attempt(upstream, caller, name):
    """A stream of a byte now and then stays below each bound in bytes."""
    first, repeated = STREAMS[name]
    closed = asyncio.Event()

    async def script(self, request, writer):
        writer.write(first)
        try:
            while True:
                writer.write(repeated)
                await writer.drain()
                await asyncio.sleep(0.01)
        except OSError:
            closed.set()
        return True

    upstream.script = script
    sending = asyncio.create_task(caller.send())
    await asyncio.sleep(0.3)
    caller.sending.cancel()
    assert (await sending).end is AttemptEnd.SILENT
    async with asyncio.timeout(1.0):
        await closed.wait()


async def test_many_endless_bodies_at_once_share_a_bound(upstream):
    caller = Caller(upstream, limit=40)

    async def script(upstream, request, writer):
        # The test moves what is received, not what waits in the kernel.
        connection = writer.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BLOCK_BYTES)
        # With one writer for all, the stream would end.
        endless = EndlessWriter(*STREAMS["body_without_a_length"])
        return await endless.script(upstream, request, writer)

    upstream.script = script
    before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    outcomes = await asyncio.gather(*(caller.send(left_ms=HANG_MS) for _ in range(40)))
    grown_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before_kb
    await caller.client.close()
    assert {one.end for one in outcomes} == {AttemptEnd.WRONG_ANSWER}
    assert grown_kb < 120 * 1024


@pytest.mark.parametrize("name", ["body_without_a_length", "chunks", "headers"])
async def test_an_endless_answer_of_the_store_is_cut_off(name):
    first, repeated = STREAMS[name]
    endless = EndlessWriter(first, repeated)

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        await endless.script(None, None, writer)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    source = StoreSource(f"127.0.0.1:{port}")
    before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    with pytest.raises(StoreError):
        await source.read_all(4_000.0)
    async with asyncio.timeout(1.0):
        await endless.closed.wait()
    grown_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before_kb
    await source.close()
    server.close()
    assert grown_kb < MEMORY_LIMIT_KB
