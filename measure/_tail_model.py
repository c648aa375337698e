"""Model a loaded service with stragglers on the virtual clock."""

from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from burdockmill.core import make_engine
from burdockmill.errors import Ran
from burdockmill.messages.actions import Answer, SearchAnswer
from burdockmill.messages.events import (
    HealthRead,
    RequestReceived,
    RulesAccepted,
    UpstreamAnswered,
    UpstreamFailed,
)
from burdockmill.messages.peer import NO_BODY, Reason
from burdockmill.policies.hedging_policy import NoHedging
from burdockmill.policies.random_placement import RandomPlacement
from burdockmill.rules.model import (
    Completion,
    RequestKind,
    RuleSet,
    ServiceRule,
    ShardRule,
    UpstreamRule,
)
from burdockmill.slots import SLOT_COUNT, SlotRange
from burdockmill.standins.virtual_fleet import LinkModel, UpstreamModel, VirtualFleet
from burdockmill.tables.rows import MemberRow

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockmill.messages.actions import (
        CancelAtUpstream,
        ReadHealth,
        SendToUpstream,
    )
    from burdockmill.names import DomainId, HostId, UpstreamId

SERVICE = "search"
DOMAINS = ("d0", "d1", "d2")
REPLICAS = 3
SLOTS_PER_UPSTREAM = 2
MEDIAN_MS = 8.0
SIGMA = 0.5
MEAN_MS = MEDIAN_MS * math.exp(SIGMA * SIGMA / 2)
STRAGGLER_FRACTION = 0.01
STRAGGLER_FACTOR = 10.0
SLOW_EVERY = 50
SLOW_FACTOR = 20.0
CANCEL_MS = 0.5
STARTUP_MS = 100.0
DRAIN_MS = 10_000.0
DEADLINE_MS = 6_000.0
DEFAULT_SOFT_DEADLINE_MS = 80


class Scenario(NamedTuple):
    """Describe one run; `load` is a fraction of the upstreams' capacity.

    With `burdockmill_policies` false, hosts pick random replicas and send no hedges.
    """

    shards: int
    load: float
    queries: int
    warm_up: int
    seed: int = 1
    has_stragglers: bool = True
    burdockmill_policies: bool = True
    hedge_fraction: float = 0.05
    soft_deadline_ms: int | None = None
    deadline_ms: float = DEADLINE_MS
    domain_delay_ms: float = 0.5


class Outcome(NamedTuple):
    """Store latencies, mean coverage, and extra attempts as a share of first ones."""

    latencies_ms: list[float]
    coverage: float
    extra_load: float

    def percentile(self, fraction: float) -> float:
        """Return a percentile of the latencies in milliseconds."""
        ordered = sorted(self.latencies_ms)
        return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


class DomainLink(LinkModel):
    """Delay messages between hosts, one per domain, or drop them in a partition."""

    def __init__(self, domain_delay_ms: float) -> None:
        self.domain_delay_ms = domain_delay_ms
        self.partitioned: set[HostId] = set()

    def delays_ms(
        self, rng: random.Random, sender: HostId, receiver: HostId
    ) -> tuple[float, ...]:
        """Return the delay, or none between a partitioned host and the others."""
        if (sender in self.partitioned) != (receiver in self.partitioned):
            return ()
        return (self.domain_delay_ms,)


