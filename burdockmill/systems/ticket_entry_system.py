"""Forward actions with tickets to the process run that holds the ticket."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from burdockmill.errors import OtherActionError, Ran
from burdockmill.messages.actions import (
    Action,
    ActionAnswer,
    Answer,
    LogDecision,
    SendToPeer,
)
from burdockmill.messages.events import (
    CallerDisconnected,
    PeerReceived,
    PeerUnreachable,
    RequestReceived,
)
from burdockmill.messages.peer import (
    NO_BODY,
    Reason,
    SessionRequest,
    SessionResponse,
    TicketLocation,
    TicketOutcome,
    TicketRedemption,
    TicketVerdict,
)
from burdockmill.systems._admission import refuse_start
from burdockmill.systems._answer_margin import ANSWER_MARGIN_MS
from burdockmill.systems.system import System

if TYPE_CHECKING:
    import msgspec

    from burdockmill.messages.events import Event
    from burdockmill.messages.peer import Ticket
    from burdockmill.names import HostId, RequestId
    from burdockmill.systems._owner_sessions import OwnerSessions
    from burdockmill.tables.ticket_locations import TicketHolder, TicketLocations
    from burdockmill.world import World

MAX_HOLDER_CHANGES = 3
REASON_BY_VERDICT = {
    TicketVerdict.UNAVAILABLE: Reason.TICKET_GONE,
    TicketVerdict.EXPIRED: Reason.TICKET_EXPIRED,
}


class TicketUseRow(NamedTuple):
    """Track one use of a ticket.

    `holders` are the process runs tried, the current one last; `started_ms` is when
    the use was first directed to the current one.
    """

    request: RequestReceived
    ticket: Ticket
    holders: tuple[TicketHolder, ...]
    started_ms: float
    is_sent: bool = False


class TicketEntrySystem(System):
    """Forward actions with tickets to the process run that holds the ticket."""

    name = "ticket_entry"
    handles = (
        RequestReceived,
        CallerDisconnected,
        PeerUnreachable,
        SessionResponse,
        TicketOutcome,
        TicketLocation,
    )

    def __init__(self, sessions: OwnerSessions, holders: TicketLocations) -> None:
        self._sessions = sessions
        self._holders = holders
        self._row_by_request: dict[RequestId, TicketUseRow] = {}
        self._waiting_by_host: dict[HostId, set[RequestId]] = {}

    def run(self, world: World, now_ms: float) -> list[Action]:
        """Handle uses and outcomes; answer "unknown" to uses whose deadline is near."""
        actions: list[Action] = []
        for event in world.drain_events(self.name):
            actions.extend(self._handle(world, event, now_ms))
        for request_id in world.due(self.name).pop_due(now_ms):
            actions.extend(self._give_up(world, request_id, Reason.DEADLINE))
        return actions

    def _handle(self, world: World, event: Event, now_ms: float) -> list[Action]:
        match event:
            case RequestReceived(ticket=ticket) if ticket is not None:
                return self._start(world, event, ticket, now_ms)
            case CallerDisconnected(request_id=request_id):
                self._remove(world, request_id)
            case PeerUnreachable():
                return self._handle_unreachable(world, event)
            case PeerReceived(message=SessionResponse() as response):
                self._sessions.apply_response(event.sender, response, now_ms)
                return self._send_waiting(world, event.sender, now_ms)
            case PeerReceived(message=TicketOutcome() as outcome):
                return self._handle_outcome(world, event.sender, outcome)
            case PeerReceived(message=TicketLocation() as update):
                return self._apply_move(world, update, now_ms)
        return []

    def _start(
        self, world: World, request: RequestReceived, ticket: Ticket, now_ms: float
    ) -> list[Action]:
        refusal = refuse_start(world, request, now_ms)
        if refusal:
            return refusal
        holder = self._holders.holder_of(ticket)
        row = TicketUseRow(request, ticket, (holder,), now_ms)
        self._row_by_request[request.request_id] = row
        answer_at_ms = max(now_ms, request.deadline_ms - ANSWER_MARGIN_MS)
        world.due(self.name).schedule(request.request_id, answer_at_ms)
        choice = f"ticket {ticket.number} to {holder.host}"
        decision = LogDecision(
            "route", request.request_id, choice, "that host holds the ticket"
        )
        return [decision, *self._send(world, row, now_ms)]

    def _send(self, world: World, row: TicketUseRow, now_ms: float) -> list[Action]:
        holder, request_id = row.holders[-1], row.request.request_id
        session = self._sessions.find(world, holder.host, now_ms)
        if session is not None and session.run_id != holder.run_id:
            # This session was requested after `started_ms` and names another process
            # run, so the holder's run has ended.
            if session.asked_ms >= row.started_ms:
                return self._give_up(world, request_id, Reason.TICKET_GONE)
            self._sessions.discard(holder.host)
            session = None
        session_requests = self._sessions.request_if_due(world, holder.host, now_ms)
        if session is None:
            self._waiting_by_host.setdefault(holder.host, set()).add(request_id)
            return session_requests
        not_after_ms = (
            row.request.deadline_ms - ANSWER_MARGIN_MS - session.round_trip_ms
        )
        use = TicketRedemption(
            holder.run_id,
            session.to_owner_clock(not_after_ms),
            request_id,
            row.ticket,
            row.request.body,
        )
        self._row_by_request[request_id] = row._replace(is_sent=True)
        return [*session_requests, SendToPeer(holder.host, use)]

    def _send_waiting(self, world: World, host: HostId, now_ms: float) -> list[Action]:
        actions: list[Action] = []
        for request_id in sorted(self._waiting_by_host.pop(host, ())):
            row = self._row_by_request.get(request_id)
            if row is not None and not row.is_sent and row.holders[-1].host == host:
                actions.extend(self._send(world, row, now_ms))
        return actions

    def _apply_move(
        self, world: World, update: TicketLocation, now_ms: float
    ) -> list[Action]:
        self._holders.record(update)
        actions: list[Action] = []
        for row in list(self._row_by_request.values()):
            if row.ticket.run_id != update.origin_run_id:
                continue
            holder = self._holders.holder_of(row.ticket)
            if holder in row.holders or len(row.holders) > MAX_HOLDER_CHANGES:
                continue
            moved_row = row._replace(
                holders=(*row.holders, holder), started_ms=now_ms, is_sent=False
            )
            self._row_by_request[row.request.request_id] = moved_row
            actions.extend(self._send(world, moved_row, now_ms))
        return actions

    def _handle_outcome(
        self, world: World, sender: HostId, outcome: TicketOutcome
    ) -> list[Action]:
        row = self._row_by_request.get(outcome.request_id)
        if row is None or sender not in {holder.host for holder in row.holders}:
            world.counter_by_name["late_ticket_outcomes_dropped"] += 1
            return []
        if outcome.verdict == TicketVerdict.OTHER_ACTION:
            self._remove(world, outcome.request_id)
            error = OtherActionError("This ticket was spent on another action.")
            return [Answer(outcome.request_id, error)]
        if outcome.verdict in REASON_BY_VERDICT:
            reason = REASON_BY_VERDICT[outcome.verdict]
            return self._give_up(world, outcome.request_id, reason)
        return self._answer(
            world,
            row,
            outcome.ran,
            outcome.reason,
            outcome.retry_after_ms,
            outcome.body,
        )

    def _handle_unreachable(self, world: World, event: PeerUnreachable) -> list[Action]:
        match event.message:
            case SessionRequest():
                self._sessions.discard(event.host)
                failed_ids = sorted(self._waiting_by_host.pop(event.host, ()))
            case TicketRedemption(request_id=request_id):
                self._sessions.discard(event.host)
                failed_ids = [request_id]
            case _:
                return []
        actions: list[Action] = []
        for request_id in failed_ids:
            row = self._row_by_request.get(request_id)
            if row is not None and row.holders[-1].host == event.host:
                actions.extend(self._give_up(world, request_id, Reason.NO_OWNER))
        return actions

    def _give_up(
        self, world: World, request_id: RequestId, reason: Reason
    ) -> list[Action]:
        row = self._row_by_request.get(request_id)
        if row is None:
            return []
        world.counter_by_name[f"tickets_unknown_{reason}"] += 1
        return self._answer(world, row, Ran.UNKNOWN, reason, None, NO_BODY)

    def _answer(
        self,
        world: World,
        row: TicketUseRow,
        ran: Ran,
        reason: Reason,
        retry_after_ms: int | None,
        body: msgspec.Raw,
    ) -> list[Action]:
        request_id = row.request.request_id
        self._remove(world, request_id)
        answer = ActionAnswer(row.request.key, ran, reason, body, retry_after_ms)
        choice = f"ticket {row.ticket.number}: {ran}"
        decision = LogDecision("answer", request_id, choice, str(reason) or "outcome")
        return [Answer(request_id, answer), decision]

    def _remove(self, world: World, request_id: RequestId) -> None:
        row = self._row_by_request.pop(request_id, None)
        if row is None:
            return
        world.due(self.name).cancel(request_id)
        waiting = self._waiting_by_host.get(row.holders[-1].host)
        if waiting is not None:
            waiting.discard(request_id)
