"""Start a small fleet with its stand-ins on loopback sockets."""

from __future__ import annotations

import asyncio
import hashlib
from typing import TYPE_CHECKING

from burdockmill.messages.platform import ListedHost
from burdockmill.node import Node
from burdockmill.settings import Settings
from burdockmill.slots import SLOT_COUNT, SlotRange
from burdockmill.standins.platform import StandinPlatform
from burdockmill.standins.record_set import RecordSet
from burdockmill.standins.upstream import StandinUpstream

if TYPE_CHECKING:
    from burdockmill.names import Address, DomainId, HostId, UpstreamId

DOMAINS = ("waw-a", "krk-a", "gda-a")
SERVICE = "leave-search"
SHARD_COUNT = 12
CALLER_KEY = "demo-key-of-the-leave-desk"
PEER_KEY = "demo-key-between-hosts"
ANY_PORT = "127.0.0.1:0"
POLL_SECONDS = 0.01
READY_TIMEOUT_SECONDS = 20.0


class DemoFleet:
    """Run three failure domains, each with one host and its upstreams."""

    def __init__(self, records: int, seed: int) -> None:
        self.records = RecordSet.of_leave_requests(records, seed=seed)
        self.platform = StandinPlatform()
        self.upstream_by_id: dict[UpstreamId, StandinUpstream] = {}
        self.node_by_host: dict[HostId, Node] = {}

    async def start(self) -> None:
        """Start the fleet and wait until every host has each replica's snapshots."""
        await self.platform.start()
        await self._start_upstreams()
        self.platform.publish(self._rules_text(), 1)
        self.platform.set_hosts([])
        for domain in DOMAINS:
            await self._start_node(domain)
        self.platform.set_hosts([self._listed(n) for n in self.node_by_host.values()])
        async with asyncio.timeout(READY_TIMEOUT_SECONDS):
            while not all(map(self._has_full_state, self.node_by_host.values())):
                await asyncio.sleep(POLL_SECONDS)

    async def stop(self) -> None:
        """Stop everything that still runs."""
        await asyncio.gather(*(node.stop() for node in self.node_by_host.values()))
        await asyncio.gather(*(one.stop() for one in self.upstream_by_id.values()))
        await self.platform.stop()

    async def stop_upstream(self, upstream: UpstreamId) -> None:
        """Stop one replica abruptly."""
        await self.upstream_by_id.pop(upstream).stop()

    async def stop_domain(self, domain: DomainId) -> None:
        """Stop a failure domain's upstreams, then its host."""
        for name in list(self.upstream_by_id):
            if name.endswith(domain):
                await self.stop_upstream(name)
        await self.node_by_host.pop(host_of(domain)).stop()

    def caller_address(self, domain: DomainId) -> Address:
        """Return the caller address of a failure domain's host."""
        return self.node_by_host[host_of(domain)].caller_address

    async def _start_upstreams(self) -> None:
        for shard in range(SHARD_COUNT):
            overlay: dict = {}
            for domain in DOMAINS:
                name = upstream_of(shard, domain)
                upstream = StandinUpstream(
                    name,
                    self.records,
                    holdings=(slots_of(shard),),
                    connect_ms=6,
                    overlay=overlay,
                )
                await upstream.start()
                self.upstream_by_id[name] = upstream

    async def _start_node(self, domain: DomainId) -> None:
        settings = Settings(
            host=host_of(domain),
            domain=domain,
            region=domain.partition("-")[0],
            caller_address=ANY_PORT,
            peer_address=ANY_PORT,
            operator_address=ANY_PORT,
            platform_addresses=(self.platform.address,),
            seeds=(),
            peer_key=PEER_KEY,
            balancer_lag_ms=0,
            start_spread_ms=0,
        )
        node = Node(settings)
        await node.start()
        self.node_by_host[settings.host] = node

    def _listed(self, node: Node) -> ListedHost:
        return ListedHost(
            host=node.settings.host,
            domain=node.settings.domain,
            region=node.settings.region,
            peer_address=node.peer_address,
            leaving=False,
        )

    def _has_full_state(self, node: Node) -> bool:
        world = node.engine.world
        rows = world.upstream_by_id.values()
        has_all_members = len(world.member_by_host) == len(DOMAINS)
        return has_all_members and bool(rows) and all(row.snapshots for row in rows)

    def _rules_text(self) -> str:
        comment = "# Leave desk, 2026-12: search over every leave request"
        digest = hashlib.sha256(CALLER_KEY.encode()).hexdigest()
        lines = [
            f"service {SERVICE} completion=coverage deadline=2000ms {comment}",
            f"caller leave-desk key=sha256:{digest} {comment}",
            f"allow leave-desk service={SERVICE} kinds=search,fetch,action {comment}",
        ]
        for name, upstream in self.upstream_by_id.items():
            domain = name.split("-", 2)[2]
            lines.append(
                f"upstream {name} domain={domain} address={upstream.address}"
                f" slots=2 connections=25 connect=6ms {comment}"
            )
        for shard in range(SHARD_COUNT):
            first, last = slots_of(shard)
            replicas = ",".join(upstream_of(shard, domain) for domain in DOMAINS)
            lines.append(
                f"shard leave-{shard} service={SERVICE} slots={first}-{last}"
                f" replicas={replicas} {comment}"
            )
        return "\n".join(lines) + "\n"


def host_of(domain: DomainId) -> HostId:
    """Return the name of a failure domain's host."""
    return f"entry-{domain}"


def upstream_of(shard: int, domain: DomainId) -> UpstreamId:
    """Return the name of a shard's replica in a failure domain."""
    return f"leave-{shard:02}-{domain}"


def slots_of(shard: int) -> SlotRange:
    """Return the slots of a shard."""
    first = shard * SLOT_COUNT // SHARD_COUNT
    return SlotRange(first, (shard + 1) * SLOT_COUNT // SHARD_COUNT - 1)
