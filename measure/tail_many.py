"""Measure the tail latency of searches over 1,200 shards with stragglers."""

from __future__ import annotations

from concurrent.futures import ProcessPoolExecutor

from measure._tail_model import Scenario
from measure.records import write_records
from measure.tail import (
    BUSY_LOAD,
    PROCESSES,
    QUIET_LOAD,
    SEED,
    PolicyOutcomes,
    figures_of,
    start_comparison,
)

SCENARIO_1200_SHARDS = Scenario(
    shards=1_200, load=QUIET_LOAD, queries=120, warm_up=150, seed=SEED
)


def main() -> None:
    """Run the quiet and the busy load and write the records."""
    scenario_by_name = {
        "1200": SCENARIO_1200_SHARDS,
        "1200_busy": SCENARIO_1200_SHARDS._replace(
            load=BUSY_LOAD, queries=60, warm_up=100
        ),
    }
    with ProcessPoolExecutor(PROCESSES) as pool:
        futures_by_comparison = {
            name: start_comparison(pool, one) for name, one in scenario_by_name.items()
        }
        done = {
            name: PolicyOutcomes(*(future.result() for future in futures))
            for name, futures in futures_by_comparison.items()
        }
    write_records("tail_many", figures_of(done))


if __name__ == "__main__":
    main()
