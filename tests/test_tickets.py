"""Check that a ticket's action runs at most once, wherever it is presented."""

from __future__ import annotations

import msgspec
import pytest
from aiohttp import ClientSession, web

from burdockmill.clients.peer_client import DELIVERY_CONFIRMED_TYPES
from burdockmill.errors import BadTicketError, OverloadedError, Ran
from burdockmill.messages.actions import ActionAnswer, TicketAnswer
from burdockmill.messages.events import (
    CallerDisconnected,
    HostStopping,
    PeerDelivered,
    PeerReceived,
)
from burdockmill.messages.peer import (
    Reason,
    SessionRequest,
    Ticket,
    TicketHandover,
    TicketLocation,
    TicketOutcome,
    TicketRedemption,
)
from burdockmill.surfaces._tickets import sign, verify
from burdockmill.surfaces.caller import caller_app
from burdockmill.systems.ticket_holder_system import (
    TICKET_LIFETIME_MS,
    TicketHolderSystem,
)
from tests.builders_actions import (
    HOSTS,
    LoggingUpstreams,
    answers_of,
    issue_ticket,
    make_fleet,
    ran_of,
    request_action,
    start_host,
    wait,
)
from tests.builders_wire import CALLER_KEY, OTHER_KEY, make_rules
from tests.fakes import FakeGateway
from tests.test_actions import make_tapped_fleet

KEY = "a key of sixteen or more"
TICKET = Ticket("w1", "ab" * 8, 1, 5000.0, "payroll", "leave-search", "LR-1")


def ran_ids(fleet):
    return [entry.request_id for entry in fleet._upstreams.ran]


def test_repeated_uses_on_any_host_return_the_first_outcome():
    fleet = make_fleet()
    ticket = issue_ticket(fleet, "w1")
    for host in HOSTS:
        request_action(fleet, host, f"r-{host}", ticket=ticket)
        wait(fleet, 300)
    results = [answers_of(fleet, f"r-{host}")[0].answer.result for host in HOSTS]
    assert {result.ran for result in results} == {Ran.YES}
    assert len({bytes(result.result) for result in results}) == 1
    assert ran_ids(fleet) == ["r-w1"]


def test_repeated_uses_wait_for_the_outcome_of_a_running_action():
    fleet = make_fleet(LoggingUpstreams(took_ms=100.0))
    ticket = issue_ticket(fleet, "w1")
    for host in HOSTS:
        request_action(fleet, host, f"r-{host}", ticket=ticket)
    wait(fleet, 600)
    assert [ran_of(fleet, f"r-{host}") for host in HOSTS] == [Ran.YES] * 3
    assert len(ran_ids(fleet)) == 1


def test_repeated_use_does_not_run_an_action_that_was_refused():
    upstreams = LoggingUpstreams()
    fleet = make_fleet(upstreams)
    ticket = issue_ticket(fleet, "w1")
    upstreams.behaviour = "refuse"
    request_action(fleet, "w2", "first", ticket=ticket)
    wait(fleet, 600)
    upstreams.behaviour = "answer"
    request_action(fleet, "w2", "again", ticket=ticket)
    wait(fleet, 600)
    assert [ran_of(fleet, name) for name in ("first", "again")] == [Ran.NO] * 2
    assert ran_ids(fleet) == []


def test_use_after_the_holder_restarted_is_unknown_and_runs_nothing():
    fleet = make_fleet()
    ticket = issue_ticket(fleet, "w1")
    request_action(fleet, "w2", "first", ticket=ticket)
    wait(fleet, 600)
    start_host(fleet, "w1")
    wait(fleet, 50)
    for host in HOSTS:
        asked_ms = fleet.clock.now_ms()
        request_action(fleet, host, f"r-{host}", ticket=ticket)
        wait(fleet, 600)
        result = answers_of(fleet, f"r-{host}")[0].answer.result
        assert (result.ran, result.reason) == (Ran.UNKNOWN, Reason.TICKET_GONE)
        assert answers_of(fleet, f"r-{host}")[0].at_ms < asked_ms + 20
    assert ran_ids(fleet) == ["first"]


def test_use_is_unknown_at_once_when_the_holder_is_unreachable():
    fleet = make_fleet()
    ticket = issue_ticket(fleet, "w1")
    fleet.remove_host("w1")
    asked_ms = fleet.clock.now_ms()
    request_action(fleet, "w2", "r", ticket=ticket)
    wait(fleet, 600)
    assert ran_of(fleet, "r") == Ran.UNKNOWN
    assert answers_of(fleet, "r")[0].at_ms < asked_ms + 20


def test_expired_ticket_is_unknown_and_removed():
    fleet = make_fleet()
    ticket = issue_ticket(fleet, "w1")
    request_action(fleet, "w1", "first", ticket=ticket)
    wait(fleet, TICKET_LIFETIME_MS)
    request_action(fleet, "w1", "late", ticket=ticket)
    wait(fleet, 600)
    result = answers_of(fleet, "late")[0].answer.result
    assert (result.ran, result.reason) == (Ran.UNKNOWN, Reason.TICKET_EXPIRED)
    assert ran_ids(fleet) == ["first"]
    counts = fleet.engine_by_host["w1"].world.counter_by_name
    assert counts["tickets_spent_kept"] == 0


