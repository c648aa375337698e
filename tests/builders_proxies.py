"""Run loopback proxies between hosts as processes and their upstreams."""

import asyncio
import json

from soak.link_proxy import fill_queue, send
from tests.builders_addresses import free_address
from tests.builders_platform_processes import HostProcess
from tests.proxied_host import PROXIES

CHUNK_BYTES = 65_536


class Proxy:
    """Forward the connections of one host to one upstream, until they are cut."""

    def __init__(self, target):
        self.target = target
        self.address = free_address()
        self._server = None
        self._writers = set()
        self._flowing = asyncio.Event()
        self._flowing.set()
        self._sockets = []
        self._tasks = set()

    async def open(self):
        host, port = self.address.split(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def cut(self, how):
        """Cut the link: `hang`, `reset`, or `refuse` new connections alone."""
        self._server.close()
        if how == "hang":
            self._flowing.clear()
            self._sockets += fill_queue(self.address)
        elif how == "reset":
            self._reset()

    async def heal(self):
        for one in self._sockets:
            one.close()
        self._sockets.clear()
        self._flowing.set()
        await self.open()

    async def close(self):
        self._server.close()
        for one in self._sockets:
            one.close()
        self._reset()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _reset(self):
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        host, port = self.target.split(":")
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, upstream_writer}
        ways = [
            asyncio.create_task(self._forward(reader, upstream_writer)),
            asyncio.create_task(self._forward(upstream_reader, writer)),
        ]
        self._tasks.update(ways)
        await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        for one in (writer, upstream_writer):
            one.transport.abort()
            self._writers.discard(one)

    async def _forward(self, reader, writer):
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                await self._flowing.wait()
                await send(writer, chunk)
        except OSError:
            return


class ProxiedHost(HostProcess):
    """Run one host that reaches each upstream through a proxy of its own."""

    module = "tests.proxied_host"

    def __init__(self, number, store, folder, upstreams):
        super().__init__(number, store, folder)
        self.proxies = [Proxy(upstream.address) for upstream in upstreams]
        self.environment = {
            PROXIES: json.dumps({one.target: one.address for one in self.proxies})
        }

    async def start(self, seeds):
        await asyncio.gather(*(proxy.open() for proxy in self.proxies))
        await super().start(seeds)

    async def stop(self):
        await super().stop()
        await asyncio.gather(*(proxy.close() for proxy in self.proxies))

    async def cut(self, how):
        await asyncio.gather(*(proxy.cut(how) for proxy in self.proxies))

    async def heal(self):
        await asyncio.gather(*(proxy.heal() for proxy in self.proxies))
