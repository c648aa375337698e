"""Step through requests that are handed over, with the clock passed in."""

import pytest

from burdockmill.errors import OverloadedError, Ran
from burdockmill.forwarding.actions import Conclude, SendAttempt, WithdrawAttempt
from burdockmill.forwarding.merge_policy import GreatestRecords
from burdockmill.forwarding.messages import (
    AttemptEnd,
    AttemptKind,
    AttemptOutcome,
    MergedAnswer,
    UpstreamAnswer,
)
from burdockmill.forwarding.request_run import RequestRun
from burdockmill.messages.reach import ReachReport
from burdockmill.relay.actions import RelayEnd, RelayOutcome, SendRelay, WithdrawRelay
from burdockmill.relay.handover_run import RELAYS_LIMIT, HandoverRun
from burdockmill.relay.relay_planner import RelayPlanner
from burdockmill.tables.peer_reach import PeerReach
from burdockmill.tables.upstream_reach import ReachFailure, UpstreamReach
from tests.builders_forwarding import (
    answered,
    make_planner,
    make_request,
    make_route,
    make_single_route,
    record,
    replicas_of,
    services_of,
)

ANSWER = UpstreamAnswer(200, (), b"body", "stamp")
MERGED = MergedAnswer(b"", ("s",), 0)
NOT_SENT = AttemptOutcome(AttemptEnd.NOT_SENT)
REFUSED = AttemptOutcome(AttemptEnd.NOT_SENT, is_refused=True)


class Handover:
    """Step through one request, whose host is isolated from the start or later."""

    hosts = ("e1", "e2", "e3", "e4")

    def __init__(self, route=None, is_isolated=True, request=None):
        self.route = route or make_single_route()
        self.reach = UpstreamReach("waw-a")
        self.peers = PeerReach()
        self.wanted = []
        if is_isolated:
            self.isolate()
        planner = make_planner()
        self.budget = planner.budget
        relay_planner = RelayPlanner(
            self.reach,
            self.peers,
            replicas_of,
            self.wanted.append,
            planner.budget,
            planner.eligibility,
            lambda host: host.partition("/")[0],
        )
        direct = RequestRun(
            request or make_request(),
            self.route,
            services_of(self.route),
            planner,
            GreatestRecords(),
        )
        self.run = HandoverRun(direct, relay_planner)
        self.actions = []

    def isolate(self, now_ms=0.0):
        self.reach.isolated_since_ms = now_ms

    def report(self, now_ms, is_available=True, heard=()):
        self.peers.asked((), self.hosts, now_ms)
        for number, host in enumerate(self.hosts):
            report = ReachReport(now_ms - number, is_available, heard, ())
            self.peers.record(host, report, now_ms)

    def start(self, now_ms=0.0):
        self.actions += self.run.start(now_ms)
        return self

    def tick(self, now_ms):
        self.actions += self.run.tick(now_ms)

    def reconsider(self, now_ms):
        self.actions += self.run.reconsider(now_ms)

    def ended(self, attempt, outcome, now_ms):
        self.actions += self.run.ended(attempt, outcome, now_ms)

    def relay_ended(self, relay, end, now_ms, result=None):
        outcome = RelayOutcome(end, result)
        self.actions += self.run.relay_ended(relay, outcome, now_ms)

    def of(self, kind):
        return [one for one in self.actions if isinstance(one, kind)]

    @property
    def result(self):
        [conclusion] = self.of(Conclude)
        return conclusion.result


def test_an_isolated_host_hands_a_request_over_before_any_attempt():
    run = Handover()
    run.report(0.0)
    run.start()
    [sent] = run.of(SendRelay)
    assert not run.of(SendAttempt)
    assert sent.host == "e1"
    assert (sent.attempts_limit, sent.is_counted) == (2, False)
    run.relay_ended(0, RelayEnd.ANSWERED, 30.0, ANSWER)
    assert run.result == ANSWER


def test_a_request_waits_for_the_first_reports():
    run = Handover().start()
    assert not run.actions
    assert run.wanted == [()]
    run.report(20.0)
    run.reconsider(20.0)
    assert len(run.of(SendRelay)) == 1


def test_a_request_is_refused_without_reports_of_other_hosts():
    run = Handover().start()
    run.tick(run.run.next_due_ms)
    assert (run.result.kind, run.result.ran) == ("isolated", Ran.NO)


def test_a_request_is_refused_at_once_when_no_host_is_available():
    run = Handover()
    run.report(0.0, is_available=False)
    run.start(1.0)
    assert run.result.kind == "isolated"
    assert run.result.retry_after_ms > 0


@pytest.mark.parametrize("end", [RelayEnd.DECLINED, RelayEnd.NOT_SENT])
def test_another_host_gets_a_request_that_the_first_did_not_take(end):
    run = Handover(make_single_route(is_idempotent=False))
    run.report(0.0)
    run.start()
    for number in range(RELAYS_LIMIT):
        run.relay_ended(number, end, 5.0)
    sent = run.of(SendRelay)
    assert [one.host for one in sent] == ["e1", "e2", "e3"]
    assert {one.attempts_limit for one in sent} == {2}
    assert (run.result.kind, run.result.ran) == ("isolated", Ran.NO)


