"""Check crowds that mix, stay, return, or hold what a host passes on and waits for."""

import asyncio
import signal
from collections import deque
from contextlib import AsyncExitStack

import pytest

from tests.builders_client_limits import (
    CLIENTS,
    TRICKLES,
    Crowd,
    SmallHost,
    peaks_of,
)
from tests.builders_forwarding_node import Client, raw_answer
from tests.builders_platform import (
    StandinStore,
    StandinUpstream,
    configuration_of,
    entry_of,
    search_route,
    single_route,
)
from tests.builders_processes import CALLER_KEY, HOSTS, SERVICE, ProcessFleet
from tests.test_client_limits_processes import ANSWER_LIMIT_S, CROWD_S

pytestmark = pytest.mark.processes

MEMORY_MB = 100
SHARDS = tuple(f"s{number}" for number in range(8))
SURFACES = ("ingress", "ready", "peer", "operator")
DESCRIPTORS = 256
# What the connections of `burdockmill serve` may hold by default, and the process.
SERVE_MEMORY_MB = 64 + 100
READY = b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"
STATUS = b"GET /v1/status HTTP/1.1\r\nHost: x\r\n\r\n"
EXPLAIN = b"GET /peer/v1/explain/x HTTP/1.1\r\nHost: x\r\n\r\n"


class Site:
    """Run one host with upstreams of a single service and of eight shards."""

    def __init__(self, folder, memory_mb=MEMORY_MB, descriptors=4_096):
        self.store = StandinStore()
        self.upstreams = [StandinUpstream(f"u-{one}") for one in ("c", *SHARDS)]
        self.host = SmallHost(1, self.store, folder, memory_mb, descriptors)
        self._stack = AsyncExitStack()

    async def __aenter__(self):
        await self._stack.enter_async_context(self.store)
        services = ["c", *SHARDS]
        for service, upstream in zip(services, self.upstreams, strict=True):
            await self._stack.enter_async_context(upstream)
            upstream.requests = deque(maxlen=1)
            entry = entry_of(service, upstream.address, slots=50)
            self.store.put(f"servers/{upstream.upstream}", entry)
        routes = [single_route("c"), search_route(list(SHARDS))]
        self.store.put("op/config", configuration_of(routes, services))
        self._stack.push_async_callback(self.host.stop)
        await self.host.start([self.host.peer])
        return self

    async def __aexit__(self, *_):
        await self._stack.aclose()

    async def peaks_under(self, *crowds, reads=True):
        """Return the peaks while crowds, each a surface, a client and a size, send."""
        async with AsyncExitStack() as stack:
            for surface, client, size in crowds:
                address = getattr(self.host, surface)
                await stack.enter_async_context(Crowd(address, client, size, reads))
            return await self.peaks()

    async def peaks(self):
        pid = self.host.process.pid
        seen = await peaks_of(pid, CROWD_S, self.host.memory_mb)
        print(f"{seen[0]:.0f} MB, {seen[1]} descriptors")
        return seen

    def check(self, seen):
        assert self.host.process.returncode is None
        assert seen[0] <= self.host.memory_mb
        assert seen[1] <= self.host.descriptors

    async def answer(self):
        """Send one ordinary request; return the status of its answer."""
        client = self.host.client()
        async with asyncio.timeout(ANSWER_LIMIT_S):
            await client.send("/fetch/ordinary", deadline_ms=15_000)
            return (await client.read(ANSWER_LIMIT_S)).status

    async def check_after(self, *crowds, reads=True):
        """Check the process under crowds, and one ordinary request afterwards."""
        self.check(await self.peaks_under(*crowds, reads=reads))
        for upstream in self.upstreams:
            upstream.delay_s = 0.0
            upstream.body = b"body"
        assert await self.answer() == 200


@pytest.mark.parametrize("surface", SURFACES)
@pytest.mark.parametrize(
    "client", ["upgrades", "tunnels", "compressed bodies", "many small messages"]
)
async def test_a_crowd_whose_bodies_are_not_plain(tmp_path, surface, client):
    async with Site(tmp_path) as site:
        await site.check_after((surface, client, 24))


@pytest.mark.parametrize("surface", ["ingress", "peer"])
@pytest.mark.parametrize(
    "client",
    [
        "odd lines",
        "short and odd lines",
        "heads over the limit",
        "far too large heads",
        "a line without end",
        "a path without end",
    ],
)
async def test_a_crowd_that_sends_odd_or_large_heads(tmp_path, surface, client):
    async with Site(tmp_path) as site:
        await site.check_after((surface, client, 24))


@pytest.mark.parametrize("client", ["whole heads", "whole searches"])
async def test_a_crowd_whose_requests_are_copied_for_slow_upstreams(tmp_path, client):
    """Each attempt has the headers of its request once more."""
    async with Site(tmp_path) as site:
        for upstream in site.upstreams:
            upstream.delay_s = 0.5
        await site.check_after(("ingress", client, 120))


@pytest.mark.parametrize("client", ["one-byte chunks", "unfinished bodies"])
async def test_a_crowd_of_many_connections(tmp_path, client):
    async with Site(tmp_path) as site:
        await site.check_after(("ingress", client, 600))


async def test_a_crowd_that_reads_no_large_answers(tmp_path):
    async with Site(tmp_path) as site:
        for upstream in site.upstreams:
            upstream.body = b"x" * 500_000
        await site.check_after(("ingress", "plain requests", 200), reads=False)


