"""Build a fleet of three hosts and six upstreams to measure actions."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from burdockmill.messages.events import (
    HealthRead,
    RequestReceived,
    RulesAccepted,
    UpstreamAnswered,
)
from burdockmill.messages.peer import NO_BODY
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

if TYPE_CHECKING:
    import random

    from burdockmill.messages.actions import (
        CancelAtUpstream,
        ReadHealth,
        SendToUpstream,
    )

SERVICE = "bookings"
DOMAIN = "waw-a"
HOSTS = tuple(f"h{index}" for index in range(3))
UPSTREAMS = tuple(f"u{index}" for index in range(6))
SNAPSHOT = 7
ONE_WAY_DELAY_MS = 0.5
UPSTREAM_SERVICE_MS = 8.0
STARTUP_MS = 60_000.0
DEADLINE_MS = 500.0


class LossyLink(LinkModel):
    """Drop a share of the messages once `loss_share` is set."""

    def __init__(self) -> None:
        self.loss_share = 0.0

    def delays_ms(
        self, rng: random.Random, sender: str, receiver: str
    ) -> tuple[float, ...]:
        """Return a fixed delay, or none for a lost message."""
        return () if rng.random() < self.loss_share else (ONE_WAY_DELAY_MS,)


class FixedTimeUpstreams(UpstreamModel):
    """Answer attempts after a fixed service time and record which requests ran."""

    def __init__(self) -> None:
        self.executed_request_ids: set[str] = set()

    def send(self, fleet: VirtualFleet, host: str, send: SendToUpstream) -> None:
        """Run an attempt and answer it after the service time."""
        self.executed_request_ids.add(send.request_id)
        answered = UpstreamAnswered(
            request_id=send.request_id,
            attempt=send.attempt,
            upstream=send.upstream,
            snapshot=send.snapshot,
            covered=(),
            total=0,
            hits=[],
            body=msgspec.Raw(b'"done"'),
            found=True,
            snapshots=(SNAPSHOT,),
            draining=False,
        )
        at_ms = fleet.clock.now_ms() + UPSTREAM_SERVICE_MS
        fleet.call_at(at_ms, lambda: fleet.post(host, answered))

    def cancel(self, fleet: VirtualFleet, host: str, cancel: CancelAtUpstream) -> None:
        """Ignore the cancellation, so that the attempt still runs."""

    def read_health(self, fleet: VirtualFleet, host: str, read: ReadHealth) -> None:
        """Report the only snapshot at once."""
        health = HealthRead(read.upstream, "1", (SNAPSHOT,), False)
        fleet.post(host, health)


def start_fleet(seed: int, upstreams: UpstreamModel, link: LinkModel) -> VirtualFleet:
    """Return a fleet whose hosts have all members, rules and snapshots."""
    fleet = VirtualFleet(seed, upstreams, link)
    for host in HOSTS:
        world = fleet.add_host(host, DOMAIN).world
        for name in HOSTS:
            world.member_by_host[name] = MemberRow(name, DOMAIN, "pl", "10.0.0.1:1")
        world.members_version += 1
        fleet.post(host, RulesAccepted(_rules(), "measurement"))
    fleet.run_until(STARTUP_MS)
    return fleet


def make_request(
    fleet: VirtualFleet, request_id: str, host: str, kind: RequestKind
) -> RequestReceived:
    """Return a request to a host whose deadline starts at its present time."""
    return RequestReceived(
        request_id=request_id,
        kind=kind,
        service=SERVICE,
        caller="club",
        deadline_ms=fleet.now_ms(host) + DEADLINE_MS,
        limit=1,
        key="slope-4",
        body=NO_BODY,
    )


def _rules() -> RuleSet:
    upstreams = {
        name: UpstreamRule(name, "Measurement", DOMAIN, "10.0.0.2:80", 2, 25)
        for name in UPSTREAMS
    }
    shard = ShardRule("all", "Measurement", SERVICE, FULL_RANGE, UPSTREAMS)
    return RuleSet(
        revision=1,
        service_by_name={SERVICE: ServiceRule(SERVICE, "Measurement")},
        upstream_by_id=upstreams,
        shards_by_service={SERVICE: (shard,)},
        caller_by_digest={},
        allow_by_caller_service={},
        leaving_by_upstream={},
    )
