"""Run hosts that forward requests, against stand-ins of store and upstreams."""

import asyncio
from contextlib import AsyncExitStack

from burdockmill.clock import MonotonicClock
from burdockmill.forwarding.settings import ForwardingSettings
from burdockmill.forwarding_node import ForwardingNode
from burdockmill.platform.ingress_codec import PlatformIngressCodec
from burdockmill.platform.store_source import StoreSource
from burdockmill.platform.upstream_codec import PlatformUpstreamCodec
from tests.builders_addresses import free_address
from tests.builders_forwarding import REGIONS
from tests.builders_platform import (
    StandinStore,
    StandinUpstream,
    configuration_of,
    entry_of,
    search_route,
    single_route,
)


async def until(holds, what, limit_s=8.0):
    try:
        async with asyncio.timeout(limit_s):
            while not holds():
                await asyncio.sleep(0.01)
    except TimeoutError:
        raise AssertionError(f"not within {limit_s} s: {what}") from None


class Answer:
    """Store a response as a client receives it."""

    def __init__(self, head, body):
        line, *rest = head.decode().rstrip().split("\r\n")
        self.status = int(line.split(" ")[1])
        self.headers = {}
        for one in rest:
            name, _, value = one.partition(": ")
            self.headers[name.lower()] = value
        self.body = body


class Client:
    """Send raw HTTP requests on one keep-alive connection."""

    def __init__(self, address):
        self.address = address
        self.reader = self.writer = None
        self.number = 0

    async def send(self, target, method="GET", body=b"", deadline_ms=1_000, **headers):
        if self.writer is None:
            host, port = self.address.split(":")
            self.reader, self.writer = await asyncio.open_connection(host, port)
        self.number += 1
        lines = [
            f"{method} {target} HTTP/1.1",
            "Host: Leave.example:80",
            f"X-Burdockmill-Request-Id: id-{id(self)}-{self.number}",
            f"X-Burdockmill-Deadline-Ms: {deadline_ms}",
        ]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write("\r\n".join([*lines, "", ""]).encode() + body)

    async def read(self, limit_s=5.0):
        async with asyncio.timeout(limit_s):
            head = await self.reader.readuntil(b"\r\n\r\n")
            answer = Answer(head, b"")
            length = int(answer.headers.get("content-length", 0))
            answer.body = await self.reader.readexactly(length)
            return answer

    async def ask(self, target, **options):
        await self.send(target, **options)
        return await self.read()

    def close(self):
        if self.writer is not None:
            self.writer.close()


async def raw_answer(address, data):
    """Return the answer to a request that may be malformed; None if there is none."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, port)
    writer.write(data)
    try:
        async with asyncio.timeout(5.0):
            head = await reader.readuntil(b"\r\n\r\n")
            answer = Answer(head, b"")
            length = int(answer.headers["content-length"])
            answer.body = await reader.readexactly(length)
    except asyncio.IncompleteReadError:
        return None
    finally:
        writer.close()
    return answer


def raw_request(request_id=b"id-1", host=b"leave.example", headers=b"", method=b"GET"):
    return (
        method + b" /fetch/x HTTP/1.1\r\nHost: " + host + b"\r\n"
        b"X-Burdockmill-Request-Id: " + request_id + b"\r\n"
        b"X-Burdockmill-Deadline-Ms: 1000\r\n" + headers + b"\r\n"
    )


class Site:
    """Run a store, upstreams of three services, and some hosts.

    `changes` are settings of all hosts.
    """

    def __init__(
        self, hosts=1, shards=("a", "b"), single="c", is_empty=False, **changes
    ):
        self.changes = changes
        self.is_empty = is_empty
        self.shards = shards
        self.single = single
        self.store = StandinStore()
        self.upstream_by_service = {}
        self.nodes = []
        self._addresses = [free_address() for _ in range(hosts)]
        self._clients = []
        self._stack = AsyncExitStack()

    async def __aenter__(self):
        await self._stack.enter_async_context(self.store)
        for service in (*self.shards, self.single):
            upstream = StandinUpstream(f"u-{service}", service.encode() * 16)
            await self._stack.enter_async_context(upstream)
            self.upstream_by_service[service] = upstream
            if not self.is_empty:
                self.register(service)
        if not self.is_empty:
            self.publish()
        for address in self._addresses:
            await self.start(address)
        return self

    async def __aexit__(self, *_):
        for client in self._clients:
            client.close()
        await asyncio.gather(*(node.stop() for node in self.nodes if not node.stopping))
        await self._stack.aclose()

    def register(self, service, **changes):
        upstream = self.upstream_by_service[service]
        entry = entry_of(service, upstream.address, **changes)
        self.store.put(f"servers/{upstream.upstream}", entry)

    def publish(self, version=7, routes=None):
        routes = routes or [
            search_route(list(self.shards)),
            single_route(self.single),
            single_route(self.single, name="once", prefix="/once/", type="unsafe"),
        ]
        names = [*self.shards, self.single]
        self.store.put("op/config", configuration_of(routes, names, version))

    async def start(self, address, store_address=None, **changes):
        settings = ForwardingSettings(
            host=address,
            domain="waw-a",
            region="mazowsze",
            ingress_address=free_address(),
            ready_address=free_address(),
            peer_address=address,
            operator_address=free_address(),
            store_address=store_address or self.store.address,
            seeds=tuple(self._addresses),
            region_by_domain=REGIONS,
            repeat_ratio=0.2,
            repeat_allowance=58.0,
            repeat_window_ms=10_000,
            change_limit_ms=3_000,
            stop_grace_ms=2_000,
            balancer_lag_ms=100,
        )._replace(**self.changes, **changes)
        node = ForwardingNode(
            settings,
            StoreSource(settings.store_address),
            PlatformIngressCodec(3.0, lambda: 1_000),
            PlatformUpstreamCodec(),
            clock=MonotonicClock(),
        )
        self.nodes.append(node)
        await node.start()
        return node

    def client(self, node=None):
        node = node or self.nodes[0]
        client = Client(node.settings.ingress_address)
        self._clients.append(client)
        return client

    async def ready(self):
        await until(lambda: all(node.ready for node in self.nodes), "all are ready")
        expected = len(self.upstream_by_service)
        await until(
            lambda: all(
                node.engine.world.catalog.ready_count() >= expected
                for node in self.nodes
            ),
            "all upstreams are registered",
        )
