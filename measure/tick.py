"""Measure how the cost of an engine tick grows with idle upstreams."""

from __future__ import annotations

import random
import statistics
import time
from typing import TYPE_CHECKING

from burdockmill.core import make_engine
from burdockmill.messages.events import HealthRead, RulesAccepted
from burdockmill.rules.model import RuleSet, ServiceRule, ShardRule, UpstreamRule
from burdockmill.slots import FULL_RANGE
from burdockmill.tables.rows import MemberRow
from measure.records import Figure, write_records

if TYPE_CHECKING:
    from burdockmill.engine import Engine

SIZES = (10, 1_000, 10_000)
BUSY = "u0"
ROUNDS = 40
TICKS_PER_ROUND = 500
TICK_MS = 10.0


def main() -> None:
    """Time the same ticks on tables of several sizes, in alternating rounds."""
    engine_by_size = {size: _make_engine(size) for size in SIZES}
    times_by_size: dict[int, list[float]] = {size: [] for size in SIZES}
    for _ in range(ROUNDS):
        for size, engine in engine_by_size.items():
            times_by_size[size].append(_time_round(engine))
    cost = {size: statistics.median(times) for size, times in times_by_size.items()}
    figures = [
        Figure(f"tick.cost_ratio_{size}_to_10", cost[size] / cost[10], "", 1.0, goal)
        for size, goal in ((1_000, "<= 1.2"), (10_000, "<= 1.2"))
    ]
    cost_us = cost[10] * 1e6 / TICKS_PER_ROUND
    write_records("tick", [*figures, Figure("tick.cost_us_10", cost_us, "us")])


def _time_round(engine: Engine) -> float:
    health = HealthRead(BUSY, "i1", (1,), False)
    started = time.process_time()
    for _ in range(TICKS_PER_ROUND):
        engine.post(health)
        engine.tick(TICK_MS)
        engine.next_due_ms()
    return time.process_time() - started


def _make_engine(size: int) -> Engine:
    engine = make_engine("h0", "d0", random.Random(1))
    engine.world.member_by_host["h0"] = MemberRow("h0", "d0", "r", "10.0.0.1:1")
    names = [f"u{number}" for number in range(size)]
    upstreams = {
        name: UpstreamRule(name, "Bench", "d0", "10.0.0.1:1", 2, 25) for name in names
    }
    shards = (ShardRule("s", "Bench", "search", FULL_RANGE, (BUSY,)),)
    service = {"search": ServiceRule("search", "Bench")}
    rules = RuleSet(1, service, upstreams, {"search": shards}, {}, {}, {})
    engine.post(RulesAccepted(rules, "measurement"))
    engine.tick(0.0)
    for name in names:
        engine.post(HealthRead(name, "i1", (1,), False))
    engine.tick(TICK_MS)
    return engine


if __name__ == "__main__":
    main()
