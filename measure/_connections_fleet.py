"""Run nine hosts over real sockets against upstreams that count connections."""

from __future__ import annotations

import asyncio
import hashlib
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

import msgspec

from burdockmill.clients.upstream_client import UpstreamClient
from burdockmill.clock import MonotonicClock
from burdockmill.errors import BurdockmillError
from burdockmill.messages.actions import SearchAnswer, SendToUpstream
from burdockmill.messages.events import (
    RequestReceived,
    UpstreamAnswered,
    UpstreamFailed,
    UpstreamRefused,
)
from burdockmill.messages.platform import ListedHost
from burdockmill.node import Node
from burdockmill.rules.model import RequestKind, UpstreamRule
from burdockmill.settings import Settings
from burdockmill.slots import FULL_RANGE
from burdockmill.standins.platform import StandinPlatform
from burdockmill.standins.record_set import RecordSet
from burdockmill.standins.upstream import StandinUpstream

if TYPE_CHECKING:
    import random

    from burdockmill.messages.events import Event

DOMAINS = ("waw-a", "krk-a", "gda-a")
HOSTS = 9
SLOTS, CONNECTION_LIMIT, CONNECT_MS = 2, 25, 6
SERVICE_MS = 8.0
RECORDS = 100
DEADLINE_MS = 2_000.0
RETRIES = 3
SERVICE = "leave-search"
KEY = "measured-key-between-hosts"
ANY_PORT = "127.0.0.1:0"
POLL_SECONDS = 0.01
READY_TIMEOUT_SECONDS = 20.0
QUERY = msgspec.Raw(b"{}")


class Fleet(ABC):
    """Serve searches with nine hosts; each subclass connects in its own way."""

    def __init__(self) -> None:
        records = RecordSet.of_leave_requests(RECORDS)
        self.snapshot = max(records.snapshots)
        self.upstreams = [
            StandinUpstream(
                f"u{index}",
                records,
                slots=SLOTS,
                connection_limit=CONNECTION_LIMIT,
                connect_ms=CONNECT_MS,
                service_ms=lambda row: SERVICE_MS,
            )
            for index in range(len(DOMAINS))
        ]

    @property
    def opened(self) -> int:
        """Return how many connections were opened, refused ones included."""
        counted = [one.connections for one in self.upstreams]
        return sum(one.opened_total + one.refused_total for one in counted)

    @property
    def refused_over_limit(self) -> int:
        """Return how many connections the upstreams refused above their limit."""
        return sum(one.connections.refused_total for one in self.upstreams)

    @property
    def peak(self) -> int:
        """Return the highest number of connections open at one upstream."""
        return max(one.connections.peak_open for one in self.upstreams)

    async def start(self) -> None:
        """Start the upstreams, then the hosts, and wait until they can serve."""
        for upstream in self.upstreams:
            await upstream.start()
        for host in range(HOSTS):
            await self.start_host(host)
        await self.wait_until_ready()

    async def stop(self) -> None:
        """Stop the hosts, then the upstreams."""
        for host in range(HOSTS):
            await self.stop_host(host)
        for upstream in self.upstreams:
            await upstream.stop()

    @abstractmethod
    async def start_host(self, host: int) -> None:
        """Start a host without open connections."""

    @abstractmethod
    async def stop_host(self, host: int) -> None:
        """Stop a host and close its connections."""

    @abstractmethod
    async def wait_until_ready(self) -> None:
        """Wait until all hosts can serve."""

    @abstractmethod
    def live_hosts(self) -> list[int]:
        """Return the hosts that accept requests."""

    @abstractmethod
    def busiest(self) -> int:
        """Return the host that opened most connections."""

    @abstractmethod
    async def ask(self, host: int, number: int) -> bool:
        """Search through a host; return whether the answer was complete."""


