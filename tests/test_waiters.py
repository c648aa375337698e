from collections import Counter

import pytest

from burdockmill._action_runner import ActionRunner
from burdockmill._graceful_stop import GracefulStop
from burdockmill._waiters import Waiters
from burdockmill.clock import MonotonicClock
from burdockmill.decision_log import DecisionLog
from burdockmill.errors import OverloadedError, Ran, StoppingError
from burdockmill.messages.actions import Answer, FetchAnswer, LogDecision
from burdockmill.messages.peer import NO_BODY, Part, Reason, WorkRequest
from burdockmill.rules.model import RequestKind
from burdockmill.slots import FULL_RANGE

FOUND = FetchAnswer("LR-1", NO_BODY)


class FakeSettings:
    balancer_lag_ms = 0
    stop_grace_ms = 0


class FakeWork:
    """Fake the engine and the client of peers."""

    def __init__(self, open_work=0):
        self.work = open_work
        self.is_idle = True

    def open_work(self):
        return self.work


class FakeListener:
    def __init__(self, name, steps):
        self._name = name
        self._steps = steps

    async def stop_accepting(self):
        self._steps.append(self._name)


def make_stop(waiters, work):
    return GracefulStop(FakeSettings(), MonotonicClock(), work, waiters, work)


async def test_requests_above_the_limit_are_refused_until_one_has_ended():
    waiters = Waiters(limit=1)
    waiters.open("r1")
    with pytest.raises(OverloadedError) as raised:
        waiters.open("r2")
    assert (raised.value.ran, raised.value.retry_after_ms is not None) == (Ran.NO, True)
    waiters.close("r1")
    waiters.open("r2")
    assert len(waiters) == 1


async def test_request_gets_its_first_result_only():
    waiters = Waiters(limit=2)
    waiter = waiters.open("r1")
    waiters.complete(Answer("r1", FOUND))
    waiters.complete(Answer("r1", FetchAnswer("other", NO_BODY)))
    waiters.complete(Answer("unknown", FOUND))
    assert await waiter == FOUND


async def test_stop_fails_requests_that_exceed_the_grace_time():
    waiters, steps = Waiters(limit=2), []
    waiter = waiters.open("r1")
    stop = make_stop(waiters, FakeWork())
    callers = FakeListener("callers", steps)
    task_done = []
    waiter.add_done_callback(lambda _: (task_done.append(1), waiters.close("r1")))
    await stop.run(callers, FakeListener("peers", steps))
    error = await waiter
    assert isinstance(error, StoppingError)
    assert error.ran == Ran.UNKNOWN
    assert (steps, stop.refuses_all) == (["callers", "peers"], True)


def test_refusal_of_a_stopping_host_says_that_no_part_ran():
    parts = [Part(n, f"u{n}", "leave-0", FULL_RANGE) for n in (1, 2)]
    request = WorkRequest(
        "r1", RequestKind.SEARCH, "s", "c", 7, 100.0, 1, "", NO_BODY, parts
    )
    refusal = make_stop(Waiters(1), FakeWork()).build_refusal(request)
    assert [one.attempt for one in refusal.outcomes] == [1, 2]
    assert {(one.ran, one.reason) for one in refusal.outcomes} == {
        (Ran.NO, Reason.NOT_OWNER)
    }


async def test_failed_action_does_not_prevent_the_next():
    waiters, counts = Waiters(limit=1), Counter()
    waiter = waiters.open("r1")

    class FailingLog(DecisionLog):
        def add(self, made, at_ms):
            raise ValueError("full")

    runner = ActionRunner(None, None, None, waiters, FailingLog(), None, counts)
    runner.run([LogDecision("route", "r1", "u", "near"), Answer("r1", FOUND)], 1.0)
    assert counts["actions_failed"] == 1
    assert await waiter == FOUND
