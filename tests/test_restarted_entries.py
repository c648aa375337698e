"""Replay fuzzed sequences in which a host restarts with its clock set back."""

import random

import pytest

from burdockmill.messages.peer import SessionResponse
from burdockmill.systems._owner_sessions import OwnerSessions
from burdockmill.world import World
from tests.test_fuzz_actions import NO_FAULTS, ActionsMachine, NetworkFaults

LOSSY = NetworkFaults(lost=0.3, doubled=0.0, late_ms=0.0, reported=0.0)
ROUGH = NetworkFaults(lost=0.2, doubled=0.3, late_ms=80.0, reported=0.3)
LATE = NetworkFaults(lost=0.0, doubled=0.0, late_ms=400.0, reported=0.0)
DOUBLING = NetworkFaults(lost=0.0, doubled=0.5, late_ms=30.0, reported=0.0)
SET_BACK_MS = -40_000.0


class Replay(ActionsMachine):
    """Run the machine's steps in a fixed sequence, and its checks after each."""

    def check(self):
        self.nothing_runs_twice()
        self.nothing_is_sent_after_its_deadline()

    def send(self, host, count, deadline_in_ms, faults):
        self.send_with_faults(host, faults, deadline_in_ms, count)
        self.check()


@pytest.fixture
def replay():
    machine = Replay()
    machine.start(0)
    return machine


# Guards against an action that is sent after its deadline: a reply to an earlier
# process of the entry, whose clock was ahead, made its deadline seconds later.
def test_an_action_is_not_sent_late_after_a_reply_to_an_earlier_process(replay):
    replay.send("w1", 1, 25.0, NO_FAULTS)
    replay.restart_without_state("w1", SET_BACK_MS)
    replay.replay_message(0)
    replay.restart_host_during_requests("k1", "k1", 0.7, NO_FAULTS)
    replay.send("w1", 1, 25.0, LOSSY)
    replay.teardown()


def test_an_action_is_not_sent_late_while_messages_are_lost_doubled_and_late(replay):
    replay.send("k1", 1, 25.0, ROUGH)
    replay.time_passes(60.0)
    replay.send("w2", 3, 25.0, ROUGH)
    replay.time_passes(15.0)
    replay.send("w2", 3, 150.0, ROUGH)
    replay.time_passes(2_600.0)
    replay.pause("w1")
    replay.resume("w1", True)
    replay.send("w1", 1, 60.0, LATE)
    replay.restart_without_state("k1", 0.0)
    replay.time_passes(4.0)
    replay.pause("w2")
    replay.send("w2", 1, 500.0, DOUBLING)
    replay.change_faults(ROUGH)
    replay.time_passes(0.3)
    replay.send("w2", 1, 150.0, DOUBLING)
    replay.pause("w2")
    replay.pause("w1")
    replay.change_faults(NO_FAULTS)
    replay.restart_without_state("w1", SET_BACK_MS)
    replay.time_passes(15.0)
    replay.resume("w2", False)
    replay.send("w1", 1, 25.0, LATE)
    replay.teardown()


# Guards against a request that is never answered: its session with a host is pinned by
# a reply to an earlier process, and never asked for again.
def test_each_request_is_answered_after_replies_to_earlier_processes(replay):
    replay.send("w1", 1, 25.0, NO_FAULTS)
    replay.send("k1", 3, 25.0, NO_FAULTS)
    replay.resume("k1", True)
    replay.replay_message(0)
    replay.send("k1", 1, 25.0, NO_FAULTS)
    replay.restart_without_state("k1", 0.0)
    replay.restart_without_state("w1", SET_BACK_MS)
    replay.change_faults(LOSSY)
    replay.send("k1", 1, 25.0, NO_FAULTS)
    ticket = replay.issue_ticket("k1")
    replay.change_faults(NO_FAULTS)
    replay.replay_message(6)
    replay.send("k1", 1, 25.0, NO_FAULTS)
    replay.kill("k1")
    replay.retry_with_ticket(ticket, ["w2", "w1", "w2", "w2"], 500.0, 60.0)
    replay.send_request("k1", 60.0)
    replay.send("k1", 2, 60.0, ROUGH)
    replay.retry_with_ticket(ticket, ["w1", "w1"], 500.0, 4.0)
    replay.send_many_requests("w1", 1_500.0, 6)
    replay.restart_without_state("w2", SET_BACK_MS)
    replay.kill("k1")
    replay.kill("w2")
    replay.teardown()


def test_a_reply_to_a_request_from_the_future_is_ignored():
    world = World("h-1", "waw-a", random.Random(1))
    sessions = OwnerSessions()
    sessions.apply_response("h-2", SessionResponse("run", 50.5, 50.0), -39_912.5)
    assert sessions.find(world, "h-2", -39_912.0) is None
    sessions.apply_response("h-2", SessionResponse("run", 88.0, -39_912.5), -39_912.0)
    assert sessions.find(world, "h-2", -39_912.0) is not None
