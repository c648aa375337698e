"""Serve a load with burdockmill hosts on a virtual clock."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import msgspec

from burdockmill.errors import Ran
from burdockmill.messages.actions import SearchAnswer
from burdockmill.messages.events import (
    HealthRead,
    RequestReceived,
    RulesAccepted,
    UpstreamAnswered,
    UpstreamFailed,
    UpstreamRefused,
)
from burdockmill.messages.peer import NO_BODY, Reason
from burdockmill.rules.model import (
    RequestKind,
    RuleSet,
    ServiceRule,
    ShardRule,
    UpstreamRule,
)
from burdockmill.slots import FULL_RANGE
from burdockmill.standins.virtual_fleet import LinkModel, UpstreamModel, VirtualFleet
from burdockmill.tables.rows import MemberRow
from measure._overload_load import DEADLINE_MS, HOSTS, Outcome, Served
from measure._overload_server import Ending, Job, Server, Shape

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockmill.messages.actions import (
        CancelAtUpstream,
        ReadHealth,
        SendToUpstream,
    )
    from measure._overload_load import Arrival

DOMAINS = ("waw-a", "krk-a", "gda-a")
SAME_DOMAIN_MS = 0.5
OTHER_REGION_MS = 12.0
HEALTH_MS = 1.0
STARTUP_MS = 500.0
DRAIN_MS = 1_000.0
SHED_RETRY_AFTER_MS = 50
QUERY = msgspec.Raw(b"{}")
SNAPSHOTS = (1,)


class RegionLink(LinkModel):
    """Delay messages less within a domain than between regions."""

    def delays_ms(
        self, rng: random.Random, sender: str, receiver: str
    ) -> tuple[float, ...]:
        """Return one delay, shorter within a domain."""
        same = domain_of(sender) == domain_of(receiver)
        return (SAME_DOMAIN_MS if same else OTHER_REGION_MS,)


class ModelUpstreams(UpstreamModel):
    """Run the attempts of all hosts on model servers."""

    def __init__(self, shape: Shape, seed: int) -> None:
        self.server_by_upstream: dict[str, Server] = {}
        self._shape = shape
        self._seed = seed
        self._job_by_attempt: dict[tuple[str, int], tuple[Server, Job]] = {}

    def build(self, fleet: VirtualFleet) -> None:
        """Create a server for each upstream."""
        for index in range(self._shape.upstreams):
            rng = random.Random(self._seed * 31 + index)
            server = Server(fleet, rng, self._shape)
            self.server_by_upstream[f"u{index}"] = server

    def send(self, fleet: VirtualFleet, host: str, send: SendToUpstream) -> None:
        """Submit an attempt to its server and post the outcome back to the host."""
        key = (send.request_id, send.attempt)
        server = self.server_by_upstream[send.upstream]

        def finish(ending: Ending) -> None:
            del self._job_by_attempt[key]
            fleet.call_at(
                fleet.clock.now_ms(),
                lambda: fleet.post(host, _attempt_event(send, ending)),
            )

        job = Job(fleet.clock.now_ms() + send.remaining_ms, finish)
        self._job_by_attempt[key] = (server, job)
        server.submit(job)

    def cancel(self, fleet: VirtualFleet, host: str, cancel: CancelAtUpstream) -> None:
        """Cancel an attempt at its server; ignore one that has ended."""
        found = self._job_by_attempt.get((cancel.request_id, cancel.attempt))
        if found is not None:
            server, job = found
            server.drop(job, Ending.CANCELLED)

    def read_health(self, fleet: VirtualFleet, host: str, read: ReadHealth) -> None:
        """Report a healthy upstream; health checks do not reveal failing attempts."""
        health = HealthRead(read.upstream, "first", SNAPSHOTS, False)
        at_ms = fleet.clock.now_ms() + HEALTH_MS
        fleet.call_at(at_ms, lambda: fleet.post(host, health))


def run_owners(
    shape: Shape,
    load: list[Arrival],
    seed: int,
    timed_changes: tuple[tuple[float, Callable[[dict[str, Server]], None]], ...] = (),
) -> Outcome:
    """Serve a load with nine hosts and owners; `timed_changes` alter the servers."""
    upstreams = ModelUpstreams(shape, seed)
    fleet = VirtualFleet(seed, upstreams, RegionLink())
    upstreams.build(fleet)
    _start_hosts(fleet, shape)
    fleet.run_until(STARTUP_MS)
    servers = upstreams.server_by_upstream
    for at_ms, change in timed_changes:
        fleet.call_at(STARTUP_MS + at_ms, _bind_servers(change, servers))
    for arrival in load:
        fleet.call_at(STARTUP_MS + arrival.at_ms, _request_poster(fleet, arrival))
    fleet.run_until(STARTUP_MS + load[-1].at_ms + DEADLINE_MS + DRAIN_MS)
    return Outcome(
        _served_rows(fleet, load),
        [at - STARTUP_MS for one in servers.values() for at in one.received_at_ms],
        sum(server.shed_count for server in servers.values()),
    )


def domain_of(host: str) -> str:
    """Return the failure domain of a host."""
    return DOMAINS[int(host.removeprefix("h")) % len(DOMAINS)]


def _start_hosts(fleet: VirtualFleet, shape: Shape) -> None:
    names = [f"h{index}" for index in range(HOSTS)]
    rows = {
        name: MemberRow(name, domain_of(name), domain_of(name), f"10.0.0.{index}:1")
        for index, name in enumerate(names)
    }
    rules = _rules(shape)
    for name in names:
        world = fleet.add_host(name, domain_of(name)).world
        world.member_by_host.update(rows)
        world.members_version += 1
        fleet.post(name, RulesAccepted(rules, "measurement"))


def _rules(shape: Shape) -> RuleSet:
    names = tuple(f"u{index}" for index in range(shape.upstreams))
    upstreams = {
        name: UpstreamRule(
            name,
            "Measurement",
            DOMAINS[index % len(DOMAINS)],
            f"10.1.0.{index}:1",
            shape.slots,
            shape.connections,
            int(shape.connect_ms),
        )
        for index, name in enumerate(names)
    }
    shard = ShardRule("s0", "Measurement", "leave", FULL_RANGE, names)
    return RuleSet(
        revision=1,
        service_by_name={
            "leave": ServiceRule("leave", "Measurement", shape.completion)
        },
        upstream_by_id=upstreams,
        shards_by_service={"leave": (shard,)},
        caller_by_digest={},
        allow_by_caller_service={},
        leaving_by_upstream={},
    )


def _request_poster(fleet: VirtualFleet, arrival: Arrival) -> Callable[[], None]:
    def post_request() -> None:
        request = RequestReceived(
            str(arrival.number),
            RequestKind.SEARCH,
            "leave",
            arrival.caller,
            fleet.clock.now_ms() + DEADLINE_MS,
            10,
            "",
            QUERY,
        )
        fleet.post(f"h{arrival.host}", request)

    return post_request


def _bind_servers(
    change: Callable[[dict[str, Server]], None], servers: dict[str, Server]
) -> Callable[[], None]:
    return lambda: change(servers)


def _served_rows(fleet: VirtualFleet, load: list[Arrival]) -> list[Served]:
    took_by_number: dict[int, float] = {}
    for answered in fleet.answers:
        number = int(answered.answer.request_id)
        result = answered.answer.result
        took_ms = answered.at_ms - STARTUP_MS - load[number].at_ms
        complete = isinstance(result, SearchAnswer) and result.coverage["complete"]
        if complete and took_ms <= DEADLINE_MS:
            took_by_number[number] = took_ms
    return [Served(row, took_by_number.get(row.number)) for row in load]


def _attempt_event(
    send: SendToUpstream, ending: Ending
) -> UpstreamAnswered | UpstreamRefused | UpstreamFailed:
    attempt_id = (send.request_id, send.attempt, send.upstream)
    if ending == Ending.DONE:
        return UpstreamAnswered(
            *attempt_id, 1, (send.slots,), 0, [], NO_BODY, True, SNAPSHOTS, False
        )
    if ending == Ending.SHED:
        wait_ms = SHED_RETRY_AFTER_MS
        return UpstreamRefused(*attempt_id, Reason.SHED, wait_ms, SNAPSHOTS, False)
    reason_by_ending = {
        Ending.BROKEN: Reason.BROKEN,
        Ending.EXPIRED: Reason.DEADLINE,
        Ending.CANCELLED: Reason.CANCELLED,
    }
    return UpstreamFailed(*attempt_id, reason_by_ending[ending], Ran.UNKNOWN)
