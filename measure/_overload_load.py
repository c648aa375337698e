"""Generate the arrivals for hosts with owners and with pools, and score outcomes."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from measure._overload_server import Shape

HOSTS = 9
DEADLINE_MS = 800.0
CALLERS = ("a", "b", "c", "d")
P99_FRACTION = 0.99


class Arrival(NamedTuple):
    """Describe one request of the load."""

    number: int
    at_ms: float
    host: int
    caller: str


class Served(NamedTuple):
    """Record the result of a request; `took_ms` is None unless answered in time."""

    arrival: Arrival
    took_ms: float | None


class Outcome(NamedTuple):
    """Record one run; `received_at_ms` are the times of attempts at all upstreams."""

    served: list[Served]
    received_at_ms: list[float]
    shed_count: int


def arrivals(
    shape: Shape, load_by_caller: dict[str, float], until_ms: float, seed: int
) -> list[Arrival]:
    """Return Poisson arrivals; loads are multiples of the shape's capacity."""
    rng = random.Random(seed)
    made: list[tuple[float, int, str]] = []
    for caller, load in load_by_caller.items():
        at_ms = 0.0
        while load:
            at_ms += rng.expovariate(load * shape.capacity_per_ms)
            if at_ms >= until_ms:
                break
            made.append((at_ms, rng.randrange(HOSTS), caller))
    return [Arrival(number, *row) for number, row in enumerate(sorted(made))]


def split_evenly(load: float) -> dict[str, float]:
    """Return a load split evenly between the usual callers."""
    return dict.fromkeys(CALLERS, load / len(CALLERS))


def goodput(
    shape: Shape, served: Iterable[Served], from_ms: float, until_ms: float
) -> float:
    """Return the rate of answers in time as a share of capacity."""
    good = sum(
        row.took_ms is not None and from_ms <= row.arrival.at_ms < until_ms
        for row in served
    )
    return good / (shape.capacity_per_ms * (until_ms - from_ms))


def success_share(
    served: Iterable[Served], callers: Sequence[str], from_ms: float
) -> float:
    """Return the share of the callers' requests that were answered in time."""
    rows = [
        row
        for row in served
        if row.arrival.caller in callers and row.arrival.at_ms >= from_ms
    ]
    return sum(row.took_ms is not None for row in rows) / len(rows)


def p99_ms(served: Iterable[Served], from_ms: float) -> float:
    """Return the 99th percentile of the response times in milliseconds.

    Only requests answered in time count; without any it is the deadline.
    """
    took = sorted(
        row.took_ms
        for row in served
        if row.took_ms is not None and row.arrival.at_ms >= from_ms
    )
    return took[int(len(took) * P99_FRACTION)] if took else DEADLINE_MS


def count_between(at_ms: Iterable[float], from_ms: float, until_ms: float) -> int:
    """Return how many of the times lie in a window, its end excluded."""
    return sum(from_ms <= each < until_ms for each in at_ms)