def test_ticket_runs_no_other_action():
    fleet = make_fleet()
    ticket = issue_ticket(fleet, "w1")
    request_action(fleet, "w2", "first", ticket=ticket)
    wait(fleet, 600)
    other = msgspec.Raw(b'{"cancel":true}')
    request_action(fleet, "w2", "other", ticket=ticket, body=other)
    wait(fleet, 600)
    error = answers_of(fleet, "other")[0].answer.result
    assert (error.kind, error.ran) == ("other_action", Ran.NO)
    assert ran_ids(fleet) == ["first"]


def test_use_that_arrives_after_its_deadline_spends_the_ticket_without_running():
    fleet, tap = make_tapped_fleet(TicketRedemption)
    ticket = issue_ticket(fleet, "w1")
    request_action(fleet, "w2", "lost", ticket=ticket)
    wait(fleet, 600)
    assert ran_of(fleet, "lost") == Ran.UNKNOWN
    tap.dropped_types = ()
    (_, _, late), *_ = tap.of(TicketRedemption)
    fleet.post("w1", PeerReceived("w2", late))
    request_action(fleet, "w2", "again", ticket=ticket)
    wait(fleet, 600)
    assert ran_of(fleet, "again") == Ran.NO
    assert ran_ids(fleet) == []


def test_lost_outcome_is_returned_to_a_repeated_use():
    fleet, tap = make_tapped_fleet(TicketOutcome)
    ticket = issue_ticket(fleet, "w1")
    request_action(fleet, "w2", "first", ticket=ticket)
    wait(fleet, 600)
    tap.dropped_types = ()
    request_action(fleet, "w2", "again", ticket=ticket)
    wait(fleet, 600)
    assert [ran_of(fleet, name) for name in ("first", "again")] == [
        Ran.UNKNOWN,
        Ran.YES,
    ]
    assert ran_ids(fleet) == ["first"]


def test_action_with_a_ticket_continues_after_its_caller_disconnects():
    fleet = make_fleet(LoggingUpstreams(took_ms=50.0))
    ticket = issue_ticket(fleet, "w1")
    request_action(fleet, "w1", "first", ticket=ticket)
    fleet.post("w1", CallerDisconnected("first"))
    wait(fleet, 300)
    request_action(fleet, "k1", "again", ticket=ticket)
    wait(fleet, 300)
    assert answers_of(fleet, "first") == []
    assert ran_of(fleet, "again") == Ran.YES
    assert ran_ids(fleet) == ["first"]


def test_stopping_host_hands_spent_and_unspent_tickets_to_one_successor():
    fleet = make_fleet()
    spent, unspent = issue_ticket(fleet, "w1"), issue_ticket(fleet, "w1")
    request_action(fleet, "k1", "first", ticket=spent)
    wait(fleet, 300)
    engine = fleet.engine_by_host["w1"]
    fleet.post("w1", HostStopping())
    assert engine.open_work() == 1
    wait(fleet, 2000)
    assert engine.open_work() == 0
    fleet.remove_host("w1")
    request_action(fleet, "k1", "again", ticket=spent)
    request_action(fleet, "k1", "other", ticket=unspent)
    wait(fleet, 600)
    assert [ran_of(fleet, name) for name in ("again", "other")] == [Ran.YES] * 2
    assert ran_ids(fleet) == ["first", "other"]


def test_stopping_host_does_not_wait_for_confirmation_of_delivered_tickets():
    fleet, tap = make_tapped_fleet(TicketLocation, to="w1")
    issue_ticket(fleet, "w1")
    fleet.post("w1", HostStopping())
    wait(fleet, 1100)
    engine = fleet.engine_by_host["w1"]
    assert engine.open_work() == 1
    (_, successor, handover), *_ = tap.of(TicketHandover)
    assert isinstance(handover, DELIVERY_CONFIRMED_TYPES)
    fleet.post("w1", PeerDelivered(successor, handover))
    assert engine.open_work() == 0


def test_tickets_are_adopted_once_and_only_by_the_addressed_run():
    fleet, tap = make_tapped_fleet()
    ticket = issue_ticket(fleet, "w1")
    fleet.post("w1", HostStopping())
    wait(fleet, 2000)
    (_, successor, handover), *_ = tap.of(TicketHandover)
    request_action(fleet, "k1", "first", ticket=ticket)
    wait(fleet, 300)
    fleet.post(successor, PeerReceived("w1", handover))
    request_action(fleet, "k1", "again", ticket=ticket)
    wait(fleet, 300)
    start_host(fleet, successor)
    wait(fleet, 50)
    fleet.post(successor, PeerReceived("w1", handover))
    request_action(fleet, "k1", "late", ticket=ticket)
    wait(fleet, 600)
    outcomes = [ran_of(fleet, name) for name in ("first", "again", "late")]
    assert outcomes == [Ran.YES, Ran.YES, Ran.UNKNOWN]
    assert ran_ids(fleet) == ["first"]
    counts = fleet.engine_by_host[successor].world.counter_by_name
    assert counts["handovers_for_other_run_dropped"] == 1