class LoadedUpstreams(UpstreamModel):
    """Answer after log-normal times; some attempts and upstreams are far slower."""

    def __init__(self, has_stragglers: bool, seed: int) -> None:
        self._has_stragglers = has_stragglers
        self._rng = random.Random(seed)
        self._open: dict[tuple[HostId, str, int], SendToUpstream] = {}
        self.slow: set[UpstreamId] = set()
        self.removed: set[UpstreamId] = set()
        self.snapshots_by_upstream: dict[UpstreamId, tuple[int, ...]] = {}
        self.sent = 0

    def send(self, fleet: VirtualFleet, host: HostId, send: SendToUpstream) -> None:
        """Answer an attempt after its service time; a removed upstream fails it."""
        self.sent += 1
        key = (host, send.request_id, send.attempt)
        self._open[key] = send
        at_ms = fleet.clock.now_ms() + self._service_ms(send.upstream)
        if send.upstream in self.removed:
            late_ms = fleet.clock.now_ms() + CANCEL_MS
            fleet.call_at(late_ms, lambda: self._fail(fleet, key, "connect_failed"))
            return
        fleet.call_at(at_ms, lambda: self._answer(fleet, key))

    def cancel(
        self, fleet: VirtualFleet, host: HostId, cancel: CancelAtUpstream
    ) -> None:
        """End the attempt as cancelled after a short delay."""
        key = (host, cancel.request_id, cancel.attempt)
        at_ms = fleet.clock.now_ms() + CANCEL_MS
        fleet.call_at(at_ms, lambda: self._fail(fleet, key, "cancelled"))

    def read_health(self, fleet: VirtualFleet, host: HostId, read: ReadHealth) -> None:
        """Report the snapshots of an upstream, or a failed read once it is removed."""
        shown = self.snapshots_by_upstream.get(read.upstream, (1,))
        snapshots = None if read.upstream in self.removed else shown
        event = HealthRead(read.upstream, "i1", snapshots, False)
        fleet.call_at(fleet.clock.now_ms() + 1.0, lambda: fleet.post(host, event))

    def _service_ms(self, upstream: UpstreamId) -> float:
        took_ms = self._rng.lognormvariate(math.log(MEDIAN_MS), SIGMA)
        late = self._rng.random() < STRAGGLER_FRACTION
        if not self._has_stragglers:
            return took_ms
        if late:
            took_ms *= STRAGGLER_FACTOR
        return took_ms * SLOW_FACTOR if upstream in self.slow else took_ms

    def _answer(self, fleet: VirtualFleet, key: tuple[HostId, str, int]) -> None:
        send = self._open.pop(key, None)
        if send is None:
            return
        shown = self.snapshots_by_upstream.get(send.upstream, (1,))
        if send.upstream in self.removed or send.snapshot not in shown:
            self._open[key] = send
            self._fail(fleet, key, "snapshot_gone")
            return
        answered = UpstreamAnswered(
            send.request_id,
            send.attempt,
            send.upstream,
            send.snapshot,
            (send.slots,),
            0,
            [],
            NO_BODY,
            True,
            shown,
            False,
        )
        fleet.post(key[0], answered)

    def _fail(
        self, fleet: VirtualFleet, key: tuple[HostId, str, int], reason: str
    ) -> None:
        send = self._open.pop(key, None)
        if send is None:
            return
        failed = UpstreamFailed(
            send.request_id, send.attempt, send.upstream, Reason(reason), Ran.UNKNOWN
        )
        fleet.post(key[0], failed)


