"""Check hosts of the users' platform as processes, against stand-ins of its systems."""

import asyncio
import json

import pytest

from tests.builders_platform import (
    StandinStore,
    StandinUpstream,
    configuration_of,
    entry_of,
    single_route,
)
from tests.builders_platform_processes import HostProcess, until_status

pytestmark = pytest.mark.processes


class Deployment:
    """Run a store, two upstreams of one service, and some host processes."""

    def __init__(self, folder, hosts):
        self.store = StandinStore()
        self.upstreams = [StandinUpstream(f"u-{number}") for number in (1, 2)]
        self._folder = folder
        self._count = hosts
        self.hosts = []

    async def __aenter__(self):
        await self.store.__aenter__()
        for upstream in self.upstreams:
            await upstream.__aenter__()
            self.register(upstream)
        self.publish(7)
        self.hosts = [
            HostProcess(number + 1, self.store, self._folder)
            for number in range(self._count)
        ]
        seeds = [host.peer for host in self.hosts]
        try:
            for host in self.hosts:
                await host.start(seeds)
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_):
        for host in self.hosts:
            await host.stop()
        for upstream in self.upstreams:
            await upstream.__aexit__()
        await self.store.__aexit__()

    def register(self, upstream, **changes):
        entry = entry_of("c", upstream.address, **changes)
        self.store.put(f"servers/{upstream.upstream}", entry)

    def publish(self, version):
        routes = [single_route("c", **{"timeout-ms": 1_000 + version})]
        self.store.put("op/config", configuration_of(routes, ["c"], version))


@pytest.fixture
async def deployment(tmp_path):
    async with Deployment(tmp_path, hosts=3) as started:
        yield started


async def test_hosts_follow_a_store_that_restarts_from_a_copy(deployment):
    """One host is paused meanwhile and resumes with its old view."""
    store, hosts = deployment.store, deployment.hosts
    store.era = 1
    deployment.publish(8)
    await until_status(hosts, lambda one: one["configuration"] == 8, "version 8")
    copied = store.copy()
    deployment.publish(9)
    deployment.register(deployment.upstreams[1], version="v2")
    await until_status(hosts, lambda one: one["configuration"] == 9, "version 9")
    hosts[2].pause()
    store.restart_from(copied)
    store.remove("servers/u-2")
    await until_status(
        hosts[:2], lambda one: one["store_era"] == 2, "the new era is active", 5.0
    )
    hosts[2].resume()
    await until_status(
        hosts,
        lambda one: (
            (one["store_era"], one["catalog_revision"]) == (2, store.revision)
            and [each["upstream"] for each in one["upstreams"]] == ["u-1"]
        ),
        "all hosts are in the new era, without the removed upstream",
    )
    versions = [(await host.status())["configuration"] for host in hosts]
    assert versions == [9, 9, 9]
    deployment.publish(10)
    await until_status(hosts, lambda one: one["configuration"] == 10, "version 10")
    # The configuration of no host ever went back.
    for host in hosts:
        seen = [line["configuration"] for line in host.lines if "configuration" in line]
        assert seen == sorted(seen)


async def test_a_process_obeys_a_pause_and_a_leaving_upstream(deployment):
    host = deployment.hosts[0]
    first, second = deployment.upstreams

    async def reject(self, request, writer):
        extra = "X-Burdockmill-Not-Executed: 1\r\nRetry-After: 1.5\r\n"
        writer.write(self.answer(request, b"", "503 Busy", extra))

    async def leave(self, request, writer):
        writer.write(self.answer(request, extra="Server-Leaving: 1\r\n"))

    first.script, second.script = reject, reject
    client = host.client()
    answer = await client.ask("/fetch/x", deadline_ms=4_000)
    assert answer.status == 503
    assert json.loads(answer.body)["ran"] == "no"
    arrived = len(first.requests) + len(second.requests)
    assert arrived == 2
    answer = await client.ask("/fetch/x", deadline_ms=4_000)
    assert answer.status == 503
    assert 0.5 < float(answer.headers["retry-after"]) <= 1.65
    assert len(first.requests) + len(second.requests) == arrived
    first.script, second.script = leave, None
    second.delay_s = 0.2
    await asyncio.sleep(1.7)
    for _ in range(20):
        assert (await client.ask("/fetch/x", deadline_ms=4_000)).status == 200
        if host.logged("no new attempts to u-1 (it is leaving)"):
            break
    assert host.logged("no new attempts to u-1 (it is leaving)")
    arrived = len(first.requests)
    for _ in range(6):
        assert (await client.ask("/fetch/x", deadline_ms=4_000)).status == 200
    assert len(first.requests) == arrived
    status = await host.status()
    leaving = {one["upstream"]: one["leaving"] for one in status["upstreams"]}
    assert leaving == {"u-1": True, "u-2": False}
