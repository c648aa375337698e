"""Check that the proxies of the soak and the tests see the end of a connection."""

import asyncio
import logging
from contextlib import suppress

import pytest

from soak.link_proxy import LinkProxy
from tests.builders_addresses import free_address
from tests.builders_proxies import Proxy

# The loop's message about writes to a connection that was lost.
LOST_WRITE = "socket.send() raised exception."
BODY = b"x" * 65_536


class Endless:
    """Write to each connection until it ends."""

    def __init__(self):
        self.connections = 0
        self.ended = 0

    async def serve(self, _, writer):
        self.connections += 1
        try:
            while True:
                writer.write(BODY)
                await writer.drain()
        except OSError:
            self.ended += 1
        finally:
            writer.close()


@pytest.fixture
async def endless():
    started = Endless()
    server = await asyncio.start_server(started.serve, "127.0.0.1", 0)
    started.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    yield started
    server.close()


async def leave_early(address, endless, caplog):
    """Read a little of an endless answer, then reset; return the loop's messages."""
    host, port = address.split(":")
    with caplog.at_level(logging.WARNING, "asyncio"):
        reader, writer = await asyncio.open_connection(host, port)
        await reader.readexactly(64)
        writer.transport.abort()
        await asyncio.sleep(0.5)
    assert endless.connections == 1
    return [one for one in caplog.messages if one == LOST_WRITE]


@pytest.mark.parametrize("how", ["", "trickle", "slow"])
async def test_a_link_ends_when_the_reader_of_an_answer_is_gone(endless, how, caplog):
    """The log of a soak held thousands of lines about lost writes."""
    proxy = LinkProxy(free_address(), endless.address)
    await proxy.open()
    await proxy.harm(how)
    messages = await leave_early(proxy.address, endless, caplog)
    assert endless.ended == 1
    assert messages == []
    await proxy.close()


@pytest.mark.parametrize(("how", "ended"), [("cut", 1), ("refuse", 0)])
async def test_a_link_that_refuses_connections_ends_open_ones_only_if_cut(
    endless, how, ended
):
    proxy = LinkProxy(free_address(), endless.address)
    await proxy.open()
    host, port = proxy.address.split(":")
    reader, writer = await asyncio.open_connection(host, port)
    await reader.readexactly(64)
    await proxy.harm(how)
    with pytest.raises(ConnectionRefusedError):
        await asyncio.open_connection(host, port)
    if ended:
        async with asyncio.timeout(2.0):
            with suppress(ConnectionResetError):
                await reader.read()
    else:
        await reader.readexactly(len(BODY))
    # Faults that overlap end one after the other.
    await asyncio.gather(proxy.heal(), proxy.harm("hang"), proxy.heal())
    _, again = await asyncio.open_connection(host, port)
    again.close()
    writer.close()
    await proxy.close()


async def test_a_proxy_ends_when_the_reader_of_an_answer_is_gone(endless, caplog):
    proxy = Proxy(endless.address)
    await proxy.open()
    messages = await leave_early(proxy.address, endless, caplog)
    assert endless.ended == 1
    assert messages == []
    await proxy.close()
