"""Measure bytes and memory of a query's parts, and owners per query."""

from __future__ import annotations

import tracemalloc
from collections import Counter
from typing import TYPE_CHECKING

import msgspec

from burdockmill.errors import Ran
from burdockmill.messages.batch import make_batch
from burdockmill.messages.events import HealthRead, RequestReceived, RulesAccepted
from burdockmill.messages.peer import (
    Hit,
    Part,
    PartOutcome,
    PartStatus,
    WorkAnswer,
    WorkRequest,
)
from burdockmill.placement import rendezvous
from burdockmill.rules.model import (
    Completion,
    RequestKind,
    RuleSet,
    ServiceRule,
    ShardRule,
    UpstreamRule,
)
from burdockmill.slots import SLOT_COUNT, SlotRange
from burdockmill.standins.virtual_fleet import (
    FixedLink,
    UpstreamModel,
    VirtualFleet,
)
from burdockmill.tables.rows import MemberRow
from measure.records import Figure, write_records

if TYPE_CHECKING:
    from burdockmill.messages.actions import (
        CancelAtUpstream,
        ReadHealth,
        SendToUpstream,
    )
    from burdockmill.messages.peer import PeerMessage
    from burdockmill.names import HostId

NAME = "data_path"
SEED = 7
SERVICE = "bench"
QUERY = msgspec.Raw(b'{"off_in":"2026-08"}')
RECORD = msgspec.Raw(
    b'{"team":"packing-2","employee":"employee-1454","first_day":"2026-08-03",'
    b'"last_day":"2026-08-07","days":5,"status":"approved"}'
)
HITS_LIMIT = 20
SHARDS = 1_200
FEW_PARTS, MANY_PARTS = 5, 25
QUERIES = 20
DEADLINE_MS = 60_000.0
STARTUP_MS = 50.0
HOSTS = 290
UPSTREAMS = 7_143
GROUP_SIZES = (1, 5, 25)


class UnresponsiveUpstreams(UpstreamModel):
    """Report a snapshot but never answer, so that all parts stay open."""

    def send(self, fleet: VirtualFleet, host: HostId, send: SendToUpstream) -> None:
        """Leave the attempt open."""

    def cancel(self, fleet: VirtualFleet, host: HostId, gone: CancelAtUpstream) -> None:
        """Ignore the cancellation."""

    def read_health(self, fleet: VirtualFleet, host: HostId, read: ReadHealth) -> None:
        """Report one snapshot at once."""
        fleet.post(host, HealthRead(read.upstream, "1", (1,), False))


def _part(number: int) -> Part:
    first = number * SLOT_COUNT // SHARDS
    last = (number + 1) * SLOT_COUNT // SHARDS - 1
    return Part(
        number, f"planner-{number}-waw", f"leave-{number}", SlotRange(first, last)
    )


def _request(parts: int) -> WorkRequest:
    return WorkRequest(
        request_id="d004a465576e48d1b35ae7c8602ff2ca",
        kind=RequestKind.SEARCH,
        service="leave-search",
        caller="leave-desk",
        snapshot=2,
        remaining_ms=790.0,
        limit=HITS_LIMIT,
        key="",
        body=QUERY,
        parts=[_part(number) for number in range(parts)],
    )


def _answer(parts: int) -> WorkAnswer:
    outcomes = [
        PartOutcome(
            part.attempt,
            part.upstream,
            part.shard,
            PartStatus.ANSWERED,
            Ran.YES,
            covered=(part.slots,),
            total=5,
            took_ms=8.25,
        )
        for part in map(_part, range(parts))
    ]
    hits = [Hit(738000.0 + n, f"LR-{n:06}", RECORD) for n in range(HITS_LIMIT)]
    return WorkAnswer("d004a465576e48d1b35ae7c8602ff2ca", 2, outcomes, hits)


def _size(message: PeerMessage) -> int:
    return len(msgspec.json.encode(make_batch("entry-waw-a", [message])))


def _byte_figures() -> list[Figure]:
    figures: list[Figure] = []
    for name, make in (("request", _request), ("answer", _answer)):
        few, many = _size(make(FEW_PARTS)), _size(make(MANY_PARTS))
        slope = (many - few) / (MANY_PARTS - FEW_PARTS)
        figures += [
            Figure(f"slope.{name}_bytes_per_part", slope, "bytes"),
            Figure(f"slope.{name}_bytes_fixed", few - slope * FEW_PARTS, "bytes"),
        ]
    return figures


def _rules() -> RuleSet:
    upstreams = {
        f"u{n}": UpstreamRule(f"u{n}", "", "owner", "127.0.0.1:1", 2, 25)
        for n in range(SHARDS)
    }
    shards = tuple(
        ShardRule(f"s{n}", "", SERVICE, _part(n).slots, (f"u{n}",))
        for n in range(SHARDS)
    )
    return RuleSet(
        revision=1,
        service_by_name={SERVICE: ServiceRule(SERVICE, "", Completion.COVERAGE)},
        upstream_by_id=upstreams,
        shards_by_service={SERVICE: shards},
        caller_by_digest={},
        allow_by_caller_service={},
        leaving_by_upstream={},
    )


def _fleet() -> VirtualFleet:
    fleet = VirtualFleet(SEED, UnresponsiveUpstreams(), FixedLink(0.5))
    rules = _rules()
    for host in ("entry", "owner"):
        world = fleet.add_host(host, host).world
        for name in ("entry", "owner"):
            world.member_by_host[name] = MemberRow(name, name, "r", "127.0.0.1:1")
        world.members_version += 1
        fleet.post(host, RulesAccepted(rules, "measurement"))
    for upstream in rules.upstream_by_id:
        for host in ("entry", "owner"):
            fleet.post(host, HealthRead(upstream, "1", (1,), False))
    fleet.run_until(STARTUP_MS)
    return fleet


def _memory_figures() -> list[Figure]:
    fleet = _fleet()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    for number in range(QUERIES):
        request = RequestReceived(
            f"request-{number}",
            RequestKind.SEARCH,
            SERVICE,
            "caller",
            fleet.clock.now_ms() + DEADLINE_MS,
            HITS_LIMIT,
            "",
            QUERY,
        )
        fleet.post("entry", request)
    fleet.run_until(fleet.clock.now_ms() + 5.0)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    bytes_per_part = (after - before) / (QUERIES * SHARDS)
    return [
        Figure("slope.memory_bytes_per_open_part", bytes_per_part, "bytes", seed=SEED)
    ]


def _placement_figures() -> list[Figure]:
    """Return owners per query and the busiest owner's load, by upstreams per group."""
    hosts = [f"entry-{number}" for number in range(HOSTS)]
    figures: list[Figure] = []
    for size in GROUP_SIZES:
        owners = [
            rendezvous(hosts, f"group-{number // size}") for number in range(UPSTREAMS)
        ]
        owner_count = len(set(owners[:SHARDS]))
        most = max(Counter(owners).values()) * HOSTS / UPSTREAMS
        figures += [
            Figure(f"placement.owners_per_query_group_{size}", owner_count, "hosts"),
            Figure(f"placement.most_to_mean_load_group_{size}", most, "of mean"),
        ]
    return figures


def main() -> None:
    """Measure bytes, memory and owners, and write the records."""
    write_records(NAME, _byte_figures() + _memory_figures() + _placement_figures())


if __name__ == "__main__":
    main()