@pytest.mark.parametrize("is_idempotent", [True, False])
def test_no_second_host_gets_a_request_that_the_first_may_still_run(is_idempotent):
    run = Handover(make_single_route(is_idempotent=is_idempotent))
    run.report(0.0)
    run.start()
    for now_ms in range(50, 550, 50):
        run.report(float(now_ms))
        run.tick(float(now_ms))
        run.reconsider(float(now_ms))
    run.relay_ended(0, RelayEnd.LOST, 550.0)
    assert len(run.of(SendRelay)) == 1
    assert run.result.ran is Ran.UNKNOWN


@pytest.mark.parametrize("is_idempotent", [True, False])
@pytest.mark.parametrize("replicas", [1, 3])
def test_an_answer_is_not_lost_when_a_request_comes_back_as_the_links_do(
    is_idempotent, replicas
):
    run = Handover(make_single_route(is_idempotent=is_idempotent), is_isolated=False)
    run.run.direct._planner._replicas_of = lambda name: replicas_of(name)[:replicas]
    run.start()
    deposited = run.budget.remaining("payroll", 0.0)
    run.isolate(1.0)
    run.report(2.0)
    run.ended(0, NOT_SENT, 3.0)
    assert len(run.of(SendRelay)) == 1
    run.reach.isolated_since_ms = None
    run.relay_ended(0, RelayEnd.DECLINED, 5.0)
    assert [one.attempt for one in run.of(SendAttempt)] == [0, 1]
    assert run.budget.remaining("payroll", 0.0) == deposited
    run.ended(1, answered(b"body"), 30.0)
    assert run.result.body == b"body"


def test_a_search_that_comes_back_as_the_links_do_is_answered_in_full():
    run = Handover(make_route(shards=2), is_isolated=False).start()
    run.isolate(1.0)
    run.report(2.0)
    run.reconsider(3.0)
    for attempt in range(2):
        run.ended(attempt, NOT_SENT, 4.0)
    assert len(run.of(SendRelay)) == 1
    run.reach.isolated_since_ms = None
    run.relay_ended(0, RelayEnd.DECLINED, 5.0)
    for sent in run.of(SendAttempt)[2:]:
        run.ended(sent.attempt, answered(record(sent.part), f"s{sent.part}"), 30.0)
    assert (run.result.missing, len(run.result.stamps)) == (0, 2)


def refused_here_and_handed_over():
    """Return a request that was refused all connections here and is at another host."""
    run = Handover(make_single_route(is_idempotent=False), is_isolated=False)
    run.peers.asked(["payroll"], run.hosts, 0.0)
    run.report(0.0, heard=("payroll",))
    run.start()
    for attempt in range(3):
        run.ended(attempt, REFUSED, 10.0)
    assert len(run.of(SendRelay)) == 1
    return run


@pytest.mark.parametrize("loss", [RelayEnd.LOST, "time out"])
def test_a_request_is_not_refused_after_the_host_that_took_it_over_is_lost(loss):
    # Fails where a client is told that a request which an upstream ran has not run.
    run = refused_here_and_handed_over()
    run.run.relay_written(0)
    if loss is RelayEnd.LOST:
        run.relay_ended(0, loss, 100.0)
    else:
        run.tick(run.run.direct.final_ms)
    assert run.result.ran is Ran.UNKNOWN
    assert run.result.status in {502, 504}


@pytest.mark.parametrize("end", [RelayEnd.DECLINED, RelayEnd.NOT_SENT, "time out"])
def test_a_refusal_stands_if_no_other_host_can_have_run_the_request(end):
    # Fails where clients give up on requests that have certainly not run.
    run = refused_here_and_handed_over()
    if isinstance(end, RelayEnd):
        run.report(20.0, is_available=False)
        run.relay_ended(0, end, 20.0)
    else:
        run.tick(run.run.direct.final_ms)
    assert (run.result.status, run.result.ran) == (503, Ran.NO)


def test_a_refusal_elsewhere_is_as_certain_as_there():
    run = Handover()
    run.report(0.0)
    run.start()
    refusal = OverloadedError("full", retry_after_ms=40)
    run.relay_ended(0, RelayEnd.ANSWERED, 30.0, refusal)
    assert run.result is refusal


def test_attempts_without_a_reply_are_replaced_once_the_host_is_isolated():
    run = Handover(make_route(), is_isolated=False).start()
    assert len(run.of(SendAttempt)) == 10
    run.isolate(200.0)
    run.report(200.0)
    left = run.budget.remaining("shard-0", 200.0)
    run.reconsider(200.0)
    [sent] = run.of(SendRelay)
    assert (sent.attempts_limit, sent.is_counted) == (1, True)
    assert len(run.of(WithdrawAttempt)) == 10
    assert run.budget.remaining("shard-0", 200.0) == left - 1.0
    run.relay_ended(0, RelayEnd.ANSWERED, 250.0, MERGED)
    assert run.result == MERGED


