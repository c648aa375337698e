"""Measure searches at the sizes of two deployments, healthy and with faults."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from burdockmill.messages.events import RulesAccepted
from burdockmill.rules.model import (
    Completion,
    RuleSet,
    ServiceRule,
    ShardRule,
    UpstreamRule,
)
from burdockmill.slots import SLOT_COUNT, SlotRange
from measure._tail_model import DOMAINS, MEAN_MS, SERVICE, LoadedFleet, Scenario
from measure.records import Figure, write_records

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockmill.names import HostId

SEED = 1
LOAD = 0.3
CLIENT_ONE_WAY_MS = 3.0
DEADLINE_MS = 800.0
QUERIES = 1_000
WARM_UP = 200
SHARDS = 3
SHARDS_AFTER_SPLIT = 5
STEP_INTERVAL_MS = 300.0
P50, P99, P999 = 0.5, 0.99, 0.999


class Shape(NamedTuple):
    """Describe a service of a deployment; three upstreams, one per domain."""

    name: str
    slots: int
    region_delay_ms: float
    completion: Completion


SHAPES = (
    Shape("urlopownia_planner", 2, 12.0, Completion.COVERAGE),
    Shape("highveld_fieldfinder", 2, 20.0, Completion.LATENCY),
    Shape("highveld_clubroll", 6, 20.0, Completion.LATENCY),
)


class DeployedFleet(LoadedFleet):
    """Run one service whose shards share three upstreams in three regions."""

    def __init__(self, shape: Shape, burdockmill_policies: bool) -> None:
        self._shape = shape
        scenario = Scenario(
            SHARDS,
            LOAD,
            QUERIES,
            WARM_UP,
            SEED,
            burdockmill_policies=burdockmill_policies,
            deadline_ms=DEADLINE_MS,
            domain_delay_ms=shape.region_delay_ms,
        )
        super().__init__(scenario)
        self.upstreams.slow.clear()

    @property
    def capacity_per_ms(self) -> float:
        """Return how many queries a millisecond the upstreams can serve."""
        return len(DOMAINS) * self._shape.slots / (SHARDS * MEAN_MS)

    def make_rules(self, revision: int = 1, count: int = SHARDS) -> RuleSet:
        """Return the rules with the key space split into `count` shards."""
        shape = self._shape
        names = tuple(f"u-{domain}" for domain in DOMAINS)
        edges = [SLOT_COUNT * i // count for i in range(count + 1)]
        shards = tuple(
            ShardRule(
                f"s{revision}-{i}",
                "Bench",
                SERVICE,
                SlotRange(edges[i], edges[i + 1] - 1),
                names,
            )
            for i in range(count)
        )
        upstreams = {
            name: UpstreamRule(name, "Bench", domain, "10.0.0.1:1", shape.slots, 25, 6)
            for name, domain in zip(names, DOMAINS, strict=True)
        }
        service = ServiceRule(SERVICE, "Bench", completion=shape.completion)
        by_service = {SERVICE: shards}
        return RuleSet(revision, {SERVICE: service}, upstreams, by_service, {}, {}, {})


def lose_replica(fleet: DeployedFleet) -> None:
    """Remove one of the three upstreams permanently."""
    fleet.upstreams.removed.add("u-d1")


def partition_domain(fleet: DeployedFleet) -> None:
    """Drop all messages between one domain and the others."""
    fleet.link.partitioned.add("h2")


def roll_over(fleet: DeployedFleet) -> None:
    """Add a new snapshot to one upstream after another, then remove the old one."""
    now_ms = fleet.fleet.clock.now_ms()
    for snapshots, first in (((1, 2), 0), ((2,), len(DOMAINS))):
        for step, domain in enumerate(DOMAINS, first):
            name, shown = f"u-{domain}", snapshots

            def change(name: str = name, shown: tuple[int, ...] = shown) -> None:
                fleet.upstreams.snapshots_by_upstream[name] = shown

            fleet.fleet.call_at(now_ms + step * STEP_INTERVAL_MS, change)


def split_shards(fleet: DeployedFleet) -> None:
    """Post rules that split the key space into more shards to one host at a time."""
    rules = fleet.make_rules(2, SHARDS_AFTER_SPLIT)
    now_ms = fleet.fleet.clock.now_ms()
    hosts: list[HostId] = list(fleet.fleet.engine_by_host)
    for step, host in enumerate(hosts):
        event = RulesAccepted(rules, "measurement")

        def post_rules(host: HostId = host, event: RulesAccepted = event) -> None:
            fleet.fleet.post(host, event)

        fleet.fleet.call_at(now_ms + step * STEP_INTERVAL_MS, post_rules)


FAULT_BY_NAME: dict[str, Callable[[DeployedFleet], None] | None] = {
    "healthy": None,
    "replica_lost": lose_replica,
    "domain_cut": partition_domain,
    "roll_over": roll_over,
    "repartition": split_shards,
}


def main() -> None:
    """Run each service with each fault and write the records.

    The baseline is the plain policies: random replicas and no hedges.
    """
    figures: list[Figure] = []
    for shape in SHAPES:
        for name, fault in FAULT_BY_NAME.items():
            figures += _figures(shape, name, fault)
    write_records("deployments", figures)


def _figures(
    shape: Shape, name: str, fault: Callable[[DeployedFleet], None] | None
) -> list[Figure]:
    outcomes = []
    for burdockmill_policies in (True, False):
        fleet = DeployedFleet(shape, burdockmill_policies)
        if fault is not None:
            fleet.on_warmed_up = lambda target=fleet: fault(target)
        outcomes.append(fleet.run())
    built, plain = outcomes
    label = f"{shape.name}_{name}"
    figures = [
        Figure(
            f"deployments.{part}_ms_{label}",
            built.percentile(fraction) + 2 * CLIENT_ONE_WAY_MS,
            "ms",
            plain.percentile(fraction) + 2 * CLIENT_ONE_WAY_MS,
            None,
            SEED,
        )
        for part, fraction in (("p50", P50), ("p99", P99), ("p999", P999))
    ]
    return [
        *figures,
        Figure(
            f"deployments.coverage_{label}",
            built.coverage,
            "",
            plain.coverage,
            None,
            SEED,
        ),
        Figure(
            f"deployments.extra_load_{label}",
            built.extra_load,
            "",
            plain.extra_load,
            None,
            SEED,
        ),
    ]


if __name__ == "__main__":
    main()
