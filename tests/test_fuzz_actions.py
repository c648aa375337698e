"""Fuzz actions and tickets; check all answers against the log of the upstreams."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import NamedTuple

from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    initialize,
    invariant,
    multiple,
    rule,
)

from burdockmill.errors import BurdockmillError, Ran
from burdockmill.messages.actions import ActionAnswer, TicketAnswer
from burdockmill.messages.events import (
    CallerDisconnected,
    HostStopping,
    PeerReceived,
    PeerUnreachable,
    ViewRefreshed,
)
from burdockmill.messages.peer import (
    ActionCancel,
    ActionOutcome,
    ActionRequest,
    SessionResponse,
    Ticket,
    TicketHandover,
    TicketLocation,
    TicketOutcome,
    TicketRedemption,
)
from burdockmill.standins.virtual_fleet import LinkModel
from tests.builders_actions import (
    FAILURES,
    HOSTS,
    LoggingUpstreams,
    make_fleet,
    request_action,
    start_host,
    wait,
)

SETTLE_MS = 8_000.0
ANSWER_SLACK_MS = 1.0
REPLAYS_KEPT = 400
UNAVAILABLE = -1
REPLAYED_TYPES = (
    ActionCancel,
    ActionOutcome,
    ActionRequest,
    SessionResponse,
    TicketHandover,
    TicketLocation,
    TicketOutcome,
    TicketRedemption,
)
ANY_HOST = st.sampled_from(sorted(HOSTS))
DEADLINES_MS = st.sampled_from([25.0, 60.0, 150.0, 500.0, 1500.0])
WAITS_MS = st.sampled_from([0.3, 1.0, 4.0, 15.0, 60.0, 250.0, 1200.0, 2600.0])


class NetworkFaults(NamedTuple):
    """Configure how messages are lost, duplicated, delayed or reported undelivered."""

    lost: float = 0.0
    doubled: float = 0.0
    late_ms: float = 0.0
    reported: float = 0.0


NO_FAULTS = NetworkFaults()
NETWORK_FAULTS = st.sampled_from(
    [
        NO_FAULTS,
        NetworkFaults(lost=0.3),
        NetworkFaults(doubled=0.5, late_ms=30.0),
        NetworkFaults(late_ms=400.0),
        NetworkFaults(lost=0.2, doubled=0.3, late_ms=80.0, reported=0.3),
    ]
)


class FaultyLink(LinkModel):
    """Lose, duplicate, delay and thereby reorder messages."""

    def __init__(self):
        self.faults = NO_FAULTS

    def delays_ms(self, rng, sender, receiver):
        faults = self.faults
        if rng.random() < faults.lost:
            return ()
        copies = 2 if rng.random() < faults.doubled else 1
        return tuple(0.5 + rng.random() * faults.late_ms for _ in range(copies))


class SentRequest(NamedTuple):
    """Record a request for the final check; times are of the fleet's clock."""

    host: str
    ticket: Ticket | None
    deadline_ms: float
    disruptions: int


