"""Check that operators see which long-lived tasks have ended, and why."""

import asyncio

from burdockmill.clock import MonotonicClock
from burdockmill.supervisor import Supervisor
from tests.builders_forwarding_node import until


def status_of(supervisor, name):
    return next(one for one in supervisor.statuses() if one.name == name)


async def test_a_task_that_fails_is_counted_and_reported_with_its_cause():
    async def fail():
        raise RecursionError("too deep")

    async def wait():
        await asyncio.Event().wait()

    supervisor = Supervisor(MonotonicClock())
    supervisor.start("reader", fail())
    supervisor.start("warmer", wait())
    await until(lambda: supervisor.counts["reader_failed"], "the end is counted")
    assert status_of(supervisor, "reader").last_error == "RecursionError: too deep"
    assert not status_of(supervisor, "reader").is_running
    assert status_of(supervisor, "warmer").is_running
    await supervisor.close()
