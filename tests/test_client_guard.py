"""Check that connections whose peers neither send nor read are closed."""

import asyncio
import gc
import weakref

import pytest
from aiohttp import web

from burdockmill.errors import BurdockmillError
from burdockmill.policies.transfer_watch import TransferLimit
from burdockmill.surfaces._bounded_server import ServerBounds
from burdockmill.surfaces._client_guard import ClientGuard, GuardLimits
from burdockmill.surfaces._refusals import refusal_response
from burdockmill.surfaces.listener import Listener
from tests.builders_forwarding_node import until

HEAD = b"POST /x HTTP/1.1\r\nHost: x\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
GET = HEAD.replace(b"POST", b"GET") + b"\r\n"
LIMIT = 16_384


class Surface:
    """Answer with as many bytes as the query says, and count the requests run."""

    def __init__(self, memory_bytes=10**9, grace_s=0.2):
        transfer = TransferLimit(grace_s, 1e6)
        self.guard = ClientGuard(GuardLimits(lambda: memory_bytes, transfer))
        self.refused, self.ran, self.writers = [], 0, []
        self.answers, self.protocols = asyncio.Event(), set()
        self.answers.set()
        bounds = ServerBounds(
            100, self.refused.append, header_limit=lambda: LIMIT, guard=self.guard
        )
        self.listener = Listener(self.serve, bounds)

    async def serve(self, request):
        try:
            await request.read()
        except BurdockmillError as error:
            return refusal_response(error)
        self.ran += 1
        self.protocols.add(request.protocol)
        await self.answers.wait()
        return web.Response(body=b"x" * int(request.query_string or "1"))

    async def __aenter__(self):
        self.address = await self.listener.open("127.0.0.1:0")
        return self

    async def __aexit__(self, *_):
        for writer in self.writers:
            writer.close()
        await self.listener.close()

    async def send(self, data):
        reader, writer = await asyncio.open_connection(*self.address.split(":"))
        self.writers.append(writer)
        writer.write(data)
        return reader

    async def until_closed(self, cause):
        await until(lambda: self.guard.counts[cause] == 1, cause)
        await until(lambda: self.listener.connections_open == 0, "it is closed")
        assert self.guard.held_bytes == 0


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (HEAD + b"Content-Length: 9\r\n\r\nab", b"408"),
        (HEAD + CHUNKED + b"1\r\nx\r\n", b"408"),
        (HEAD + CHUNKED + b"0\r\n" + b"a:\r\n" * 9_000, b"431"),
        (HEAD + CHUNKED + b"oops\r\n", b"400"),
    ],
    ids=["body that stops", "chunks that stop", "long trailers", "malformed chunk"],
)
async def test_a_body_that_does_not_end_is_refused_and_has_not_run(data, status):
    """The handler waited for the body as long as its client stayed connected."""
    async with Surface() as surface:
        reader = await surface.send(data)
        async with asyncio.timeout(10.0):
            answer = await reader.read()
        assert answer.split(b" ")[1] == status
        assert surface.ran == 0
        await until(lambda: surface.listener.connections_open == 0, "it is closed")


async def test_a_client_that_reads_no_answers_is_closed():
    """Its answers stayed in memory; closing alone waits until they are read."""
    async with Surface() as surface:
        large = GET.replace(b"/x", b"/x?9000000")
        await surface.send(large * 50)
        await surface.until_closed("closed_unread")
        assert surface.ran < 50


async def test_an_answer_counts_as_soon_as_its_client_does_not_read_it():
    """It counted from the next sweep on, and without what was sent of it already."""
    async with Surface() as surface:
        await surface.send(GET.replace(b"/x", b"/x?9000000"))
        await until(lambda: surface.guard.held_bytes > 2 * 9_000_000, "it counts", 3.0)


async def test_nothing_is_parsed_behind_a_request_that_waits_for_its_answer():
    """Guards against many requests in memory for one that is not answered yet."""
    async with Surface() as surface:
        surface.answers.clear()
        await surface.send(GET * 100)
        await until(lambda: surface.ran == 1, "the first runs")
        await surface.send(GET)
        await until(lambda: surface.ran == 2, "another connection's runs")
        assert [one._request_count for one in surface.protocols] == [1, 1]
        surface.answers.set()
        await until(lambda: surface.ran == 101, "all have run")


async def test_pipelined_requests_run_one_after_the_other():
    """Guards against a request that is kept back and never given to the parser."""
    async with Surface() as surface:
        post = HEAD + b"Content-Length: 4\r\n\r\n\r\n\r\n"
        chunked = HEAD + CHUNKED + b"4\r\n\r\n\r\n\r\n0\r\n\r\n"
        reader = await surface.send((GET + post + chunked) * 300)
        await until(lambda: surface.ran == 900, "all have run")
        assert (await reader.readexactly(1_000)).count(b"HTTP/1.1 200") > 5
        await until(lambda: not surface.guard._memory.held_bytes > 5_000, "little left")


async def test_connections_above_the_memory_limit_are_closed():
    """Guards against the sum of heads that are each inside the limit."""
    async with Surface(memory_bytes=3_000_000) as surface:
        lines = b"".join(b"%x:\r\n" % number for number in range(2_600))
        for _ in range(8):
            await surface.send(HEAD + lines + b"Content-Length: 9\r\n\r\n")
        await until(lambda: surface.guard.counts["closed_for_memory"] >= 4, "closed")
        assert surface.guard.held_bytes <= 3_000_000


@pytest.mark.parametrize(
    "data",
    [
        GET,
        HEAD + b"Content-Length: 9\r\n\r\nab",
        HEAD + b"a: %s\r\n" % (b"x" * 2 * LIMIT) + b"Content-Length: 9\r\n\r\nab",
        b"GET oops\r\n\r\n" + b"x" * 90_000,
    ],
    ids=["request", "body that stops", "refused before its body", "malformed"],
)
async def test_a_closed_connection_is_freed_without_garbage_collection(data):
    """Its head and what it sent stayed until the cyclic garbage collector ran."""
    async with Surface(grace_s=60.0) as surface:
        gc.disable()
        try:
            await surface.send(b"")
            server = surface.listener._runner.server
            await until(lambda: server.connections, "it is open")
            left = weakref.WeakSet(server.connections)
            surface.writers[0].write(data)
            await until(lambda: server.requests_count == 1, "a request arrives")
            await asyncio.sleep(0.05)
            surface.protocols.clear()
            surface.writers.pop().close()
            await until(lambda: not server.connections, "it is closed")
            await until(lambda: not left, "it is freed", 2.0)
        finally:
            gc.enable()