class OwnerFleet(Fleet):
    """Serve with burdockmill hosts, which reach each upstream through its owner."""

    def __init__(self) -> None:
        super().__init__()
        self._platform = StandinPlatform()
        self._node_by_host: dict[int, Node] = {}
        self._peer_address_by_host: dict[int, str] = {}

    async def start(self) -> None:
        """Start the platform and the upstreams, then the hosts that read the rules."""
        await self._platform.start()
        for upstream in self.upstreams:
            await upstream.start()
        self._platform.publish(self._rules_text(), 1)
        for host in range(HOSTS):
            await self.start_host(host)
        await self.wait_until_ready()

    async def stop(self) -> None:
        """Stop the hosts and the upstreams, then the platform."""
        await super().stop()
        await self._platform.stop()

    async def start_host(self, host: int) -> None:
        """Start a host on its former peer address and publish the host list."""
        domain = DOMAINS[host % len(DOMAINS)]
        settings = Settings(
            host=f"h{host}",
            domain=domain,
            region=domain,
            caller_address=ANY_PORT,
            peer_address=self._peer_address_by_host.get(host, ANY_PORT),
            operator_address=ANY_PORT,
            platform_addresses=(self._platform.address,),
            seeds=(),
            peer_key=KEY,
            balancer_lag_ms=100,
            start_spread_ms=0,
        )
        node = Node(settings)
        await node.start()
        self._node_by_host[host] = node
        self._peer_address_by_host[host] = node.peer_address
        self._publish_hosts()

    async def stop_host(self, host: int) -> None:
        """Stop a host gracefully and publish the host list without it."""
        await self._node_by_host[host].stop()
        del self._node_by_host[host]
        self._publish_hosts()

    async def wait_until_ready(self) -> None:
        """Wait until each host has all hosts and a snapshot list of each upstream."""
        async with asyncio.timeout(READY_TIMEOUT_SECONDS):
            while not all(map(self._has_all, self._node_by_host.values())):
                await asyncio.sleep(POLL_SECONDS)

    def live_hosts(self) -> list[int]:
        """Return the hosts that report ready."""
        return [host for host, node in self._node_by_host.items() if node.ready]

    async def ask(self, host: int, number: int) -> bool:
        """Search through a host; any error counts as an incomplete answer."""
        node = self._node_by_host[host]
        deadline_ms = node.clock.now_ms() + DEADLINE_MS
        request = RequestReceived(
            f"r{number}",
            RequestKind.SEARCH,
            SERVICE,
            "leave-desk",
            deadline_ms,
            10,
            "",
            QUERY,
        )
        try:
            result = await node.handle_request(request)
        except BurdockmillError:
            return False
        return isinstance(result, SearchAnswer) and result.coverage["complete"]

    def busiest(self) -> int:
        """Return the host that opened most connections."""
        nodes = self._node_by_host
        return max(nodes, key=lambda host: nodes[host].upstreams.connections_opened)

    def _publish_hosts(self) -> None:
        listed = [
            ListedHost(
                host=node.settings.host,
                domain=node.settings.domain,
                region=node.settings.region,
                peer_address=node.peer_address,
                leaving=False,
            )
            for node in self._node_by_host.values()
        ]
        self._platform.set_hosts(listed)

    def _has_all(self, node: Node) -> bool:
        world = node.engine.world
        rows = world.upstream_by_id.values()
        has_members = len(world.member_by_host) >= len(self._node_by_host)
        return has_members and bool(rows) and all(row.snapshots for row in rows)

    def _rules_text(self) -> str:
        comment = "# Measurement, 2026-12: connections"
        digest = hashlib.sha256(KEY.encode()).hexdigest()
        lines = [
            f"service {SERVICE} completion=coverage deadline=2000ms {comment}",
            f"caller leave-desk key=sha256:{digest} {comment}",
            f"allow leave-desk service={SERVICE} kinds=search {comment}",
        ]
        lines.extend(
            f"upstream {one.name} domain={domain} address={one.address} slots={SLOTS}"
            f" connections={CONNECTION_LIMIT} connect={CONNECT_MS}ms {comment}"
            for one, domain in zip(self.upstreams, DOMAINS, strict=True)
        )
        replicas = ",".join(one.name for one in self.upstreams)
        first, last = FULL_RANGE
        lines.append(
            f"shard leave-0 service={SERVICE} slots={first}-{last}"
            f" replicas={replicas} {comment}"
        )
        return "\n".join(lines) + "\n"


class PoolFleet(Fleet):
    """Serve with hosts that each keep their own connection pools, as the baseline."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__()
        self._rng = rng
        self._client_by_host: dict[int, UpstreamClient] = {}
        self._outstanding: dict[int, list[int]] = {}
        self._outcome_by_attempt: dict[tuple[str, int], asyncio.Future[bool]] = {}

    async def start_host(self, host: int) -> None:
        """Start a host with empty pools."""
        client = UpstreamClient(self._emit, MonotonicClock(), 1.0)
        for one in self.upstreams:
            client.apply_rule(
                UpstreamRule(
                    one.name, "", "", one.address, CONNECTION_LIMIT, CONNECTION_LIMIT
                )
            )
        self._client_by_host[host] = client
        self._outstanding[host] = [0] * len(self.upstreams)

    async def stop_host(self, host: int) -> None:
        """Stop a host and close its pools."""
        await self._client_by_host.pop(host).close()

    async def wait_until_ready(self) -> None:
        """Return at once, as pools connect on demand."""

    def live_hosts(self) -> list[int]:
        """Return the running hosts."""
        return list(self._client_by_host)

    def busiest(self) -> int:
        """Return the host that opened most connections."""
        clients = self._client_by_host
        return max(clients, key=lambda host: clients[host].connections_opened)

    async def ask(self, host: int, number: int) -> bool:
        """Search the least loaded upstream; retry at once, up to `RETRIES` times."""
        for attempt in range(RETRIES + 1):
            client = self._client_by_host.get(host)
            if client is None:
                return False
            if await self._attempt(client, host, f"r{number}", attempt):
                return True
        return False

    async def _attempt(
        self, client: UpstreamClient, host: int, request_id: str, attempt: int
    ) -> bool:
        outstanding = self._outstanding[host]
        least = min(outstanding)
        chosen = self._rng.choice(
            [index for index, count in enumerate(outstanding) if count == least]
        )
        upstream = self.upstreams[chosen]
        outcome = asyncio.get_running_loop().create_future()
        self._outcome_by_attempt[request_id, attempt] = outcome
        outstanding[chosen] += 1
        client.send(
            SendToUpstream(
                request_id,
                attempt,
                RequestKind.SEARCH,
                SERVICE,
                upstream.name,
                upstream.address,
                "leave-0",
                FULL_RANGE,
                self.snapshot,
                DEADLINE_MS,
                10,
                "",
                QUERY,
            )
        )
        try:
            return await outcome
        finally:
            outstanding[chosen] -= 1
            del self._outcome_by_attempt[request_id, attempt]

    def _emit(self, event: Event) -> None:
        if not isinstance(event, UpstreamAnswered | UpstreamRefused | UpstreamFailed):
            return
        outcome = self._outcome_by_attempt.get((event.request_id, event.attempt))
        if outcome is not None and not outcome.done():
            outcome.set_result(isinstance(event, UpstreamAnswered))
