"""Check that a process that was paused runs no expired or reassigned work."""

from __future__ import annotations

from burdockmill.errors import Ran
from burdockmill.messages.events import PeerReceived, ViewRefreshed
from burdockmill.messages.peer import ActionRequest
from burdockmill.systems.pause_system import (
    DEFERRED_EVENTS_LIMIT,
    PAUSE_THRESHOLD_MS,
    REFRESH_TIMEOUT_MS,
)
from burdockmill.tables.rows import MemberRow
from tests.builders_actions import (
    ENTRY,
    OWNER,
    LoggingUpstreams,
    answers_of,
    make_fleet,
    ran_of,
    request_action,
    wait,
)
from tests.test_actions import make_tapped_fleet, send_one_action


def counts_of(fleet, host):
    return fleet.engine_by_host[host].world.counter_by_name


def pause(fleet, host, for_ms):
    fleet.paused.add(host)
    wait(fleet, for_ms)


def test_owner_drops_expired_queued_actions_after_a_pause():
    fleet = make_fleet(LoggingUpstreams(took_ms=30.0), replicas=("u1",))
    for name in ("a", "b", "c", "d"):
        request_action(fleet, ENTRY, name, deadline_in_ms=400.0)
    wait(fleet, 5)
    written = len(fleet._upstreams.log)
    pause(fleet, OWNER, PAUSE_THRESHOLD_MS + 1000)
    fleet.resume(OWNER)
    wait(fleet, 3000)
    assert len(fleet._upstreams.log) == written
    assert 1 <= written <= 2
    assert ran_of(fleet, "d") == Ran.UNKNOWN


def test_owner_cancels_unexpired_queued_actions_after_a_pause():
    fleet = make_fleet(LoggingUpstreams(took_ms=30.0), replicas=("u1",))
    for name in ("a", "b", "c"):
        request_action(fleet, ENTRY, name, deadline_in_ms=8000.0)
    wait(fleet, 5)
    pause(fleet, OWNER, PAUSE_THRESHOLD_MS + 1000)
    fleet.resume(OWNER)
    wait(fleet, 5)
    assert ran_of(fleet, "c") == Ran.NO
    wait(fleet, 8000)
    assert "c" not in {entry.request_id for entry in fleet._upstreams.log}
    assert counts_of(fleet, OWNER)["actions_cancelled_at_late_wake"] >= 1


def test_new_work_waits_until_the_view_is_refreshed():
    fleet = make_fleet()
    pause(fleet, "w1", PAUSE_THRESHOLD_MS + 500)
    fleet.resume("w1")
    request_action(fleet, "w1", "r", deadline_in_ms=5000.0)
    wait(fleet, 100)
    assert answers_of(fleet, "r") == []
    fleet.post("w1", ViewRefreshed(1500.0, True))
    wait(fleet, 100)
    assert ran_of(fleet, "r") == Ran.YES


def test_partitioned_host_serves_after_the_refresh_timeout():
    fleet = make_fleet()
    pause(fleet, "w1", PAUSE_THRESHOLD_MS + 500)
    resumed_ms = fleet.clock.now_ms()
    fleet.resume("w1")
    request_action(fleet, "w1", "r", deadline_in_ms=5000.0)
    wait(fleet, 5000)
    assert ran_of(fleet, "r") == Ran.YES
    served_ms = answers_of(fleet, "r")[0].at_ms - resumed_ms
    assert REFRESH_TIMEOUT_MS <= served_ms <= REFRESH_TIMEOUT_MS + 200


def test_deferred_request_is_reported_not_run_at_its_deadline():
    fleet = make_fleet()
    pause(fleet, "w1", PAUSE_THRESHOLD_MS + 500)
    fleet.resume("w1")
    asked_ms = fleet.clock.now_ms()
    request_action(fleet, "w1", "r", deadline_in_ms=300.0)
    wait(fleet, 5000)
    (given,) = answers_of(fleet, "r")
    assert (given.answer.result.ran, given.at_ms) == (Ran.NO, asked_ms + 300.0)
    assert fleet._upstreams.log == []


def test_work_for_a_reassigned_upstream_is_refused_after_a_pause():
    fleet, tap = make_tapped_fleet()
    message = send_one_action(fleet, tap)
    pause(fleet, OWNER, PAUSE_THRESHOLD_MS + 500)
    late = message._replace(
        request=message.request._replace(request_id="late"),
        not_after_ms=fleet.clock.now_ms() + 5000.0,
    )
    assert isinstance(late, ActionRequest)
    fleet.post(OWNER, PeerReceived(ENTRY, late))
    fleet.resume(OWNER)
    world = fleet.engine_by_host[OWNER].world
    world.member_by_host[OWNER] = MemberRow(OWNER, "waw-a", "pl", "x", leaving=True)
    world.members_version += 1
    fleet.post(OWNER, ViewRefreshed(1500.0, True))
    wait(fleet, 500)
    assert "late" not in {entry.request_id for entry in fleet._upstreams.log}


def test_deferred_work_is_bounded_and_the_rest_refused_with_a_retry_time():
    fleet = make_fleet()
    pause(fleet, "w1", PAUSE_THRESHOLD_MS + 500)
    fleet.resume("w1")
    for index in range(DEFERRED_EVENTS_LIMIT + 1):
        request_action(fleet, "w1", f"r{index}")
    error = answers_of(fleet, f"r{DEFERRED_EVENTS_LIMIT}")[0].answer.result
    assert (error.kind, error.ran, error.retry_after_ms) == ("overloaded", "no", 1000)
    assert counts_of(fleet, "w1")["refused_after_late_wake"] == 1


def test_idle_process_is_not_detected_as_paused():
    fleet = make_fleet()
    wait(fleet, 60_000)
    assert counts_of(fleet, "w1")["late_wakes"] == 0
    request_action(fleet, "w1", "r")
    wait(fleet, 100)
    assert ran_of(fleet, "r") == Ran.YES
