"""Check that an answer that fails leaves nothing behind in memory."""

import asyncio
import gc
import tracemalloc

import pytest

from burdockmill.forwarding.messages import AttemptEnd
from tests.builders_platform import StandinUpstream
from tests.test_endless_answers import HANG_MS, STREAMS, EndlessWriter
from tests.test_forwarding_client import Caller

ATTEMPTS = 8
# Each of the answers is larger than what all of them together may leave.
LEFT_LIMIT_BYTES = 256 * 1024
BODY_BYTES = 400 * 1024
REQUEST_BYTES = 100 * 1024
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 500000\r\n\r\n"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


async def send(caller):
    """Send a request with a body of its own."""
    body = str(caller.number).encode() * REQUEST_BYTES
    return await caller.send(body=body[:REQUEST_BYTES], left_ms=HANG_MS)


def forgetful(script):
    """Return a script whose stand-in does not keep the bodies of requests."""

    async def forget(upstream, request, writer):
        request["body"] = b""
        return await script(upstream, request, writer)

    return forget


async def cut(upstream, request, writer):
    """Send most of a body, then close the connection."""
    writer.write(HEAD + b"b" * BODY_BYTES)
    await writer.drain()
    writer.close()
    return True


async def malformed(upstream, request, writer):
    """Send a chunk, then one whose size is no number."""
    writer.write(CHUNKED + b"%x\r\n" % BODY_BYTES + b"b" * BODY_BYTES + b"\r\nx\r\n")
    await writer.drain()
    return True


def endless(name):
    # One block for all attempts, which the stand-in keeps.
    stream = EndlessWriter(*STREAMS[name])

    async def script(upstream, request, writer):
        stream.sent = 0
        return await stream.script(upstream, request, writer)

    return script


async def traced_bytes():
    """Return what is allocated once the tasks that have ended are freed."""
    await asyncio.sleep(0.05)
    return tracemalloc.get_traced_memory()[0]


# Guards against failed answers whose bytes stay until the garbage collector comes.
@pytest.mark.parametrize(
    "script",
    [
        cut,
        malformed,
        *(
            pytest.param(endless(name), id=name)
            for name in ("body_without_a_length", "chunks", "chunk", "headers")
        ),
    ],
)
async def test_a_failed_answer_is_freed_at_once(script):
    async with StandinUpstream("u-1") as upstream:
        upstream.script = forgetful(script)
        caller = Caller(upstream)
        # What is made once, such as a log line's objects, does not count.
        await send(caller)
        gc.collect()
        gc.disable()
        tracemalloc.start()
        try:
            before_bytes = await traced_bytes()
            ends = {(await send(caller)).end for _ in range(ATTEMPTS)}
            left_bytes = await traced_bytes() - before_bytes
        finally:
            tracemalloc.stop()
            gc.enable()
            await caller.client.close()
        assert AttemptEnd.ANSWERED not in ends
        assert left_bytes < LEFT_LIMIT_BYTES


async def test_a_cancelled_answer_is_freed_at_once():
    async def stalled(upstream, request, writer):
        writer.write(HEAD + b"b" * BODY_BYTES)
        await asyncio.sleep(HANG_MS)
        return True

    async with StandinUpstream("u-1") as upstream:
        upstream.script = forgetful(stalled)
        caller = Caller(upstream)

        async def cancel_one():
            sending = asyncio.create_task(send(caller))
            await asyncio.sleep(0.2)
            caller.sending.cancel()
            return (await sending).end

        await cancel_one()
        gc.collect()
        gc.disable()
        tracemalloc.start()
        try:
            before_bytes = await traced_bytes()
            ends = {await cancel_one() for _ in range(ATTEMPTS)}
            left_bytes = await traced_bytes() - before_bytes
        finally:
            tracemalloc.stop()
            gc.enable()
            await caller.client.close()
        assert ends == {AttemptEnd.SILENT}
        assert left_bytes < LEFT_LIMIT_BYTES
