"""Check that reported outcomes of actions match what the upstreams executed."""

from __future__ import annotations

import pytest

from burdockmill.errors import Ran
from burdockmill.messages.events import CallerDisconnected, HostStopping, PeerReceived
from burdockmill.messages.peer import (
    ActionCancel,
    ActionOutcome,
    ActionRequest,
    Reason,
    SessionRequest,
    WorkRequest,
)
from burdockmill.rules.model import RequestKind
from burdockmill.tables.action_records import ActionRecord, ActionRecords
from tests.builders_actions import (
    ENTRY,
    HOSTS,
    OWNER,
    LoggingUpstreams,
    ScriptedLink,
    answers_of,
    make_fleet,
    ran_of,
    request_action,
    start_host,
)


class MessageTap:
    """Record all messages; drop some types, optionally only those to one host."""

    def __init__(self, fleet, link, *dropped_types, to=None):
        self.messages = []
        self.dropped_types = dropped_types
        self._dropped_to = to
        self._link = link
        self._is_dropped = False
        fleet.on_message = self._record
        link.choose = self._delays

    def of(self, message_type):
        return [entry for entry in self.messages if isinstance(entry[2], message_type)]

    def _record(self, sender, to, message):
        self.messages.append((sender, to, message))
        self._is_dropped = isinstance(
            message, self.dropped_types
        ) and self._dropped_to in (None, to)

    def _delays(self, rng, sender, receiver):
        return () if self._is_dropped else (self._link.delay_ms,)


def make_tapped_fleet(*dropped_types, upstreams=None, to=None, replicas=("u1",)):
    link = ScriptedLink()
    fleet = make_fleet(upstreams, link, replicas=replicas)
    return fleet, MessageTap(fleet, link, *dropped_types, to=to)


def send_one_action(fleet, tap):
    """Return the message that carried one action from ENTRY to OWNER."""
    request_action(fleet, ENTRY, "probe")
    fleet.run_until(fleet.clock.now_ms() + 100)
    sender, to, message = tap.of(ActionRequest)[-1]
    assert (sender, to) == (ENTRY, OWNER)
    return message


def test_action_runs_once_and_is_reported_as_run():
    fleet = make_fleet()
    for host in HOSTS:
        request_action(fleet, host, host)
    fleet.run_until(1000)
    assert [ran_of(fleet, host) for host in HOSTS] == [Ran.YES] * 3
    assert sorted(entry.request_id for entry in fleet._upstreams.ran) == sorted(HOSTS)


def test_shed_action_is_retried_on_another_replica_then_reported_not_run():
    upstreams = LoggingUpstreams()
    fleet = make_fleet(upstreams)
    upstreams.behaviour = "refuse"
    request_action(fleet, "w1", "r")
    fleet.run_until(1000)
    assert ran_of(fleet, "r") == Ran.NO
    assert {entry.upstream for entry in upstreams.log} == {"u1", "u2"}
    assert answers_of(fleet, "r")[0].at_ms < 100


def test_sent_action_without_answer_is_unknown_and_not_retried():
    upstreams = LoggingUpstreams()
    fleet = make_fleet(upstreams)
    upstreams.behaviour = "hang"
    request_action(fleet, "w1", "r")
    fleet.run_until(1000)
    assert ran_of(fleet, "r") == Ran.UNKNOWN
    assert len(upstreams.log) == 1


def test_lost_request_is_reported_not_run_after_a_confirmed_cancellation():
    fleet, tap = make_tapped_fleet(ActionRequest)
    request_action(fleet, ENTRY, "r")
    fleet.run_until(1000)
    assert ran_of(fleet, "r") == Ran.NO
    (_, _, lost), *_ = tap.of(ActionRequest)
    fleet.post(OWNER, PeerReceived(ENTRY, lost))
    fleet.run_until(2000)
    assert fleet._upstreams.log == []


def test_request_that_arrives_after_its_confirmed_cancellation_never_runs():
    fleet, tap = make_tapped_fleet()
    message = send_one_action(fleet, tap)
    request = message.request._replace(request_id="late")
    late = message._replace(request=request, not_after_ms=fleet.clock.now_ms() + 300.0)
    cancel = ActionCancel(message.run_id, late.not_after_ms, "late", request.parts[0])
    fleet.post(OWNER, PeerReceived(ENTRY, cancel))
    fleet.post(OWNER, PeerReceived(ENTRY, late))
    fleet.run_until(1000)
    outcomes = [report.outcome for _, _, report in tap.of(ActionOutcome)]
    assert outcomes[-1].ran == Ran.NO
    assert "late" not in {entry.request_id for entry in fleet._upstreams.log}


def test_duplicate_request_never_runs_again_even_after_the_attempt_has_ended():
    fleet, tap = make_tapped_fleet()
    message = send_one_action(fleet, tap)
    before = len(fleet._upstreams.log)
    for wait_ms in (0.0, 100.0, 1000.0, 10_000.0):
        fleet.run_until(fleet.clock.now_ms() + wait_ms)
        fleet.post(OWNER, PeerReceived(ENTRY, message))
    fleet.run_until(fleet.clock.now_ms() + 1000.0)
    assert len(fleet._upstreams.log) == before
    ended = [report.outcome.ran for _, _, report in tap.of(ActionOutcome)]
    assert ended[-1] == Ran.UNKNOWN


