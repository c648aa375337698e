import asyncio
import tracemalloc

import uvloop
from aiohttp import web

from burdockmill.surfaces._bounded_server import ServerBounds
from burdockmill.surfaces.listener import Listener

BODY_BYTES = 8 * 1024 * 1024
GET = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
HEAD = b"HEAD / HTTP/1.1\r\nHost: x\r\n\r\n"


async def answer(request):
    return web.Response(body=b"x" * BODY_BYTES, headers={"X-Field": "value"})


async def with_listener(check):
    app = web.Application()
    app.router.add_get("/", answer)
    listener = Listener(app, ServerBounds(100, lambda kind: None))
    host, port = (await listener.open("127.0.0.1:0")).split(":")
    reader, writer = await asyncio.open_connection(host, port)
    try:
        return await check(reader, writer)
    finally:
        writer.close()
        await listener.close()


def run(check):
    """Run a check on the loop that hosts use."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(with_listener(check))


# Guards against an answer that is held twice while its client does not read it.
def test_a_large_answer_that_waits_for_its_client_is_held_once():
    async def held_bytes(reader, writer):
        tracemalloc.start()
        try:
            writer.write(GET)
            await asyncio.sleep(0.3)
            return tracemalloc.get_traced_memory()[0]
        finally:
            tracemalloc.stop()

    assert BODY_BYTES / 2 < run(held_bytes) < 1.25 * BODY_BYTES


def test_a_large_answer_arrives_whole_and_the_connection_goes_on():
    async def read(reader, writer):
        heads = []
        for request, size in ((GET, BODY_BYTES), (HEAD, 0), (GET, BODY_BYTES)):
            writer.write(request)
            heads.append(await reader.readuntil(b"\r\n\r\n"))
            assert await reader.readexactly(size) == b"x" * size
        return heads

    first, *others = run(read)
    assert first.startswith(b"HTTP/1.1 200 OK\r\n")
    assert b"Content-Length: %d\r\n" % BODY_BYTES in first
    assert all(head.splitlines()[:2] == first.splitlines()[:2] for head in others)
    assert all(b"X-Field: value" in head for head in others)


def test_a_client_that_leaves_during_a_large_answer_is_no_error(caplog):
    async def leave(reader, writer):
        writer.write(GET * 4)
        await reader.readexactly(1)
        writer.transport.abort()
        await asyncio.sleep(0.2)

    run(leave)
    assert not caplog.records