def test_a_refusal_elsewhere_is_uncertain_after_attempts_from_here():
    run = Handover(is_isolated=False).start()
    run.isolate(200.0)
    run.report(200.0)
    run.reconsider(200.0)
    run.relay_ended(0, RelayEnd.ANSWERED, 230.0, OverloadedError("full"))
    assert run.result.ran is Ran.UNKNOWN


def test_a_request_that_may_have_run_once_is_not_handed_over():
    run = Handover(make_single_route(is_idempotent=False), is_isolated=False).start()
    run.isolate(200.0)
    run.report(200.0)
    run.reconsider(200.0)
    broken = AttemptOutcome(AttemptEnd.BROKEN, is_cut_off=True)
    run.ended(0, broken, 210.0)
    assert not run.of(SendRelay)
    assert run.result.ran is Ran.UNKNOWN


def test_a_request_that_may_have_run_once_does_not_wait_for_reports():
    # Fails where a request that no host may run again is held until others report.
    run = Handover(make_single_route(is_idempotent=False), is_isolated=False).start()
    for one in replicas_of("payroll"):
        run.reach.failed(one, ReachFailure.UNCONNECTED, 0.0)
    run.ended(0, AttemptOutcome(AttemptEnd.BROKEN, is_cut_off=True), 20.0)
    assert run.result.ran is Ran.UNKNOWN
    assert not run.wanted


def test_a_request_that_was_not_written_is_handed_over_without_a_repeat():
    run = Handover(make_single_route(is_idempotent=False), is_isolated=False).start()
    run.isolate(200.0)
    run.report(200.0)
    left = run.budget.remaining("payroll", 200.0)
    run.ended(0, NOT_SENT, 300.0)
    [sent] = run.of(SendRelay)
    assert (sent.attempts_limit, sent.is_counted) == (2, True)
    assert run.budget.remaining("payroll", 200.0) == left


def test_a_spent_budget_keeps_a_request_here():
    run = Handover(is_isolated=False).start()
    while run.budget.withdraw("payroll", AttemptKind.RETRY, 0.0):
        pass
    run.isolate(200.0)
    run.report(200.0)
    run.reconsider(200.0)
    assert not run.of(SendRelay)


def test_a_service_that_accepts_no_connection_is_reached_by_way_of_another_host():
    run = Handover(is_isolated=False)
    for one in replicas_of("payroll"):
        run.reach.failed(one, ReachFailure.UNCONNECTED, 0.0)
    run.start(1.0)
    for attempt in range(3):
        run.ended(attempt, NOT_SENT, 10.0)
    assert not run.of(Conclude)
    run.peers.asked(["payroll"], run.hosts, 10.0)
    run.report(12.0, heard=("payroll",))
    run.reconsider(12.0)
    assert len(run.of(SendRelay)) == 1


def test_a_failure_stands_when_no_other_host_hears_from_the_service():
    run = Handover(is_isolated=False)
    for one in replicas_of("payroll"):
        run.reach.failed(one, ReachFailure.UNCONNECTED, 0.0)
    run.start(1.0)
    for attempt in range(3):
        run.ended(attempt, NOT_SENT, 10.0)
    run.peers.asked(["payroll"], run.hosts, 10.0)
    run.report(12.0)
    run.reconsider(12.0)
    assert not run.of(SendRelay)
    assert run.result.ran is Ran.NO


@pytest.mark.parametrize("heard", [(), ("payroll",)])
def test_a_request_that_finds_no_connection_is_handed_over_on_proof_alone(heard):
    """Kept connections live on, so that the service is heard from and not failing."""
    run = Handover(is_isolated=False).start()
    for attempt in range(3):
        run.ended(attempt, REFUSED, 10.0)
    assert not run.of(Conclude)
    run.peers.asked(["payroll"], run.hosts, 10.0)
    run.report(12.0, heard=heard)
    run.reconsider(12.0)
    assert len(run.of(SendRelay)) == len(heard)
    assert len(run.of(Conclude)) == 1 - len(heard)


def test_connections_that_are_late_are_no_reason_to_ask_other_hosts():
    run = Handover(is_isolated=False).start()
    for attempt in range(3):
        run.ended(attempt, NOT_SENT, 10.0)
    assert run.result.ran is Ran.NO
    assert not run.wanted


def test_an_upstreams_answer_is_never_handed_over():
    run = Handover(is_isolated=False).start()
    run.ended(0, answered(b"x"), 20.0)
    assert run.result.body == b"x"


def test_the_other_host_is_stopped_when_time_is_up():
    run = Handover()
    run.report(0.0)
    run.start()
    run.tick(run.run.next_due_ms)
    assert run.result.kind == "deadline_exceeded"
    assert [one.relay for one in run.of(WithdrawRelay)] == [0]


def test_a_request_that_was_handed_over_is_not_handed_on():
    run = Handover(request=make_request(entry="e9"))
    run.report(0.0)
    run.start()
    assert not run.of(SendRelay)
    for attempt in range(3):
        run.ended(attempt, NOT_SENT, 10.0)
    assert not run.of(SendRelay)
    assert run.result.ran is Ran.NO