def test_request_for_an_earlier_run_of_the_owner_is_reported_not_run_at_once():
    fleet, tap = make_tapped_fleet()
    send_one_action(fleet, tap)
    start_host(fleet, OWNER, ("u1",))
    fleet.run_until(fleet.clock.now_ms() + 10)
    before = len(fleet._upstreams.log)
    asked_ms = fleet.clock.now_ms()
    request_action(fleet, ENTRY, "r")
    fleet.run_until(asked_ms + 400)
    assert ran_of(fleet, "r") == Ran.NO
    assert answers_of(fleet, "r")[0].at_ms < asked_ms + 50
    assert len(fleet._upstreams.log) == before
    request_action(fleet, ENTRY, "again")
    fleet.run_until(asked_ms + 900)
    assert ran_of(fleet, "again") == Ran.YES


def test_action_right_after_its_owners_restart_is_sent_to_the_new_run():
    fleet, tap = make_tapped_fleet()
    send_one_action(fleet, tap)
    start_host(fleet, OWNER, ("u1",))
    fleet.run_until(fleet.clock.now_ms() + 1)
    world = fleet.engine_by_host[ENTRY].world
    world.member_by_host[OWNER] = world.member_by_host[OWNER]._replace(incarnation=1)
    # The new run's report arrives later than the time for which that run has been up.
    fleet._link.delay_ms = 20.0
    request_action(fleet, ENTRY, "r")
    fleet.run_until(fleet.clock.now_ms() + 400)
    assert ran_of(fleet, "r") == Ran.YES


def test_duplicate_at_the_owners_next_run_leaves_the_outcome_unknown():
    fleet, tap = make_tapped_fleet(upstreams=LoggingUpstreams(took_ms=30.0))
    send_one_action(fleet, tap)
    request_action(fleet, ENTRY, "r")
    fleet.run_until(fleet.clock.now_ms() + 5)
    start_host(fleet, OWNER, ("u1",))
    fleet.run_until(fleet.clock.now_ms() + 5)
    (_, _, copy), *_ = reversed(tap.of(ActionRequest))
    fleet.post(OWNER, PeerReceived(ENTRY, copy))
    fleet.run_until(fleet.clock.now_ms() + 600)
    assert ran_of(fleet, "r") == Ran.UNKNOWN
    assert [entry.request_id for entry in fleet._upstreams.ran] == ["probe", "r"]


def test_delayed_request_is_never_sent_after_the_entry_has_answered():
    fleet, tap = make_tapped_fleet()
    message = send_one_action(fleet, tap)
    late = message._replace(
        request=message.request._replace(request_id="late", remaining_ms=480.0),
        not_after_ms=fleet.clock.now_ms() - 1.0,
    )
    fleet.post(OWNER, PeerReceived(ENTRY, late))
    fleet.run_until(fleet.clock.now_ms() + 1000)
    assert "late" not in {entry.request_id for entry in fleet._upstreams.log}


def test_latest_start_sent_to_the_owner_precedes_the_entrys_answer():
    fleet, tap = make_tapped_fleet()
    send_one_action(fleet, tap)
    asked_ms = fleet.clock.now_ms()
    request_action(fleet, ENTRY, "r")
    fleet.run_until(asked_ms + 400)
    sent = [entry[2] for entry in tap.of(ActionRequest)][-1]
    assert sent.not_after_ms < asked_ms + 490


@pytest.mark.parametrize("skew_ms", [-1e6, 5e3])
def test_hosts_need_no_common_clock(skew_ms):
    fleet, tap = make_tapped_fleet()
    fleet.skew_ms_by_host[ENTRY] = skew_ms
    start_host(fleet, ENTRY, ("u1",))
    fleet.run_until(100)
    request_action(fleet, ENTRY, "r")
    fleet.run_until(500)
    sent = [message for _, _, message in tap.of(ActionRequest)][-1]
    assert ran_of(fleet, "r") == Ran.YES
    assert 550 < sent.not_after_ms < 600


def test_without_a_session_the_action_is_not_sent_and_not_run():
    fleet, _ = make_tapped_fleet(SessionRequest)
    request_action(fleet, ENTRY, "r", deadline_in_ms=200.0)
    fleet.run_until(1000)
    assert ran_of(fleet, "r") == Ran.NO
    assert fleet._upstreams.log == []


def test_action_for_a_host_that_refuses_connections_goes_to_another_replica():
    fleet, tap = make_tapped_fleet(replicas=("u1", "u2"))
    send_one_action(fleet, tap)
    fleet.remove_host(OWNER)
    tap.messages.clear()
    names = [f"r{index}" for index in range(6)]
    for name in names:
        request_action(fleet, ENTRY, name)
        fleet.run_until(fleet.clock.now_ms() + 600)
    assert OWNER in {to for _, to, _ in tap.of((ActionRequest, SessionRequest))}
    assert {ran_of(fleet, name) for name in names} == {Ran.YES}
    assert {entry.upstream for entry in fleet._upstreams.ran[1:]} == {"u2"}


