"""Compare choices of an upstream where requests cost different work."""

from __future__ import annotations

import time

from burdockmill.forwarding.messages import (
    AttemptEnd,
    AttemptOutcome,
    Registration,
    StatedLoad,
)
from burdockmill.policies.cost_estimate import RequestClass
from measure._cost_replay import CHOICES, REGIONS, SCENARIOS, CostReplay, Host, Scenario
from measure.records import Figure, write_records

HOST_COUNTS = (3, 24, 195)
# Each host gets enough requests to learn from, and the whole replay has an upper bound.
REQUESTS_BY_HOSTS = {3: 6_000, 24: 8_000, 195: 16_000}
SEEDS_BY_HOSTS = {3: (1, 2), 24: (1, 2), 195: (1,)}
ALL_CHOICES = (*CHOICES, "new_without_stated_load")
DECISIONS = 10_000
MICROSECONDS_PER_SECOND = 1e6


def main() -> None:
    """Replay each scenario with each choice, and write the records."""
    figures = []
    for hosts in HOST_COUNTS:
        for scenario in SCENARIOS:
            figures.extend(_figures_of(scenario, hosts))
    today_us = _decision_us("today")
    for choice in ALL_CHOICES:
        name = f"decision_{choice}"
        figures.append(Figure(name, _decision_us(choice), "us of processor", today_us))
    write_records("costs", figures)


def _figures_of(scenario: Scenario, hosts: int) -> list[Figure]:
    """Return the mean and the 99th percentile of each choice; the baseline is today."""
    mean_ms, late_ms = {}, {}
    for choice in ALL_CHOICES:
        took_ms = sorted(
            one
            for seed in SEEDS_BY_HOSTS[hosts]
            for one in CostReplay(
                scenario, choice, hosts, REQUESTS_BY_HOSTS[hosts], seed
            )
            .run()
            .took_ms
        )
        mean_ms[choice] = sum(took_ms) / len(took_ms)
        late_ms[choice] = took_ms[int(0.99 * len(took_ms))]
    # The target: no worse than today, also where costs cannot be foretold.
    goal = f"<= {mean_ms['today']:.4f}"
    figures = []
    for choice in ALL_CHOICES:
        name = f"{scenario.name}_{hosts}_hosts_{choice}"
        is_new = choice == "new"
        figures.append(
            Figure(
                f"{name}_mean",
                mean_ms[choice],
                "ms",
                mean_ms["today"],
                goal if is_new else None,
            )
        )
        figures.append(Figure(f"{name}_p99", late_ms[choice], "ms", late_ms["today"]))
    return figures


def _decision_us(choice: str) -> float:
    """Return the processor time of a decision among three upstreams that are known."""
    host = Host(choice, 0, 1, sorted(REGIONS)[0])
    replicas = [
        Registration(f"u-{domain}", "s", "", domain, 4, False, 0.0, 1)
        for domain in sorted(REGIONS)
    ]
    load = StatedLoad(3, 1, 4) if choice == "new" else None
    outcome = AttemptOutcome(AttemptEnd.ANSWERED, load=load)
    for number in range(600):
        replica = replicas[number % 3]
        observation = host.observations.of(replica.upstream)
        request = RequestClass("s", ("cheap", "dear")[number % 2], number % 40)
        observation.started(number, 10.0 * number)
        host.observations.costs.ended(
            observation,
            number,
            replica,
            request,
            outcome,
            10.0 * number + 9.0 + 20.0 * (number % 2),
            host.expected.is_near(replica),
        )
    request = RequestClass("s", "dear", 3)
    begun_s = time.process_time()
    for _ in range(DECISIONS):
        host.choose(replicas, request, 6_020.0)
    return (time.process_time() - begun_s) / DECISIONS * MICROSECONDS_PER_SECOND


if __name__ == "__main__":
    main()
