"""Check that each task that ends is reported with its cause, and runs again soon."""

import asyncio

import pytest
from loguru import logger

from burdockmill.clock import MonotonicClock
from burdockmill.policies import restart_backoff
from burdockmill.policies.restart_backoff import RestartBackoff
from burdockmill.supervisor import CANCELLED, RETURNED, STUCK, Supervisor
from tests.builders_forwarding_node import until


def status_of(supervisor, name):
    return next(one for one in supervisor.statuses() if one.name == name)


def task_named(name):
    return next(one for one in asyncio.all_tasks() if one.get_name() == name)


@pytest.fixture
async def supervisor():
    made = Supervisor(MonotonicClock())
    yield made
    await made.close()


@pytest.fixture
def lines():
    collected = []
    handler = logger.add(lambda message: collected.append(message.record["message"]))
    yield collected
    logger.remove(handler)


class Task:
    """End in a way for some runs, then run on."""

    def __init__(self, end, bad_runs=1):
        self.end = end
        self.bad_runs = bad_runs
        self.runs = 0

    async def run(self):
        self.runs += 1
        if self.runs <= self.bad_runs:
            return self.end()
        await asyncio.Event().wait()


def too_deep():
    raise RecursionError("too deep")


async def test_a_task_that_fails_is_counted_and_reported_with_its_cause(
    supervisor, monkeypatch
):
    monkeypatch.setattr(restart_backoff, "FIRST_WAIT_MS", 60_000.0)
    supervisor.start("reader", Task(too_deep).run)
    supervisor.start("warmer", Task(too_deep, bad_runs=0).run)
    await until(lambda: supervisor.counts["reader_failed"], "the end is counted")
    assert status_of(supervisor, "reader").last_error == "RecursionError: too deep"
    assert not status_of(supervisor, "reader").is_running
    assert status_of(supervisor, "warmer").is_running


@pytest.mark.parametrize(
    ("end", "cause"),
    [(too_deep, "RecursionError: too deep"), (lambda: None, RETURNED)],
)
async def test_a_task_that_ends_runs_again_and_keeps_the_cause(supervisor, end, cause):
    task = Task(end, bad_runs=3)
    supervisor.start("reader", task.run)
    await until(lambda: task.runs == 4, "it runs again")
    assert status_of(supervisor, "reader").is_running
    assert status_of(supervisor, "reader").last_error == cause
    assert status_of(supervisor, "reader").ends == 3


async def test_a_task_that_is_cancelled_from_outside_runs_again(supervisor):
    task = Task(too_deep, bad_runs=0)
    supervisor.start("reader", task.run)
    await until(lambda: task.runs == 1, "it runs")
    task_named("reader").cancel()
    await until(lambda: task.runs == 2, "it runs again", 1.0)
    assert status_of(supervisor, "reader").last_error == CANCELLED


async def test_a_task_that_makes_no_progress_is_left_behind(supervisor):
    runs = []
    left_behind = asyncio.Event()

    async def ignore_the_first_cancellation():
        runs.append(True)
        if len(runs) > 1:
            await asyncio.Event().wait()
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            left_behind.set()
            await asyncio.Event().wait()

    def time_left_ms():
        return 10.0 if not runs else 0.0 if len(runs) == 1 else 60_000.0

    supervisor.start("reader", ignore_the_first_cancellation, time_left_ms)
    await until(lambda: len(runs) == 2, "another one runs", 2.0)
    assert status_of(supervisor, "reader").last_error == STUCK
    assert left_behind.is_set()


async def test_the_same_cause_again_and_again_does_not_flood_the_log(
    supervisor, lines, monkeypatch
):
    monkeypatch.setattr(restart_backoff, "LONGEST_WAIT_MS", 1.0)
    task = Task(too_deep, bad_runs=50)
    supervisor.start("reader", task.run)
    await until(lambda: task.runs == 51, "it runs again")
    assert supervisor.counts["reader_failed"] == 50
    assert len([one for one in lines if "the reader task ended" in one]) == 1


async def test_a_long_cause_is_cut_in_log_and_status(supervisor, lines):
    def fail():
        raise ValueError("x" * 100_000)

    supervisor.start("reader", Task(fail).run)
    await until(lambda: supervisor.counts["reader_failed"], "the end is counted")
    assert len(status_of(supervisor, "reader").last_error) <= 200
    assert max(len(one) for one in lines) < 400


def test_single_ends_restart_at_once_and_series_of_them_back_off():
    backoff = RestartBackoff()
    assert [backoff.wait_ms(1.0) for _ in range(7)] == [
        50.0, 100.0, 200.0, 400.0, 800.0, 1_000.0, 1_000.0
    ]  # fmt: skip
    assert backoff.wait_ms(3_600_000.0) == 50.0