class ActionsMachine(RuleBasedStateMachine):
    """Disturb a small fleet; compare all answers with what the upstreams ran."""

    requests = Bundle("requests")
    tickets = Bundle("tickets")

    @initialize(seed=st.integers(0, 1_000_000))
    def start(self, seed):
        self.link = FaultyLink()
        self.upstreams = LoggingUpstreams()
        self.fleet = make_fleet(self.upstreams, self.link, seed)
        self.fleet.on_message = self._record_message
        self.sent_requests = {}
        self.disconnected = set()
        self.messages = []
        self.disruptions = Counter()
        self.checked_entries = 0

    def _record_message(self, sender, to, message):
        if isinstance(message, REPLAYED_TYPES) and len(self.messages) < REPLAYS_KEPT:
            self.messages.append((sender, to, message))
        if self.fleet.rng.random() < self.link.faults.reported:
            event = PeerUnreachable(to, message, Ran.UNKNOWN)
            at_ms = self.fleet.clock.now_ms() + 1.0
            self.fleet.call_at(at_ms, lambda: self.fleet.post(sender, event))

    def _send_request(self, host, deadline_in_ms, ticket=None):
        request_id = f"r{len(self.sent_requests)}"
        deadline_ms = self.fleet.clock.now_ms() + deadline_in_ms
        runs = host in self.fleet.engine_by_host and host not in self.fleet.paused
        disruptions = self.disruptions[host] if runs else UNAVAILABLE
        self.sent_requests[request_id] = SentRequest(
            host, ticket, deadline_ms, disruptions
        )
        request_action(self.fleet, host, request_id, deadline_in_ms, ticket=ticket)
        return request_id

    @rule(target=requests, host=ANY_HOST, deadline_in_ms=DEADLINES_MS)
    def send_request(self, host, deadline_in_ms):
        return self._send_request(host, deadline_in_ms)

    @rule(host=ANY_HOST, deadline_in_ms=DEADLINES_MS, count=st.integers(2, 6))
    def send_many_requests(self, host, deadline_in_ms, count):
        for _ in range(count):
            self._send_request(host, deadline_in_ms)

    @rule(target=tickets, host=ANY_HOST)
    def issue_ticket(self, host):
        name = f"ticket{len(self.fleet.answers)}"
        request_action(self.fleet, host, name, wants_ticket=True)
        given = self.fleet.answers[-1:] or [None]
        if given[0] is None or given[0].answer.request_id != name:
            return multiple()
        result = given[0].answer.result
        return result.ticket if isinstance(result, TicketAnswer) else multiple()

    @rule(ticket=tickets, host=ANY_HOST, deadline_in_ms=DEADLINES_MS)
    def use_ticket(self, ticket, host, deadline_in_ms):
        self._send_request(host, deadline_in_ms, ticket)

    @rule(ticket=tickets, deadline_in_ms=DEADLINES_MS)
    def use_ticket_everywhere(self, ticket, deadline_in_ms):
        for host in sorted(HOSTS):
            self._send_request(host, deadline_in_ms, ticket)

    @rule(
        ticket=tickets,
        hosts=st.lists(ANY_HOST, min_size=2, max_size=4),
        deadline_in_ms=DEADLINES_MS,
        gap_ms=WAITS_MS,
    )
    def retry_with_ticket(self, ticket, hosts, deadline_in_ms, gap_ms):
        for host in hosts:
            self._send_request(host, deadline_in_ms, ticket)
            wait(self.fleet, gap_ms)

    @rule(
        host=ANY_HOST,
        other=ANY_HOST,
        deadline_in_ms=DEADLINES_MS,
        after_ms=st.sampled_from([0.7, 1.7, 4.0]),
        for_ms=st.sampled_from([100.0, 700.0, 1600.0]),
    )
    def pause_host_during_request(self, host, other, deadline_in_ms, after_ms, for_ms):
        self._send_request(host, deadline_in_ms)
        wait(self.fleet, after_ms)
        self.pause(other)
        wait(self.fleet, for_ms)
        self.fleet.resume(other)

    @rule(
        host=ANY_HOST,
        faults=NETWORK_FAULTS,
        deadline_in_ms=DEADLINES_MS,
        count=st.integers(1, 3),
    )
    def send_with_faults(self, host, faults, deadline_in_ms, count):
        before = self.link.faults
        self.link.faults = faults
        for _ in range(count):
            self._send_request(host, deadline_in_ms)
            wait(self.fleet, deadline_in_ms / 2)
        wait(self.fleet, deadline_in_ms)
        self.link.faults = before

    @rule(
        host=ANY_HOST,
        other=ANY_HOST,
        after_ms=st.sampled_from([0.7, 1.7, 4.0]),
        faults=NETWORK_FAULTS,
    )
    def restart_host_during_requests(self, host, other, after_ms, faults):
        before = self.link.faults
        self._send_request(host, 1500.0)
        wait(self.fleet, 30.0)
        self.link.faults = faults
        for _ in range(3):
            self._send_request(host, 1500.0)
        wait(self.fleet, after_ms)
        if other != host:
            self.restart_without_state(other, 0.0)
        wait(self.fleet, 1500.0)
        self.link.faults = before

    @rule(host=ANY_HOST)
    def replace_host(self, host):
        self.stop_host(host)
        wait(self.fleet, 2600.0)
        self.restart_without_state(host, 0.0)

    @rule(first=st.integers(0, REPLAYS_KEPT - 1))
    def replay_messages(self, first):
        for index in range(first, first + 30):
            self.replay_message(index)
        wait(self.fleet, 20.0)

    @rule(request_id=requests)
    def disconnect_caller(self, request_id):
        self.disconnected.add(request_id)
        self.fleet.post(
            self.sent_requests[request_id].host, CallerDisconnected(request_id)
        )

    @rule(faults=NETWORK_FAULTS)
    def change_faults(self, faults):
        self.link.faults = faults

    @rule(behaviour=st.sampled_from(["answer", "refuse", "hang", *FAILURES]))
    def change_behaviour(self, behaviour):
        self.upstreams.behaviour = behaviour

    @rule(took_ms=st.sampled_from([2.0, 8.0, 90.0]))
    def change_service_time(self, took_ms):
        self.upstreams.took_ms = took_ms

    @rule(by_ms=WAITS_MS)
    def time_passes(self, by_ms):
        wait(self.fleet, by_ms)

    @rule(host=ANY_HOST)
    def pause(self, host):
        self.fleet.paused.add(host)
        self.disruptions[host] += 1

    @rule(host=ANY_HOST, refreshed=st.booleans())
    def resume(self, host, refreshed):
        self.fleet.resume(host)
        if refreshed:
            self.fleet.post(host, ViewRefreshed(0.0, True))

    @rule(host=ANY_HOST)
    def kill(self, host):
        self.fleet.paused.discard(host)
        self.fleet.remove_host(host)
        self.disruptions[host] += 1

    @rule(host=ANY_HOST, skew_ms=st.sampled_from([0.0, 5e3, 1e6, -4e4]))
    def restart_without_state(self, host, skew_ms):
        self.kill(host)
        self.fleet.skew_ms_by_host[host] = skew_ms
        start_host(self.fleet, host)

    @rule(host=ANY_HOST)
    def stop_host(self, host):
        self.fleet.post(host, HostStopping())
        self.disruptions[host] += 1

    @rule(host=ANY_HOST, other=ANY_HOST, alive=st.booleans())
    def change_view(self, host, other, alive):
        engine = self.fleet.engine_by_host.get(host)
        if engine is None or host == other:
            return
        world = engine.world
        row = world.member_by_host[other]
        world.member_by_host[other] = row._replace(alive=alive)
        world.members_version += 1

    @rule(index=st.integers(0, REPLAYS_KEPT - 1))
    def replay_message(self, index):
        if not self.messages:
            return
        sender, to, message = self.messages[index % len(self.messages)]
        self.fleet.post(to, PeerReceived(sender, message))

    def _runs(self):
        return Counter(entry.request_id for entry in self.upstreams.ran)

    @invariant()
    def nothing_runs_twice(self):
        if not hasattr(self, "fleet"):
            return
        runs = self._runs()
        runs_by_ticket = defaultdict(int)
        for request_id, count in runs.items():
            assert count == 1, f"{request_id} ran {count} times"
            ticket = self.sent_requests[request_id].ticket
            runs_by_ticket[ticket] += count if ticket else 0
        assert all(count <= 1 for count in runs_by_ticket.values()), runs_by_ticket

    @invariant()
    def nothing_is_sent_after_its_deadline(self):
        if not hasattr(self, "fleet"):
            return
        for entry in self.upstreams.log[self.checked_entries :]:
            assert entry.at_ms <= self.sent_requests[entry.request_id].deadline_ms, (
                entry
            )
        self.checked_entries = len(self.upstreams.log)

    def teardown(self):
        if not hasattr(self, "fleet"):
            return
        self.link.faults = NO_FAULTS
        for host in sorted(HOSTS):
            self.fleet.resume(host)
        wait(self.fleet, SETTLE_MS)
        for index in range(len(self.messages)):
            self.replay_message(index)
        wait(self.fleet, SETTLE_MS)
        self.nothing_runs_twice()
        self.nothing_is_sent_after_its_deadline()
        self._check_answers()

    def _check_answers(self):
        runs = self._runs()
        ran_tickets = {self.sent_requests[one].ticket for one in runs} - {None}
        answers = defaultdict(list)
        for given in self.fleet.answers:
            if given.answer.request_id in self.sent_requests:
                answers[given.answer.request_id].append(given)
        for request_id, request in self.sent_requests.items():
            given = answers[request_id]
            assert len(given) <= 1, given
            if not given:
                disconnected = request_id in self.disconnected
                assert (
                    disconnected
                    or self.disruptions[request.host] != request.disruptions
                ), request_id
                continue
            self._check_answer(request_id, request, given[0], runs, ran_tickets)

    def _check_answer(self, request_id, request, given, runs, ran_tickets):
        result = given.answer.result
        if self.disruptions[request.host] == request.disruptions:
            assert given.at_ms <= request.deadline_ms + ANSWER_SLACK_MS, given
        if isinstance(result, BurdockmillError):
            assert result.ran != Ran.NO or not runs[request_id], given
            return
        assert isinstance(result, ActionAnswer)
        ran = (
            request.ticket in ran_tickets if request.ticket else bool(runs[request_id])
        )
        if result.ran == Ran.NO:
            assert not ran, f"{request_id} was reported as not run, but ran"
        if result.ran == Ran.YES:
            assert ran, f"{request_id} was reported as run, but did not run"
            name = bytes(result.result).decode().strip('"').split()[0]
            assert name == request_id or (
                request.ticket and self.sent_requests[name].ticket == request.ticket
            ), f"{request_id} received the answer of {name}"


ActionsMachine.TestCase.settings = settings(
    max_examples=120, stateful_step_count=40, derandomize=True
)
TestActions = ActionsMachine.TestCase
