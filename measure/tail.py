"""Measure the tail latency of searches over 48 shards with stragglers."""

from __future__ import annotations

from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

from measure._tail_model import REPLICAS, SLOW_FACTOR, Outcome, Scenario, run
from measure.records import Figure, write_records

SEED = 1
PROCESSES = 2
QUIET_LOAD, BUSY_LOAD = 0.3, 0.7
HEDGE_FRACTIONS = (0.0, 0.01, 0.02, 0.05, 0.1)
SCENARIO_48_SHARDS = Scenario(
    shards=48, load=QUIET_LOAD, queries=800, warm_up=200, seed=SEED
)
WEAKEST_SHARD_CAPACITY_SHARE = (REPLICAS - 1 + 1 / SLOW_FACTOR) / REPLICAS
P50, P99, P999 = 0.5, 0.99, 0.999


class PolicyOutcomes(NamedTuple):
    """Store the outcomes of one load under plain and under burdockmill's policies.

    The plain policies are random replicas, no hedges and waiting for all shards;
    `no_stragglers` is their outcome when no attempt or upstream is slow.
    """

    no_stragglers: Outcome
    plain: Outcome
    burdockmill: Outcome

    @property
    def ratio(self) -> float:
        """Return burdockmill's 99th percentile over that without stragglers."""
        return self.burdockmill.percentile(P99) / self.no_stragglers.percentile(P99)

    @property
    def plain_ratio(self) -> float:
        """Return the plain policies' 99th percentile over that without stragglers."""
        return self.plain.percentile(P99) / self.no_stragglers.percentile(P99)


def main() -> None:
    """Run all scenarios in a process pool and write the records."""
    compared = {
        "48": SCENARIO_48_SHARDS,
        "48_busy": SCENARIO_48_SHARDS._replace(load=BUSY_LOAD),
        "48_busy_weakest": SCENARIO_48_SHARDS._replace(
            load=BUSY_LOAD * WEAKEST_SHARD_CAPACITY_SHARE
        ),
    }
    scenario_by_name = {
        **{
            f"budget_{b:g}": SCENARIO_48_SHARDS._replace(hedge_fraction=b)
            for b in HEDGE_FRACTIONS
        },
        "latency": SCENARIO_48_SHARDS._replace(soft_deadline_ms=30),
    }
    with ProcessPoolExecutor(PROCESSES) as pool:
        futures_by_comparison = {
            name: start_comparison(pool, one) for name, one in compared.items()
        }
        future_by_name = {
            name: pool.submit(run, one) for name, one in scenario_by_name.items()
        }
        done = {
            name: PolicyOutcomes(*(future.result() for future in futures))
            for name, futures in futures_by_comparison.items()
        }
        outcome_by_name = {
            name: future.result() for name, future in future_by_name.items()
        }
    write_records(
        "tail",
        [*figures_of(done), *_curve_figures(outcome_by_name, done["48"].no_stragglers)],
    )


def start_comparison(pool: ProcessPoolExecutor, scenario: Scenario) -> list:
    """Start the three runs of a scenario, in the order of `PolicyOutcomes`."""
    plain = scenario._replace(burdockmill_policies=False)
    no_stragglers = plain._replace(has_stragglers=False)
    return [pool.submit(run, one) for one in (no_stragglers, plain, scenario)]


def figures_of(outcomes_by_name: dict[str, PolicyOutcomes]) -> list[Figure]:
    """Return the figures of each load beside those of the plain policies."""
    figures: list[Figure] = []
    for name, outcomes in outcomes_by_name.items():
        goal = "<= 1.3" if "busy" in name else "<= 1.1"
        figures += [
            Figure(
                f"tail.p99_ratio_{name}",
                outcomes.ratio,
                "",
                outcomes.plain_ratio,
                goal,
                SEED,
            ),
            Figure(
                f"tail.p99_ms_{name}",
                outcomes.burdockmill.percentile(P99),
                "ms",
                outcomes.no_stragglers.percentile(P99),
                "<= 95" if name == "1200" else None,
                SEED,
            ),
            Figure(
                f"tail.extra_load_{name}",
                outcomes.burdockmill.extra_load,
                "",
                outcomes.plain.extra_load,
                "<= 0.05",
                SEED,
            ),
            Figure(
                f"tail.coverage_{name}",
                outcomes.burdockmill.coverage,
                "",
                outcomes.plain.coverage,
                None,
                SEED,
            ),
        ]
    return figures


def _curve_figures(
    outcome_by_name: dict[str, Outcome], no_stragglers: Outcome
) -> list[Figure]:
    figures: list[Figure] = []
    for name, outcome in outcome_by_name.items():
        for label, fraction in (("p50", P50), ("p99", P99), ("p999", P999)):
            value, base = (
                outcome.percentile(fraction),
                no_stragglers.percentile(fraction),
            )
            figures.append(
                Figure(f"tail.{label}_ms_48_{name}", value, "ms", base, None, SEED)
            )
        figures += [
            Figure(f"tail.extra_load_48_{name}", outcome.extra_load, "", 0.0),
            Figure(
                f"tail.coverage_48_{name}", outcome.coverage, "", no_stragglers.coverage
            ),
        ]
    return figures


if __name__ == "__main__":
    main()