@pytest.mark.parametrize("surface", SURFACES)
@pytest.mark.parametrize(
    "client", ["silent", "one byte", "one empty line", "answered", "begun body"]
)
async def test_a_crowd_that_waits_leaves_descriptors_to_others(
    tmp_path, surface, client
):
    """An ordinary request is answered, and the host is ready, while it stays."""
    async with Site(tmp_path, descriptors=DESCRIPTORS) as site:
        async with Crowd(getattr(site.host, surface), client, 600):
            seen = await site.peaks()
            assert await site.answer() == 200
            assert (await raw_answer(site.host.ready, READY)).status == 200
            assert (await raw_answer(site.host.operator, STATUS)).status == 200
            assert (await raw_answer(site.host.peer, EXPLAIN)).status == 200
        site.check(seen)


@pytest.mark.parametrize("surface", SURFACES)
@pytest.mark.parametrize("client", sorted(TRICKLES))
async def test_a_crowd_that_trickles_leaves_descriptors_to_others(
    tmp_path, surface, client
):
    """An ordinary request is answered while it stays."""
    async with Site(tmp_path, descriptors=DESCRIPTORS) as site:
        async with Crowd(getattr(site.host, surface), client, 600):
            seen = await site.peaks()
            assert await site.answer() == 200
        site.check(seen)


async def test_crowds_that_wait_at_all_surfaces(tmp_path):
    async with Site(tmp_path, descriptors=DESCRIPTORS) as site:
        async with AsyncExitStack() as stack:
            for surface in SURFACES:
                crowd = Crowd(getattr(site.host, surface), "silent", 300)
                await stack.enter_async_context(crowd)
            seen = await site.peaks()
            assert await site.answer() == 200
        site.check(seen)


async def test_crowds_of_all_kinds_at_all_surfaces(tmp_path):
    async with Site(tmp_path) as site:
        crowds = [
            (surface, client, 2) for client in sorted(CLIENTS) for surface in SURFACES
        ]
        await site.check_after(*crowds)


async def test_one_crowd_after_another(tmp_path):
    async with Site(tmp_path) as site:
        for client in ("slow bodies", "one-byte chunks", "whole heads") * 2:
            await site.check_after(("ingress", client, 120))


@pytest.mark.parametrize("client", ["pipelined heads", "one-byte chunks", "silent"])
async def test_a_crowd_during_a_reload_and_a_planned_stop(tmp_path, client):
    async with Site(tmp_path) as site:
        process = site.host.process
        async with Crowd(site.host.ingress, client, 60):
            await asyncio.sleep(1.0)
            process.send_signal(signal.SIGHUP)
            site.check(await site.peaks())
            process.send_signal(signal.SIGTERM)
            async with asyncio.timeout(ANSWER_LIMIT_S):
                assert await process.wait() == 0
        assert site.host.logged("has stopped")


@pytest.mark.parametrize("client", ["pipelined heads", "one-byte chunks", "silent"])
async def test_a_crowd_during_a_start(tmp_path, client):
    async with Site(tmp_path) as site:
        await site.host.stop()
        site.host.lines.clear()
        async with Crowd(site.host.ingress, client, 60, returns=True):
            await site.host.start([site.host.peer])
            site.check(await site.peaks())
        assert await site.answer() == 200


async def test_a_crowd_that_waits_within_the_limit_of_the_process(tmp_path):
    """The settings state more descriptors than the process may open."""
    async with Site(tmp_path) as site:
        await site.host.stop()
        site.host.lines.clear()
        site.host.process_limit = DESCRIPTORS
        await site.host.start([site.host.peer])
        async with Crowd(site.host.ingress, "silent", 600):
            seen = await site.peaks()
            assert await site.answer() == 200
        assert seen[1] < DESCRIPTORS


class Fleet(ProcessFleet):
    """Run a host of the project's own protocol in each failure domain."""

    def __init__(self, folder, **settings):
        super().__init__(folder, HOSTS[::2], **settings)

    async def check_answer(self, host):
        client = Client(host.caller)
        key = self.records.records_at(2)[0]["key"]
        caller = {"Authorization": f"Bearer {CALLER_KEY}"}
        async with asyncio.timeout(ANSWER_LIMIT_S):
            await client.send(f"/v1/services/{SERVICE}/records/{key}", **caller)
            assert (await client.read(ANSWER_LIMIT_S)).status == 200
        client.close()


@pytest.mark.parametrize("surface", ["caller", "peer", "operator"])
@pytest.mark.parametrize("client", ["trailers", "one-byte chunks", "empty lines"])
async def test_a_crowd_at_a_host_of_the_own_protocol(tmp_path, surface, client):
    async with Fleet(tmp_path) as fleet:
        host = fleet.hosts[0]
        async with Crowd(host.settings[f"{surface}_address"], client, 60):
            seen = await peaks_of(host.process.pid, CROWD_S, SERVE_MEMORY_MB)
        print(f"{seen[0]:.0f} MB, {seen[1]} descriptors")
        assert host.process.returncode is None
        assert seen[0] <= SERVE_MEMORY_MB
        await fleet.check_answer(host)


@pytest.mark.parametrize("surface", ["caller", "peer", "operator"])
async def test_a_crowd_that_waits_at_a_host_of_the_own_protocol(tmp_path, surface):
    async with Fleet(tmp_path, connections_limit=80) as fleet:
        host = fleet.hosts[0]
        async with Crowd(host.settings[f"{surface}_address"], "silent", 120):
            await asyncio.sleep(1.0)
            await fleet.check_answer(host)
            assert (await fleet.status_of(host))["state"] == "ready"
        assert host.process.returncode is None
