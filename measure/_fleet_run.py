"""Run fleets on the virtual clock and count the cost of control traffic."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter, defaultdict
from functools import partial
from typing import TYPE_CHECKING, NamedTuple

import msgspec
from aiohttp import web

from burdockmill.clients.peer_client import PeerClient
from burdockmill.messages.actions import Announce, LogDecision
from burdockmill.messages.batch import make_batch
from burdockmill.messages.events import (
    HealthRead,
    HostStarted,
    RevisionRead,
    RulesAccepted,
)
from burdockmill.messages.fleet import IndirectProbeRequest
from burdockmill.messages.peer import PeerBatch
from burdockmill.node import Node
from burdockmill.placement import readers
from burdockmill.rules.chunks import make_manifest
from burdockmill.settings import Settings
from burdockmill.standins.virtual_fleet import LinkModel, UpstreamModel, VirtualFleet
from burdockmill.surfaces.peer import peer_app
from burdockmill.tables.rows import MemberRow

if TYPE_CHECKING:
    from burdockmill.messages.actions import (
        Action,
        CancelAtUpstream,
        ReadHealth,
        SendToUpstream,
    )
    from burdockmill.messages.peer import PeerMessage
    from burdockmill.names import DomainId, HostId, Revision, UpstreamId

PLATFORM_DELAY_MS = 50.0
SERVICE_COUNT = 10
EXCHANGES = 400
PEER_KEY = "thirty-two-characters-of-a-key-00"


class HttpCost(NamedTuple):
    """Store the bytes and processor time of an HTTP exchange between two peers.

    The bytes leave out the request's body; the time is that of both peers together.
    """

    request_bytes: int
    response_bytes: int
    cpu_ms: float


class LossyLink(LinkModel):
    """Drop a share of all messages; deliver the others within two milliseconds.

    If `side_by_host` is set, messages between hosts of different sides are lost too.
    """

    def __init__(self, loss: float) -> None:
        self.loss = loss
        self.side_by_host: dict[HostId, int] = {}

    def delays_ms(
        self, rng: random.Random, sender: HostId, receiver: HostId
    ) -> tuple[float, ...]:
        """Return one delay, or none for a lost message or across a partition."""
        sides = self.side_by_host
        if sides and sides.get(sender) != sides.get(receiver):
            return ()
        if rng.random() < self.loss:
            return ()
        return (rng.uniform(0.3, 2.0),)


class HealthyUpstreams(UpstreamModel):
    """Answer health checks with one snapshot; report those in `draining` so."""

    def __init__(self) -> None:
        self.draining: set[UpstreamId] = set()

    def send(self, fleet: VirtualFleet, host: HostId, send: SendToUpstream) -> None:
        """Ignore the attempt."""

    def cancel(
        self, fleet: VirtualFleet, host: HostId, cancel: CancelAtUpstream
    ) -> None:
        """Ignore the cancellation."""

    def read_health(self, fleet: VirtualFleet, host: HostId, read: ReadHealth) -> None:
        """Report one snapshot after a millisecond."""
        health = HealthRead(read.upstream, "1", (1,), read.upstream in self.draining)
        fleet.call_at(fleet.clock.now_ms() + 1.0, lambda: fleet.post(host, health))


class MeasuredFleet:
    """Run a fleet and count messages, bytes and the time to encode and decode."""

    def __init__(
        self, per_domain: int, domains: int, upstreams: int, seed: int, loss: float
    ) -> None:
        self.link = LossyLink(loss)
        self.upstreams = HealthyUpstreams()
        self.virtual = VirtualFleet(seed, self.upstreams, self.link)
        self.virtual.on_message = self._count_message
        self.virtual.on_action = self._record_action
        self.rng = random.Random(seed)
        self.domains = [f"domain-{number}" for number in range(domains)]
        self.upstream_count = upstreams
        self.domain_by_host: dict[HostId, DomainId] = {
            f"entry-{domain[7:]}-{number}": domain
            for domain in self.domains
            for number in range(per_domain)
        }
        self.batches: Counter[tuple[HostId, HostId, float]] = Counter()
        self.body_bytes_by_host: Counter[HostId] = Counter()
        self.sent_by_host: Counter[HostId] = Counter()
        self.received_by_host: Counter[HostId] = Counter()
        self.accepted_at_ms_by_revision: dict[Revision, dict[HostId, float]] = (
            defaultdict(dict)
        )
        self.declared_dead: set[HostId] = set()
        self.codec_seconds = 0.0
        self._decoder = msgspec.json.Decoder(PeerBatch)
        self.revision = 0
        for index, host in enumerate(self.domain_by_host):
            self.start(host, index, 1)

    @property
    def now_ms(self) -> float:
        """Return the virtual time in milliseconds."""
        return self.virtual.clock.now_ms()

    def start(self, host: HostId, index: int, incarnation: int) -> None:
        """Start a host with the rows of all hosts as its seeds."""
        self.virtual.add_host(host, self.domain_by_host[host])
        others = tuple(self.row(other, 0) for other in self.domain_by_host)
        own = self.row(host, incarnation)
        self.virtual.post(host, HostStarted(own, others))

    def row(self, host: HostId, incarnation: int) -> MemberRow:
        """Return the member row of a host with this incarnation."""
        _, domain, number = host.split("-")
        address = f"10.{domain}.{int(number) // 250}.{int(number) % 250}:9101"
        identity = (host, self.domain_by_host[host], "region-1", address)
        return MemberRow(*identity, incarnation=incarnation)

    def run(self, milliseconds: float) -> None:
        """Advance the virtual clock."""
        self.virtual.run_until(self.now_ms + milliseconds)

    def publish(self) -> float:
        """Publish a revision with one changed line; return its virtual time."""
        self.revision += 1
        manifest, data_by_digest = make_manifest(self.rules_text(), self.revision)
        texts = {digest: data.decode() for digest, data in data_by_digest.items()}
        event = RevisionRead(manifest, texts, "platform")
        for domain in self.domains:
            hosts = [h for h in self.virtual.engine_by_host if self._is_in(h, domain)]
            for host in readers(hosts):
                at_ms = self.now_ms + self.rng.uniform(1.0, PLATFORM_DELAY_MS)
                self.virtual.call_at(at_ms, partial(self.virtual.post, host, event))
        return self.now_ms

    def rules_text(self) -> str:
        """Return the text of the rules; its first line contains the revision."""
        lines = [f"service service-{n} # Ops" for n in range(SERVICE_COUNT)]
        lines[0] = f"service service-0 # Ops: revision {self.revision}"
        for number in range(self.upstream_count):
            domain = self.domains[number % len(self.domains)]
            address = f"10.9.{number // 250}.{number % 250}:8080"
            lines.append(
                f"upstream upstream-{number} domain={domain} address={address} "
                "slots=2 connections=25 # Ops"
            )
        return "\n".join(lines) + "\n"

    def slowest_host_ms(self, revision: Revision, published_ms: float) -> float | None:
        """Return the delay until all hosts had a revision or a later one.

        It is None if a host has neither.
        """
        worst = 0.0
        for host in self.virtual.engine_by_host:
            times = [
                at_by_host[host]
                for number, at_by_host in self.accepted_at_ms_by_revision.items()
                if number >= revision and host in at_by_host
            ]
            if not times:
                return None
            worst = max(worst, min(times) - published_ms)
        return worst

    def reset(self) -> None:
        """Reset the counts of messages and bytes, and the time to encode and decode."""
        self.batches.clear()
        self.body_bytes_by_host.clear()
        self.sent_by_host.clear()
        self.received_by_host.clear()
        self.codec_seconds = 0.0

    def bytes_by_host(self, cost: HttpCost) -> dict[HostId, float]:
        """Return the bytes that each host sent and received, headers included."""
        header_bytes = cost.request_bytes + cost.response_bytes
        exchanges: Counter[HostId] = Counter()
        for sender, receiver, _ in self.batches:
            exchanges[sender] += 1
            exchanges[receiver] += 1
        return {
            host: self.body_bytes_by_host[host] + header_bytes * exchanges[host]
            for host in self.domain_by_host
        }

    def _is_in(self, host: HostId, domain: DomainId) -> bool:
        return self.domain_by_host[host] == domain

    def _count_message(self, sender: HostId, to: HostId, message: PeerMessage) -> None:
        started = time.process_time()
        body = msgspec.json.encode(make_batch(sender, [message]))
        self._decoder.decode(body)
        self.codec_seconds += time.process_time() - started
        self.batches[sender, to, self.now_ms] += 1
        self.body_bytes_by_host[sender] += len(body)
        self.body_bytes_by_host[to] += len(body)

    def _record_action(self, host: HostId, action: Action) -> None:
        if isinstance(action, Announce) and isinstance(action.event, RulesAccepted):
            revision = action.event.rules.revision
            self.accepted_at_ms_by_revision[revision].setdefault(host, self.now_ms)
        if isinstance(action, LogDecision) and action.choice.endswith(" dead"):
            self.declared_dead.add(action.choice.partition(" ")[0])


def http_cost() -> HttpCost:
    """Measure an exchange of a peer client and the peer HTTP interface over sockets."""
    return asyncio.run(_http_cost())


async def _http_cost() -> HttpCost:
    runner = web.AppRunner(peer_app(Node(_settings())), access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    address = "{}:{}".format(*runner.addresses[0])
    captured: list[bytes] = []

    async def relay(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, port = address.split(":")
        up_reader, up_writer = await asyncio.open_connection(host, int(port))
        request = await reader.readuntil(b"\r\n\r\n")
        length = int(request.lower().split(b"content-length:")[1].split(b"\r")[0])
        up_writer.write(request + await reader.readexactly(length))
        response = await up_reader.readuntil(b"\r\n\r\n")
        size = int(response.lower().split(b"content-length:")[1].split(b"\r")[0])
        body = await up_reader.readexactly(size)
        captured.extend((request, response + body))
        writer.write(response + body)
        await writer.drain()
        up_writer.close()
        writer.close()

    server = await asyncio.start_server(relay, "127.0.0.1", 0)
    relayed = "{}:{}".format(*server.sockets[0].getsockname())
    cpu_ms = await _exchange_cpu_ms(relayed, address)
    server.close()
    await runner.cleanup()
    return HttpCost(len(captured[0]), len(captured[1]), cpu_ms)


def _settings() -> Settings:
    any_port = "127.0.0.1:0"
    addresses = (any_port, any_port, any_port)
    return Settings("entry-0-2", "domain-0", "r", *addresses, (), (), PEER_KEY)


async def _exchange_cpu_ms(relayed: str, address: str) -> float:
    peers = PeerClient("entry-0-0", PEER_KEY, lambda event: None)
    peers.send("entry-0-1", relayed, IndirectProbeRequest("entry-0-2"))
    await _wait_until_idle(peers)
    for _ in range(20):
        peers.send("entry-0-2", address, IndirectProbeRequest("entry-0-2"))
        await _wait_until_idle(peers)
    started = time.process_time()
    for _ in range(EXCHANGES):
        peers.send("entry-0-2", address, IndirectProbeRequest("entry-0-2"))
        await _wait_until_idle(peers)
    cpu_seconds = time.process_time() - started
    await peers.close()
    return cpu_seconds * 1_000 / EXCHANGES


async def _wait_until_idle(peers: PeerClient) -> None:
    while not peers.is_idle:
        await asyncio.sleep(0)