class LoadedFleet:
    """Run one host per failure domain, both entry and owner, under Poisson load."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.upstreams = LoadedUpstreams(scenario.has_stragglers, scenario.seed)
        self.link = DomainLink(scenario.domain_delay_ms)
        self.fleet = VirtualFleet(scenario.seed, self.upstreams, self.link)
        self.rules = self.make_rules()
        self.on_warmed_up: Callable[[], None] | None = None
        self._first_attempts_before = 0
        self._sent_ms_by_id: dict[str, float] = {}
        self._start()

    @property
    def capacity_per_ms(self) -> float:
        """Return how many queries a millisecond the upstreams can serve."""
        return REPLICAS * SLOTS_PER_UPSTREAM / MEAN_MS

    def run(self) -> Outcome:
        """Send all queries and return the outcome of those after the warm-up."""
        scenario, fleet = self.scenario, self.fleet
        rng = random.Random(scenario.seed + 1)
        per_ms = scenario.load * self.capacity_per_ms
        at_ms = fleet.clock.now_ms()
        for number in range(scenario.warm_up + scenario.queries):
            at_ms += rng.expovariate(per_ms)
            fleet.call_at(at_ms, lambda n=number: self._send_query(n))  # type: ignore[misc]
            if number == scenario.warm_up:
                fleet.call_at(at_ms, self._finish_warm_up)
        fleet.run_until(at_ms + DRAIN_MS)
        return self._outcome()

    def _finish_warm_up(self) -> None:
        self.upstreams.sent = 0
        self._first_attempts_before = self._first_attempts()
        if self.on_warmed_up is not None:
            self.on_warmed_up()

    def _first_attempts(self) -> int:
        engines = self.fleet.engine_by_host.values()
        return sum(one.world.counter_by_name["first_attempts"] for one in engines)

    def _send_query(self, number: int) -> None:
        fleet = self.fleet
        now_ms = fleet.clock.now_ms()
        request_id = f"{number}"
        self._sent_ms_by_id[request_id] = now_ms
        request = RequestReceived(
            request_id,
            RequestKind.SEARCH,
            SERVICE,
            "caller",
            now_ms + self.scenario.deadline_ms,
            10,
            "",
            msgspec.Raw(b"{}"),
        )
        fleet.post(f"h{number % len(DOMAINS)}", request)

    def _outcome(self) -> Outcome:
        latencies, covered = [], 0.0
        for received in self.fleet.answers:
            answer: Answer = received.answer
            if int(answer.request_id) < self.scenario.warm_up:
                continue
            latencies.append(received.at_ms - self._sent_ms_by_id[answer.request_id])
            if isinstance(answer.result, SearchAnswer):
                covered += answer.result.coverage["covered"] / SLOT_COUNT
        first = self._first_attempts() - self._first_attempts_before
        extra = self.upstreams.sent / first - 1.0
        return Outcome(latencies, covered / len(latencies), extra)

    def _start(self) -> None:
        scenario, fleet = self.scenario, self.fleet
        host_domains = {f"h{i}": domain for i, domain in enumerate(DOMAINS)}
        for host, domain in host_domains.items():
            fleet.add_host(host, domain)
            if not scenario.burdockmill_policies:
                self._use_plain_policies(host, domain)
            world = fleet.engine_by_host[host].world
            for other, other_domain in host_domains.items():
                world.member_by_host[other] = MemberRow(
                    other, other_domain, "r", "10.0.0.1:1"
                )
            world.members_version += 1
        for host in host_domains:
            fleet.post(host, RulesAccepted(self.rules, "measurement"))
        fleet.run_until(STARTUP_MS)

    def _use_plain_policies(self, host: HostId, domain: DomainId) -> None:
        rng = random.Random(f"{self.scenario.seed}-{host}")
        engine = make_engine(host, domain, rng, RandomPlacement(), NoHedging())
        self.fleet.engine_by_host[host] = engine

    def make_rules(self) -> RuleSet:
        """Return the rules of one service, each shard on upstreams of its own."""
        shards: list[ShardRule] = []
        upstreams: dict[UpstreamId, UpstreamRule] = {}
        count = self.scenario.shards
        edges = [SLOT_COUNT * i // count for i in range(count + 1)]
        for i in range(count):
            names = tuple(f"u{i}-{domain}" for domain in DOMAINS)
            slots = SlotRange(edges[i], edges[i + 1] - 1)
            shards.append(ShardRule(f"s{i}", "Bench", SERVICE, slots, names))
            for name, domain in zip(names, DOMAINS, strict=True):
                number = len(upstreams)
                if number % SLOW_EVERY == SLOW_EVERY // 2:
                    self.upstreams.slow.add(name)
                address = f"10.0.0.1:{number % 60000 + 1}"
                upstreams[name] = UpstreamRule(
                    name, "Bench", domain, address, SLOTS_PER_UPSTREAM, 25, 6
                )
        soft_deadline_ms = self.scenario.soft_deadline_ms
        service = ServiceRule(
            SERVICE,
            "Bench",
            completion=Completion.LATENCY if soft_deadline_ms else Completion.COVERAGE,
            soft_deadline_ms=soft_deadline_ms or DEFAULT_SOFT_DEADLINE_MS,
            hedge_fraction=self.scenario.hedge_fraction,
        )
        by_service = {SERVICE: tuple(shards)}
        return RuleSet(1, {SERVICE: service}, upstreams, by_service, {}, {}, {})


def run(scenario: Scenario) -> Outcome:
    """Run one scenario on a new fleet."""
    return LoadedFleet(scenario).run()
