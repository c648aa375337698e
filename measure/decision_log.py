"""Measure the cost of batched decision log lines against one log call each."""

from __future__ import annotations

import io
import time
from typing import TYPE_CHECKING

from loguru import logger

from burdockmill.decision import Decision
from burdockmill.decision_log import DecisionLog
from burdockmill.logs import render, set_up_logs
from burdockmill.messages.actions import LogDecision
from measure.records import Figure, write_records

if TYPE_CHECKING:
    from collections.abc import Callable

SHARDS = 1_200
ROUNDS = 15
MICROSECONDS_PER_SECOND = 1_000_000


def main() -> None:
    """Record the processor time of a decision logged in a batch and by its own call."""
    set_up_logs("text", "INFO", io.StringIO())
    decisions = [
        LogDecision("route", "r1", f"s{n} to u{n} by entry-1", "near", ("a", "b"))
        for n in range(SHARDS)
    ]
    call_each_us = _best_us(lambda: _log_each(decisions))
    batch_us = _best_us(lambda: _log_batch(decisions))
    figure = Figure("log.cpu_us_a_decision", batch_us, "us", baseline=call_each_us)
    ratio = Figure("log.cost_ratio", batch_us / call_each_us, "ratio", baseline=1.0)
    write_records("decision_log", [figure, ratio])


def _log_each(decisions: list[LogDecision]) -> None:
    for one in decisions:
        logger.bind(part=one.part, request_id=one.request_id).info(
            render(Decision(1.0, *one))
        )


def _log_batch(decisions: list[LogDecision]) -> None:
    log = DecisionLog()
    for one in decisions:
        log.add(one, 1.0)
    log.flush()


def _best_us(work: Callable[[], None]) -> float:
    best = float("inf")
    for _ in range(ROUNDS):
        started = time.process_time()
        work()
        best = min(best, time.process_time() - started)
    return best * MICROSECONDS_PER_SECOND / SHARDS


if __name__ == "__main__":
    main()
