import asyncio
import socket

import msgspec
import pytest_asyncio

from burdockmill.clients.upstream_client import UpstreamClient
from burdockmill.clock import MonotonicClock
from burdockmill.errors import Ran
from burdockmill.messages.actions import ClosePool, ReadHealth
from burdockmill.messages.events import UpstreamAnswered
from burdockmill.messages.peer import Reason
from burdockmill.standins.record_set import RecordSet
from burdockmill.standins.upstream import StandinUpstream
from tests.builders_limits import make_rule_set, make_upstream
from tests.builders_wire import make_send

QUERY = msgspec.Raw(b"{}")
SNAPSHOT = max(RecordSet.of_leave_requests(10).snapshots)


class PoolBench:
    """Run an upstream client against one stand-in upstream."""

    def __init__(self, share=0.5):
        self.events = asyncio.Queue()
        self.client = UpstreamClient(self.events.put_nowait, MonotonicClock(), share)
        self.upstream = StandinUpstream("u1", RecordSet.of_leave_requests(10), slots=50)
        self.revision = 0
        self.attempt = 0

    def configure(self, **changes):
        self.revision += 1
        rule = make_upstream("u1", **changes)._replace(address=self.upstream.address)
        self.client.apply_rules(make_rule_set(rule, revision=self.revision))

    async def health(self):
        self.client.read_health(ReadHealth("u1", self.upstream.address))
        return await self.events.get()

    def send(self):
        self.attempt += 1
        send = make_send(
            self.upstream.address, attempt=self.attempt, body=QUERY, snapshot=SNAPSHOT
        )
        self.client.send(send)

    async def exchange(self, count):
        for _ in range(count):
            self.send()
        for _ in range(count):
            assert isinstance(await self.events.get(), UpstreamAnswered)

    @property
    def connector(self):
        return self.client._pool_by_upstream["u1"].connector

    async def until(self, condition):
        async with asyncio.timeout(10):
            while not condition():
                await asyncio.sleep(0)


@pytest_asyncio.fixture
async def bench():
    bench = PoolBench()
    async with bench.upstream:
        yield bench
        await bench.client.close()


async def test_owner_keeps_one_warm_connection_per_slot_and_two_spare(bench):
    bench.configure(slots=3)
    await bench.health()
    await bench.until(lambda: bench.upstream.connections.open == 5)
    await bench.exchange(5)
    await bench.health()
    assert bench.client.connections_opened == 5


def expire_idle(connector):
    for entries in connector._conns.values():
        for index, (protocol, used_s) in enumerate(entries):
            entries[index] = (protocol, used_s - 100.0)
    connector._cleanup()


async def test_connections_outlive_the_keep_alive_timeout_at_their_owner_only(bench):
    bench.configure(slots=2)
    await bench.health()
    await bench.until(lambda: bench.upstream.connections.open == 4)
    expire_idle(bench.connector)
    assert bench.connector.open_count == 4
    bench.client.close_pool(ClosePool("u1"))
    await bench.exchange(3)
    assert bench.connector.open_count == 3
    expire_idle(bench.connector)
    assert bench.connector.open_count == 0


async def test_pools_of_two_hosts_stay_within_their_shares_and_the_limit(bench):
    bench.configure(connections=5)
    other = UpstreamClient(bench.events.put_nowait, MonotonicClock(), 0.5)
    rule = make_upstream("u1", connections=5)._replace(address=bench.upstream.address)
    other.apply_rules(make_rule_set(rule))
    for index in range(20):
        send = make_send(
            bench.upstream.address,
            attempt=100 + index,
            body=QUERY,
            snapshot=SNAPSHOT,
        )
        other.send(send)
        bench.send()
    for _ in range(40):
        assert isinstance(await bench.events.get(), UpstreamAnswered)
    assert bench.upstream.connections.peak_open == 4
    await other.close()


async def test_six_hosts_that_all_claim_ownership_stay_within_the_limit(bench):
    bench.configure(connections=25)
    rule = make_upstream("u1")._replace(address=bench.upstream.address)
    emit = bench.events.put_nowait
    hosts = [UpstreamClient(emit, MonotonicClock(), 0.5) for _ in range(6)]
    for index in range(120):
        host = hosts[index % len(hosts)]
        host.apply_rules(make_rule_set(rule))
        send = make_send(
            bench.upstream.address, attempt=index, body=QUERY, snapshot=SNAPSHOT
        )
        host.send(send)
    for _ in range(120):
        assert isinstance(await bench.events.get(), UpstreamAnswered)
    assert bench.upstream.connections.peak_open == 24
    for host in hosts:
        await host.close()


async def test_smaller_limit_closes_excess_connections_and_keeps_the_pool(bench):
    bench.configure(connections=12, slots=10)
    await bench.exchange(6)
    assert bench.connector.open_count == 6
    bench.configure(connections=4, slots=10)
    assert bench.connector.open_count == 2
    await bench.exchange(6)
    assert bench.connector.open_count == 2
    assert bench.client.connections_opened == 6


async def test_closed_pool_closes_connections_in_use_once_they_are_idle(bench):
    bench.configure()
    await bench.health()
    bench.upstream.service_ms = lambda row: 20.0
    bench.send()
    await bench.until(lambda: bench.upstream.log)
    bench.client.close_pool(ClosePool("u1"))
    await bench.events.get()
    await bench.until(lambda: bench.connector.open_count == 0)


async def test_pool_of_a_removed_upstream_closes_and_older_rules_change_nothing(bench):
    bench.configure()
    await bench.exchange(2)
    old = bench.connector
    bench.client.apply_rules(make_rule_set(make_upstream("u2"), revision=9))
    await bench.until(lambda: old.closed)
    assert "u1" not in bench.client._pool_by_upstream
    bench.client.apply_rules(make_rule_set(make_upstream("u1"), revision=8))
    bench.send()
    failed = await bench.events.get()
    assert (failed.reason, failed.ran) == (Reason.UNKNOWN_UPSTREAM, Ran.NO)


async def test_connecting_backs_off_after_a_refused_connection():
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{listener.getsockname()[1]}"
    events = asyncio.Queue()
    client = UpstreamClient(events.put_nowait, MonotonicClock(), 0.5)
    rule = make_upstream("u1")._replace(address=address)
    client.apply_rules(make_rule_set(rule))
    for attempt in (1, 2):
        client.send(make_send(address, attempt=attempt))
        failed = await events.get()
        assert (failed.reason, failed.ran) == (Reason.CONNECT_FAILED, Ran.NO)
    assert client.counts["connect_refused"] == 1
    assert client.counts["connect_backed_off"] == 1
    await client.close()
