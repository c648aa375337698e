"""Check hosts as processes that lose their links to all upstreams."""

import asyncio
import itertools
from collections import Counter
from contextlib import AsyncExitStack

import pytest

from tests.builders_crashing_upstreams import Traffic, now_ms
from tests.builders_platform import (
    StandinStore,
    StandinUpstream,
    configuration_of,
    entry_of,
    search_route,
    single_route,
)
from tests.builders_platform_processes import until_status
from tests.builders_proxies import ProxiedHost

pytestmark = pytest.mark.processes

SHARDS = ("a", "b", "d")
DOMAINS = ("waw-a", "krk-a")
HOSTS, CUT_HOSTS = 3, 2
CUT_MS = 4_000.0
# The users' pages allow so much time after the cut began; a request has less.
SETTLED_MS = 1_000.0
# Of first tries at cut hosts, the users' pages allow these to fail.
ALLOWED_FAILURES, ALLOWED_FAILED_FRACTION = 10, 0.02
WORK_S = 0.01


class CutSite:
    """Run a store, two upstreams of each service, and hosts behind proxies."""

    def __init__(self, folder):
        self.store = StandinStore()
        self.upstreams = []
        self.hosts = []
        self._folder = folder
        self._plays = itertools.count()
        self._stack = AsyncExitStack()

    async def __aenter__(self):
        await self._stack.enter_async_context(self.store)
        for service, (number, domain) in itertools.product(
            (*SHARDS, "c"), enumerate(DOMAINS)
        ):
            upstream = StandinUpstream(f"u-{service}-{number}", service.encode() * 16)
            upstream.delay_s = WORK_S
            self.upstreams.append(upstream)
            await self._stack.enter_async_context(upstream)
            entry = entry_of(service, upstream.address, zone=domain)
            self.store.put(f"servers/{upstream.upstream}", entry)
        routes = [
            search_route(list(SHARDS)),
            single_route("c"),
            single_route("c", name="once", prefix="/once/", type="unsafe"),
        ]
        configuration = configuration_of(routes, [*SHARDS, "c"])
        self.store.put("op/config", configuration)
        self.hosts = [
            ProxiedHost(30 + number, self.store, self._folder, self.upstreams)
            for number in range(HOSTS)
        ]
        seeds = [host.peer for host in self.hosts]
        await asyncio.gather(*(host.start(seeds) for host in self.hosts))
        await until_status(
            self.hosts,
            lambda one: (
                len(one["members"]) == HOSTS
                and len(one["upstreams"]) == len(self.upstreams)
            ),
            "all know each other",
        )
        return self

    async def __aexit__(self, *_):
        await asyncio.gather(*(host.stop() for host in self.hosts))
        await self._stack.aclose()

    @property
    def cut_hosts(self):
        return self.hosts[:CUT_HOSTS]

    async def cut(self, how):
        await asyncio.gather(*(host.cut(how) for host in self.cut_hosts))

    async def heal(self):
        await asyncio.gather(*(host.heal() for host in self.cut_hosts))

    async def ask_all(self, for_ms):
        """Send requests of each route to each host; return the traffic by host."""
        end_ms = now_ms() + for_ms
        play = next(self._plays)
        traffic_by_host = {
            host: [
                Traffic([host.ingress], f"{prefix}{play}-{number}-{{}}")
                for prefix in ("/overlap/", "/fetch/", "/once/")
            ]
            for number, host in enumerate(self.hosts)
        }
        await asyncio.gather(
            *(
                one.run(0.03, lambda: end_ms)
                for traffic in traffic_by_host.values()
                for one in traffic
            )
        )
        return traffic_by_host

    def runs_by_target(self):
        """Return how often upstreams got each request that may run once."""
        return Counter(
            request["target"]
            for upstream in self.upstreams
            for request in upstream.requests
            if request["target"].startswith("/once/")
        )


@pytest.fixture
async def site(tmp_path):
    async with CutSite(tmp_path) as started:
        yield started


@pytest.mark.parametrize("how", ["hang", "reset", "refuse"])
async def test_clients_of_hosts_without_upstreams_are_served_by_way_of_others(
    site, how
):
    """Two of three hosts lose their links to all upstreams."""
    await site.ask_all(SETTLED_MS)
    await site.cut(how)
    await site.ask_all(SETTLED_MS)
    traffic_by_host = await site.ask_all(CUT_MS)
    for host in site.hosts:
        statuses = Counter(
            status for one in traffic_by_host[host] for status in one.statuses
        )
        print(f"{how}: {host in site.cut_hosts}, {statuses}")
        failures = statuses.total() - statuses[200]
        allowed = ALLOWED_FAILURES + ALLOWED_FAILED_FRACTION * statuses.total()
        assert failures <= allowed
    assert max(site.runs_by_target().values()) == 1
    await site.heal()
    await site.ask_all(SETTLED_MS)
    await until_status(site.hosts, lambda one: not one["isolated"], "all are connected")