def test_unconfirmed_handover_is_resent_at_a_bounded_rate():
    fleet, tap = make_tapped_fleet(TicketHandover)
    ticket = issue_ticket(fleet, "w1")
    fleet.post("w1", HostStopping())
    wait(fleet, 1000)
    for index in range(50):
        request_action(fleet, "w2", f"r{index}", ticket=ticket)
        wait(fleet, 20)
    assert 4 <= len(tap.of(TicketHandover)) <= 6


def test_unreachable_successor_is_contacted_at_a_bounded_rate():
    fleet, tap = make_tapped_fleet()
    issue_ticket(fleet, "w1")
    fleet.remove_host("w2")
    fleet.post("w1", HostStopping())
    wait(fleet, 2000)
    asks = [entry for entry in tap.of(SessionRequest) if entry[0] == "w1"]
    assert 4 <= len(asks) <= 6


def test_use_during_the_handover_is_answered_by_the_successor():
    fleet = make_fleet()
    ticket = issue_ticket(fleet, "w1")
    fleet.post("w1", HostStopping())
    wait(fleet, 1000)
    request_action(fleet, "k1", "r", ticket=ticket, deadline_in_ms=2000.0)
    wait(fleet, 2000)
    assert ran_of(fleet, "r") == Ran.YES


def test_number_of_unexpired_tickets_is_bounded():
    fleet = make_fleet()
    systems = fleet.engine_by_host["w1"]._systems
    (holder,) = [one for one in systems if isinstance(one, TicketHolderSystem)]
    holder._issued_limit = 2
    issue_ticket(fleet, "w1")
    issue_ticket(fleet, "w1")
    request_action(fleet, "w1", "third", wants_ticket=True)
    error = answers_of(fleet, "third")[0].answer.result
    assert isinstance(error, OverloadedError)
    assert error.retry_after_ms
    wait(fleet, TICKET_LIFETIME_MS)
    issue_ticket(fleet, "w1")


def test_signed_ticket_is_read_back_and_a_changed_one_is_refused():
    text = sign(TICKET, KEY)
    assert verify(text, KEY) == TICKET
    other = sign(TICKET._replace(caller="other"), "another key of the fleet")
    payload, _, mac = text.partition(".")
    forged = other.partition(".")[0]
    for bad in (other, f"{forged}.{mac}", payload, "x", "é", "", "a" * 5000):
        with pytest.raises(BadTicketError):
            verify(bad, KEY)


@pytest.mark.parametrize(
    ("caller_key", "key", "ticket", "status"),
    [
        (CALLER_KEY, "LR-1", TICKET, 200),
        (CALLER_KEY, "LR-2", TICKET, 409),
        (CALLER_KEY, "LR-1", TICKET._replace(caller="other"), 409),
        (CALLER_KEY, "LR-1", TICKET._replace(service="rosters"), 409),
        (CALLER_KEY, "LR-1", None, 400),
        (OTHER_KEY, "LR-1", TICKET, 403),
    ],
)
async def test_ticket_is_bound_to_caller_service_and_key(
    aiohttp_caller, caller_key, key, ticket, status
):
    answer = ActionAnswer(key, Ran.YES, Reason.NONE, msgspec.Raw(b"1"), None)
    gateway, post = await aiohttp_caller(answer)
    text = "made up" if ticket is None else sign(ticket, gateway.settings.peer_key)
    headers = {"Authorization": f"Bearer {caller_key}", "Idempotency-Key": text}
    body = {"key": key, "action": 1}
    got = await post("/v1/services/leave-search/actions", body, headers)
    assert got == status
    assert [asked.ticket for asked in gateway.asked] == ([ticket] * (status == 200))


async def test_ticket_is_issued_signed(aiohttp_caller):
    gateway, post = await aiohttp_caller(TicketAnswer(TICKET, 600_000.0))
    headers = {"Authorization": f"Bearer {CALLER_KEY}"}
    assert await post("/v1/services/leave-search/tickets", {"key": "LR-1"}, headers)
    (asked,) = gateway.asked
    assert (asked.wants_ticket, asked.key, asked.caller) == (True, "LR-1", "payroll")
    assert verify(post.body["ticket"], gateway.settings.peer_key) == TICKET
    assert post.body["expires_in_ms"] == 600_000


@pytest.fixture
async def aiohttp_caller():
    sites = []

    async def start(answer):
        gateway = FakeGateway(make_rules(), answer)
        runner = web.AppRunner(caller_app(gateway), handler_cancellation=True)
        await runner.setup()
        sites.append(runner)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        host, port = runner.addresses[0][:2]

        async def post(path, body, headers):
            async with (
                ClientSession() as session,
                session.post(
                    f"http://{host}:{port}{path}", json=body, headers=headers
                ) as response,
            ):
                post.body = await response.json()
                return response.status

        return gateway, post

    yield start
    for runner in sites:
        await runner.cleanup()
