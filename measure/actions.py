"""Measure the cost and the effect of tickets and confirmed cancellation.

A ticket allows one action, which then runs at most once however often it is sent.
"""

from __future__ import annotations

import tracemalloc
from typing import NamedTuple
from unittest.mock import patch

import msgspec

from burdockmill.errors import Ran
from burdockmill.messages.actions import ActionAnswer, TicketAnswer
from burdockmill.messages.peer import (
    ActionCancel,
    ActionOutcome,
    ActionRequest,
    SessionRequest,
    SessionResponse,
    TicketOutcome,
    TicketRedemption,
    TicketVerdict,
    WorkAnswer,
    WorkCancel,
    WorkRequest,
)
from burdockmill.rules.model import RequestKind
from burdockmill.systems.action_system import ActionSystem
from burdockmill.tables.ticket_store import TicketRow, TicketStore
from measure._actions_fleet import (
    DEADLINE_MS,
    HOSTS,
    FixedTimeUpstreams,
    LossyLink,
    make_request,
    start_fleet,
)
from measure.records import Figure, write_records

SEED = 5
REQUESTS = 600
REQUEST_INTERVAL_MS = 40.0
LOSS_SHARE = 0.1
USED_TICKETS = 20_000
RESULT = msgspec.Raw(b'{"state":"booked","slope":4}')
COUNTED_MESSAGES = (
    ActionCancel,
    ActionOutcome,
    ActionRequest,
    SessionRequest,
    SessionResponse,
    TicketOutcome,
    TicketRedemption,
    WorkAnswer,
    WorkCancel,
    WorkRequest,
)


class Cost(NamedTuple):
    """Store the mean messages between hosts and mean virtual time of a request."""

    messages: float
    took_ms: float


class AnswerAccuracy(NamedTuple):
    """Count answers that do not match whether the action ran, under message loss.

    `unknown_not_executed` counts "unknown" for actions that did not run,
    `false_not_run` counts "not run" for actions that did.
    """

    unknown_not_executed: int
    false_not_run: int


def main() -> None:
    """Measure messages, time and wrong answers of actions, and write the records."""
    fetch = cost_of(RequestKind.FETCH)
    action = cost_of(RequestKind.ACTION)
    ticketed = cost_of(RequestKind.ACTION, with_tickets=True)
    confirmed = accuracy_with_loss()
    with patch.object(ActionSystem, "cancel_attempt", lambda self, row: []):
        unconfirmed = accuracy_with_loss()
    write_records(
        "actions",
        [
            Figure(
                "actions.messages",
                action.messages,
                "messages an action",
                fetch.messages,
                seed=SEED,
            ),
            Figure(
                "actions.messages_with_ticket",
                ticketed.messages,
                "messages an action",
                action.messages,
                seed=SEED,
            ),
            Figure("actions.took_ms", action.took_ms, "ms", fetch.took_ms, seed=SEED),
            Figure(
                "actions.took_ms_with_ticket",
                ticketed.took_ms,
                "ms",
                action.took_ms,
                seed=SEED,
            ),
            Figure(
                "actions.unknown_though_unrun_loss10",
                confirmed.unknown_not_executed,
                f"answers of {REQUESTS}",
                unconfirmed.unknown_not_executed,
                seed=SEED,
            ),
            Figure(
                "actions.false_not_run_loss10",
                confirmed.false_not_run,
                f"answers of {REQUESTS}",
                unconfirmed.false_not_run,
                "== 0",
                SEED,
            ),
            Figure("actions.bytes_per_spent_ticket", bytes_per_used_ticket(), "bytes"),
        ],
    )


def cost_of(kind: RequestKind, *, with_tickets: bool = False) -> Cost:
    """Return the mean messages between hosts and mean virtual time of a request."""
    fleet = start_fleet(SEED, FixedTimeUpstreams(), LossyLink())
    tickets = []
    for index in range(REQUESTS if with_tickets else 0):
        host = HOSTS[index % len(HOSTS)]
        request = make_request(fleet, f"t{index}", host, kind)
        fleet.post(host, request._replace(wants_ticket=True))
        result = fleet.answers[-1].answer.result
        assert isinstance(result, TicketAnswer)
        tickets.append(result.ticket)
    fleet.answers.clear()
    sent = 0

    def count(sender: str, to: str, message: object) -> None:
        nonlocal sent
        sent += isinstance(message, COUNTED_MESSAGES)

    fleet.on_message = count
    took_ms = 0.0
    for index in range(REQUESTS):
        host = HOSTS[index * 2 % len(HOSTS)]
        asked_ms = fleet.clock.now_ms()
        request = make_request(fleet, f"r{index}", host, kind)
        if with_tickets:
            request = request._replace(ticket=tickets[index])
        fleet.post(host, request)
        fleet.run_until(asked_ms + REQUEST_INTERVAL_MS)
        took_ms += fleet.answers[-1].at_ms - asked_ms
    return Cost(sent / REQUESTS, took_ms / REQUESTS)


def accuracy_with_loss() -> AnswerAccuracy:
    """Count answers that do not match what ran, with a tenth of the messages lost."""
    upstreams, link = FixedTimeUpstreams(), LossyLink()
    fleet = start_fleet(SEED, upstreams, link)
    link.loss_share = LOSS_SHARE
    for index in range(REQUESTS):
        host = HOSTS[index % len(HOSTS)]
        request = make_request(fleet, f"r{index}", host, RequestKind.ACTION)
        fleet.post(host, request)
        fleet.run_until(fleet.clock.now_ms() + REQUEST_INTERVAL_MS)
    fleet.run_until(fleet.clock.now_ms() + 2 * DEADLINE_MS)
    unknown_not_executed = false_not_run = 0
    for answered in fleet.answers:
        result = answered.answer.result
        assert isinstance(result, ActionAnswer)
        has_run = answered.answer.request_id in upstreams.executed_request_ids
        unknown_not_executed += result.ran == Ran.UNKNOWN and not has_run
        false_not_run += result.ran == Ran.NO and has_run
    return AnswerAccuracy(unknown_not_executed, false_not_run)


def bytes_per_used_ticket() -> float:
    """Return the bytes of memory of one used ticket, its small result included."""
    outcome = TicketOutcome("", TicketVerdict.OUTCOME, Ran.YES)
    tracemalloc.start()
    store = TicketStore("0123456789abcdef")
    for number in range(USED_TICKETS):
        body = msgspec.Raw(bytes(RESULT) + str(number).encode())
        row = TicketRow(600_000.0 + number, f"{number:032x}", None)
        store.put(number, row)
        done = row._replace(outcome=outcome._replace(body=body))
        store.put(number, done)
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used / USED_TICKETS


if __name__ == "__main__":
    main()