def test_action_is_unknown_when_its_owner_is_killed_after_sending():
    upstreams = LoggingUpstreams(took_ms=30.0)
    fleet, tap = make_tapped_fleet(upstreams=upstreams)
    send_one_action(fleet, tap)
    request_action(fleet, ENTRY, "r")
    fleet.run_until(fleet.clock.now_ms() + 5)
    fleet.remove_host(OWNER)
    fleet.run_until(fleet.clock.now_ms() + 600)
    assert ran_of(fleet, "r") == Ran.UNKNOWN
    assert len(upstreams.log) == 2


def test_lost_outcome_is_sent_again_upon_a_cancellation():
    fleet, tap = make_tapped_fleet()
    send_one_action(fleet, tap)
    link = ScriptedLink()
    fleet._link = link
    lossy_tap = MessageTap(fleet, link, ActionOutcome)
    asked_ms = fleet.clock.now_ms()
    request_action(fleet, ENTRY, "r")
    fleet.run_until(asked_ms + 400)
    lossy_tap.dropped_types = ()
    fleet.run_until(asked_ms + 600)
    assert ran_of(fleet, "r") == Ran.YES


def test_unguarded_action_from_another_host_is_dropped_and_counted():
    fleet, tap = make_tapped_fleet()
    message = send_one_action(fleet, tap)
    raw = message.request._replace(request_id="raw", remaining_ms=400.0)
    assert isinstance(raw, WorkRequest) and raw.kind == RequestKind.ACTION
    fleet.post(OWNER, PeerReceived("elsewhere", raw))
    fleet.run_until(fleet.clock.now_ms() + 500)
    world = fleet.engine_by_host[OWNER].world
    assert world.counter_by_name["unguarded_actions_dropped"] == 1
    assert "raw" not in {entry.request_id for entry in fleet._upstreams.log}


def test_disconnected_caller_cancels_its_queued_action():
    fleet = make_fleet(LoggingUpstreams(took_ms=100.0))
    for name in ("a", "b", "c", "d", "e"):
        request_action(fleet, ENTRY, name)
    fleet.run_until(fleet.clock.now_ms() + 10)
    fleet.post(ENTRY, CallerDisconnected("e"))
    fleet.run_until(fleet.clock.now_ms() + 1000)
    assert "e" not in {entry.request_id for entry in fleet._upstreams.log}
    assert answers_of(fleet, "e") == []


def test_stopping_owner_refuses_new_actions_after_a_grace_period():
    fleet, tap = make_tapped_fleet()
    send_one_action(fleet, tap)
    fleet.post(OWNER, HostStopping())
    request_action(fleet, ENTRY, "soon")
    fleet.run_until(fleet.clock.now_ms() + 1000)
    request_action(fleet, ENTRY, "later")
    fleet.run_until(fleet.clock.now_ms() + 1000)
    assert ran_of(fleet, "soon") == Ran.YES
    assert ran_of(fleet, "later") == Ran.NO
    assert [entry.request_id for entry in fleet._upstreams.ran] == ["probe", "soon"]


def test_action_past_its_deadline_is_not_sent_at_all():
    fleet = make_fleet()
    request_action(fleet, "w1", "r", deadline_in_ms=5.0)
    fleet.run_until(1000)
    result = answers_of(fleet, "r")[0].answer.result
    assert (result.ran, result.reason) == (Ran.NO, Reason.DEADLINE)
    assert fleet._upstreams.log == []


@pytest.mark.parametrize("count", [3, 5])
def test_evicted_records_are_reported_as_possibly_forgotten(count):
    records = ActionRecords(limit=2)
    for index in range(count):
        record = ActionRecord("w1", 100.0 + index, None)
        records.put(("r", index), record)
    assert len(records) == 2
    assert records.evicted == count - 2
    for index in range(count - 2):
        assert records.may_have_been_removed(100.0 + index, 50.0)
    assert not records.may_have_been_removed(100.0 + count - 2, 50.0)


@pytest.mark.parametrize(("late_ms", "runs"), [(0.0, 0), (1.0, 0), (-300.0, 1)])
def test_action_that_arrives_after_its_latest_start_is_not_run(late_ms, runs):
    fleet, tap = make_tapped_fleet()
    message = send_one_action(fleet, tap)
    request = message.request._replace(request_id="late")
    not_after_ms = fleet.clock.now_ms() - late_ms
    late = message._replace(request=request, not_after_ms=not_after_ms)
    fleet.post(OWNER, PeerReceived(ENTRY, late))
    fleet.run_until(fleet.clock.now_ms() + 1_000.0)
    ran = [entry for entry in fleet._upstreams.log if entry.request_id == "late"]
    assert len(ran) == runs
    counts = fleet.engine_by_host[OWNER].world.counter_by_name
    assert counts["late_actions_refused"] == 1 - runs
    if not runs:
        outcomes = [report.outcome for _, _, report in tap.of(ActionOutcome)]
        assert outcomes[-1].ran == Ran.NO
