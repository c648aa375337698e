"""Build rules, requests and virtual fleets for tests of searches."""

from __future__ import annotations

import itertools

import msgspec

from burdockmill.messages.events import (
    HostListRead,
    HostStarted,
    RequestReceived,
    RulesAccepted,
)
from burdockmill.rules.model import (
    Completion,
    RequestKind,
    RuleSet,
    ServiceRule,
    ShardRule,
    UpstreamRule,
)
from burdockmill.slots import SLOT_COUNT, SlotRange
from burdockmill.tables.rows import MemberRow

DOMAINS = ("d0", "d1", "d2")
DOMAIN_BY_HOST = {"e0": "d0", "e1": "d1", "e2": "d2"}
UPSTREAMS = tuple(f"u{number}" for number in range(6))
DOMAIN_BY_UPSTREAM = {name: DOMAINS[i % 3] for i, name in enumerate(UPSTREAMS)}


def make_shards(service, cuts, tag="", replicas=3, stretch=0):
    """Return shards between the cuts, each `stretch` slots into the next."""
    edges = sorted({0, SLOT_COUNT, *cuts})
    return tuple(
        ShardRule(
            f"{service}-{tag}{i}",
            "Tests",
            service,
            SlotRange(first, min(last + stretch, SLOT_COUNT) - 1),
            tuple(UPSTREAMS[(i + step) % len(UPSTREAMS)] for step in range(replicas)),
        )
        for i, (first, last) in enumerate(itertools.pairwise(edges))
    )


def make_fleet_rules(shards_by_service, revision=1, slots=2, **service_changes):
    """Return rules over UPSTREAMS; services named l* complete by latency."""
    return RuleSet(
        revision=revision,
        service_by_name={
            name: ServiceRule(
                name,
                "Tests",
                Completion.LATENCY if name[0] == "l" else Completion.COVERAGE,
                **service_changes,
            )
            for name in shards_by_service
        },
        upstream_by_id={
            name: UpstreamRule(name, "Tests", domain, f"10.0.0.1:{i}", slots, 25)
            for i, (name, domain) in enumerate(DOMAIN_BY_UPSTREAM.items(), 1)
        },
        shards_by_service=shards_by_service,
        caller_by_digest={},
        allow_by_caller_service={},
        leaving_by_upstream={},
    )


def boot(fleet, rules, hosts=tuple(DOMAIN_BY_HOST)):
    """Add hosts, register all members at each, and post the rules to each."""
    for host in hosts:
        fleet.add_host(host, DOMAIN_BY_HOST[host])
    for host in hosts:
        register_members(fleet, host)
        fleet.post(host, RulesAccepted(rules, "tests"))


def register_members(fleet, host):
    """Register all members at a host, and post the host list to the fleet."""
    world = fleet.engine_by_host[host].world
    for other, domain in DOMAIN_BY_HOST.items():
        world.member_by_host[other] = MemberRow(other, domain, "r", "10.0.0.1:1")
    world.members_version += 1
    listed = [
        {
            "host": host_name,
            "domain": domain_name,
            "region": "r",
            "peer_address": "10.0.0.1:1",
            "leaving": False,
        }
        for host_name, domain_name in DOMAIN_BY_HOST.items()
    ]
    hosts = {"version": 1, "hosts": listed, "leaving_upstreams": []}
    for other in fleet.engine_by_host:
        fleet.post(other, HostListRead(hosts))


def start_event(host):
    """Return the event that a host's process posts when it starts."""
    rows = {
        name: MemberRow(name, domain, "r", "10.0.0.1:1")
        for name, domain in DOMAIN_BY_HOST.items()
    }
    seeds = tuple(row for name, row in rows.items() if name != host)
    return HostStarted(rows[host], seeds)


def make_request(fleet, request_id, service="c", kind=RequestKind.SEARCH, **changes):
    """Return a request with a deadline in 400 ms."""
    values = {
        "deadline_ms": fleet.clock.now_ms() + 400.0,
        "limit": 5,
        "key": "",
        "body": msgspec.Raw(b'{"group":"red"}'),
    }
    return RequestReceived(request_id, kind, service, "tests", **(values | changes))
