"""Measure goodput, retries, recovery and fairness under overload and failure."""

from __future__ import annotations

from typing import TYPE_CHECKING

from measure._overload_load import (
    Outcome,
    arrivals,
    count_between,
    goodput,
    p99_ms,
    split_evenly,
    success_share,
)
from measure._overload_owners import run_owners
from measure._overload_pools import run_pools
from measure._overload_server import CLUBROLL, PLANNER, Server, Shape
from measure.records import Figure, write_records

if TYPE_CHECKING:
    from collections.abc import Callable

    RunLoad = Callable[..., Outcome]

SEED = 5
WARM_UP_MS = 2_000.0
LOADS = (0.5, 1.0, 2.0, 5.0)
UNTIL_MS_BY_SHAPE = {PLANNER: 7_000.0, CLUBROLL: 8_000.0}
BUSY_LOAD = 0.7
FAIL_FROM_MS, FAIL_UNTIL_MS, FAILURE_RUN_MS = 3_000.0, 7_000.0, 14_000.0
WINDOW_MS = 500.0
RECOVERED_SHARE = 0.9
FLOODING_CALLER, QUIET_LOAD, FLOOD_LOAD = "flood", 0.2, 2.0
QUIET_CALLERS = ("a", "b", "c")


def main() -> None:
    """Measure hosts with owners beside hosts with own pools, and write the records."""
    figures = [*_goodput_figures(), *_failure_figures(), *_fairness_figures()]
    write_records("overload", figures)


def _goodput_figures() -> list[Figure]:
    figures: list[Figure] = []
    for load in LOADS:
        figures.extend(_goodput_rows(PLANNER, load, ""))
        figures.extend(_goodput_rows(CLUBROLL, load, "_clubroll"))
    return figures


def _goodput_rows(shape: Shape, load: float, suffix: str) -> list[Figure]:
    until_ms = UNTIL_MS_BY_SHAPE[shape]
    offered = arrivals(shape, split_evenly(load), until_ms, SEED)
    ours, theirs = (
        run_owners(shape, offered, SEED),
        run_pools(shape, offered, SEED),
    )
    good, p99, shed = [], [], []
    for outcome in (ours, theirs):
        good.append(goodput(shape, outcome.served, WARM_UP_MS, until_ms))
        p99.append(p99_ms(outcome.served, WARM_UP_MS))
        shed.append(1_000 * outcome.shed_count / len(offered))
    label = f"{load:g}x{suffix}"
    goal = ">= 0.9" if load >= 2.0 else None
    capacity = "share of capacity"
    return [
        Figure(f"overload.goodput_{label}", good[0], capacity, good[1], goal, SEED),
        Figure(f"overload.p99_ms_{label}", p99[0], "ms", p99[1], None, SEED),
        Figure(
            f"overload.shed_per_1000_{label}", shed[0], "per 1000", shed[1], None, SEED
        ),
    ]


def _failure_figures() -> list[Figure]:
    half = _failure_rows(0.5)[0]
    name = "overload.half_failure_amplification"
    return [*_failure_rows(1.0), half._replace(name=name)]


def _failure_rows(failing_share: float) -> list[Figure]:
    shape = PLANNER
    load = arrivals(shape, split_evenly(BUSY_LOAD), FAILURE_RUN_MS, SEED)
    events = (
        (FAIL_FROM_MS, lambda servers: _set_failing(servers, failing_share)),
        (FAIL_UNTIL_MS, lambda servers: _set_failing(servers, 0.0)),
    )
    ours = run_owners(shape, load, SEED, events)
    theirs = run_pools(shape, load, SEED, events)
    requests = count_between(
        (arrival.at_ms for arrival in load), FAIL_FROM_MS, FAIL_UNTIL_MS
    )
    amplification, peak, recovery = [], [], []
    for outcome in (ours, theirs):
        received = outcome.received_at_ms
        window = count_between(received, FAIL_FROM_MS, FAIL_UNTIL_MS)
        amplification.append(window / requests)
        peak.append(_peak_load(shape, received))
        recovery.append(_recovery_ms(shape, outcome))
    return [
        Figure(
            "overload.failure_amplification",
            amplification[0],
            "attempts per request",
            amplification[1],
            "<= 1.1",
            SEED,
        ),
        Figure(
            "overload.recovery_peak",
            peak[0],
            "share of capacity",
            peak[1],
            "<= 1",
            SEED,
        ),
        Figure("overload.recovery_ms", recovery[0], "ms", recovery[1], None, SEED),
    ]


def _set_failing(servers: dict[str, Server], failing_share: float) -> None:
    for server in servers.values():
        server.failing_share = failing_share


def _peak_load(shape: Shape, received_at_ms: list[float]) -> float:
    capacity = shape.capacity_per_ms * WINDOW_MS
    counts = [
        count_between(received_at_ms, from_ms, from_ms + WINDOW_MS)
        for from_ms in _windows_after_failure()
    ]
    return max(counts) / capacity


def _recovery_ms(shape: Shape, outcome: Outcome) -> float:
    for from_ms in _windows_after_failure():
        until_ms = from_ms + WINDOW_MS
        rows = [
            row for row in outcome.served if from_ms <= row.arrival.at_ms < until_ms
        ]
        good = sum(row.took_ms is not None for row in rows)
        if good >= RECOVERED_SHARE * len(rows):
            return from_ms - FAIL_UNTIL_MS
    return FAILURE_RUN_MS - FAIL_UNTIL_MS


def _windows_after_failure() -> list[float]:
    count = int((FAILURE_RUN_MS - FAIL_UNTIL_MS) / WINDOW_MS)
    return [FAIL_UNTIL_MS + index * WINDOW_MS for index in range(count)]


def _fairness_figures() -> list[Figure]:
    shape = PLANNER
    quiet = dict.fromkeys(QUIET_CALLERS, QUIET_LOAD)
    until_ms = UNTIL_MS_BY_SHAPE[shape]
    alone = arrivals(shape, quiet, until_ms, SEED)
    flooded = arrivals(shape, quiet | {FLOODING_CALLER: FLOOD_LOAD}, until_ms, SEED)
    shares = []
    for run in (run_owners, run_pools):
        before = success_share(
            run(shape, alone, SEED).served, QUIET_CALLERS, WARM_UP_MS
        )
        during = success_share(
            run(shape, flooded, SEED).served, QUIET_CALLERS, WARM_UP_MS
        )
        shares.append(during / before)
    unit = "success of the others against alone"
    return [
        Figure("overload.fairness", shares[0], unit, shares[1], ">= 0.95", SEED),
    ]


if __name__ == "__main__":
    main()
