"""Run actions: requests that must not run twice."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from burdockmill.errors import Ran
from burdockmill.messages.actions import (
    Action,
    ActionAnswer,
    FetchAnswer,
    SendToPeer,
)
from burdockmill.messages.events import (
    CallerDisconnected,
    PeerReceived,
    PeerUnreachable,
    RequestReceived,
    TicketActionEnded,
    TicketActionStarted,
)
from burdockmill.messages.peer import (
    NO_BODY,
    ActionCancel,
    ActionOutcome,
    ActionRequest,
    PartOutcome,
    PartStatus,
    Reason,
    SessionRequest,
    SessionResponse,
    WorkAnswer,
)
from burdockmill.rules.model import RequestKind
from burdockmill.systems._answer_margin import ANSWER_MARGIN_MS
from burdockmill.systems._owner_sessions import CLOCK_DRIFT_MARGIN_MS
from burdockmill.systems.keyed_system import KeyedSystem
from burdockmill.tables.keyed_row import SentAction

if TYPE_CHECKING:
    import msgspec

    from burdockmill.errors import BurdockmillError
    from burdockmill.messages.events import Event
    from burdockmill.names import HostId, RequestId
    from burdockmill.policies.placement_policy import PlacementPolicy
    from burdockmill.systems._owner_sessions import OwnerSessions, Session
    from burdockmill.systems.routing import Router
    from burdockmill.tables.keyed_row import KeyedRow
    from burdockmill.world import World

MIN_CANCEL_LEAD_MS = 5.0
MAX_CANCEL_WAIT_MS = 100.0
RETRY_FLOOR_MS = 50.0


class ActionSystem(KeyedSystem):
    """Run actions; retry on another replica only if the first surely did not run."""

    name = "action"
    kind = RequestKind.ACTION
    handles = (
        RequestReceived,
        ActionOutcome,
        SessionResponse,
        PeerUnreachable,
        CallerDisconnected,
    )

    def __init__(
        self, router: Router, placement: PlacementPolicy, sessions: OwnerSessions
    ) -> None:
        super().__init__(router, placement)
        self._sessions = sessions
        self._waiting_by_owner: dict[HostId, set[RequestId]] = defaultdict(set)

    def answered(
        self, row: KeyedRow, outcome: PartOutcome, body: msgspec.Raw
    ) -> FetchAnswer | ActionAnswer | BurdockmillError:
        """Return the answer for an action that an upstream executed."""
        return ActionAnswer(row.request.key, Ran.YES, outcome.reason, body, None)

    def failure_result(
        self,
        request: RequestReceived,
        reason: Reason,
        ran: Ran,
        retry_after_ms: int | None,
    ) -> FetchAnswer | ActionAnswer | BurdockmillError:
        """Return the answer for an action that did not run, or may have run."""
        return ActionAnswer(request.key, ran, reason, NO_BODY, retry_after_ms)

    def may_retry(self, outcome: PartOutcome) -> bool:
        """Return whether the action certainly did not run, so that a retry is safe."""
        return outcome.ran == Ran.NO

    def handle_event(self, world: World, event: Event, now_ms: float) -> list[Action]:
        """Handle sessions and outcomes from owners, besides callers' requests."""
        if isinstance(event, PeerReceived):
            match event.message:
                case SessionResponse() as response:
                    self._sessions.apply_response(event.sender, response, now_ms)
                    return self._send_waiting(world, event.sender, now_ms)
                case ActionOutcome() as report:
                    return self._handle_outcome(world, event.sender, report, now_ms)
            return []
        if isinstance(event, TicketActionStarted):
            return self.start_attempt(world, event.request, now_ms)
        if isinstance(event, RequestReceived) and (event.ticket or event.wants_ticket):
            return []
        if isinstance(event, CallerDisconnected) and self._has_ticket(event.request_id):
            return []
        if isinstance(event, PeerUnreachable):
            return self._handle_unreachable(world, event, now_ms)
        return super().handle_event(world, event, now_ms)

    def reply(
        self,
        world: World,
        request: RequestReceived,
        result: FetchAnswer | ActionAnswer | BurdockmillError,
    ) -> list[Action]:
        """Answer the caller, or report to the holder of the ticket that was used."""
        if request.ticket is None or not isinstance(result, ActionAnswer):
            return super().reply(world, request, result)
        _, ran, reason, body, retry_after_ms = result
        event = TicketActionEnded(request.ticket, ran, reason, retry_after_ms, body)
        world.put_event("ticket_holder", event)
        return []

    def send(self, world: World, row: KeyedRow, now_ms: float) -> list[Action]:
        """Send the attempt to the owner's process run; ask first which run that is."""
        session = self._sessions.find(world, row.owner, now_ms)
        session_requests = self._sessions.request_if_due(world, row.owner, now_ms)
        request_id = row.request.request_id
        if session is None:
            self._waiting_by_owner[row.owner].add(request_id)
            return session_requests
        request = self.request_of(row, now_ms)
        lead_ms = _cancel_lead_ms(session, request.remaining_ms)
        cancel_at_ms = row.request.deadline_ms - ANSWER_MARGIN_MS - lead_ms
        not_after_ms = session.to_owner_clock(cancel_at_ms)
        sent = SentAction(session.run_id, not_after_ms, now_ms)
        self.row_by_request[request_id] = row._replace(sent=sent)
        world.due(self.name).schedule(request_id, cancel_at_ms)
        message = ActionRequest(session.run_id, not_after_ms, request)
        return [*session_requests, SendToPeer(row.owner, message)]

    def cancel_attempt(self, row: KeyedRow) -> list[Action]:
        """Request the owner to cancel the attempt and to report its outcome."""
        if row.sent is None:
            self._waiting_by_owner[row.owner].discard(row.request.request_id)
            return []
        cancel = ActionCancel(
            row.sent.run_id, row.sent.not_after_ms, row.request.request_id, row.part
        )
        return [SendToPeer(row.owner, cancel)]

    def handle_deadline(
        self, world: World, row: KeyedRow, now_ms: float
    ) -> list[Action]:
        """Request the cancellation of an action whose time has run out.

        Answer that it did not run if it was never sent; if the cancellation was
        requested before, answer that it is unknown whether it ran.
        """
        if row.sent is None:
            return self._give_up(world, row, Ran.NO, "never sent")
        if row.sent.cancel_requested:
            return self._give_up(world, row, Ran.UNKNOWN, "cancellation unconfirmed")
        answer_at_ms = row.request.deadline_ms - ANSWER_MARGIN_MS
        return self._request_cancel(world, row, answer_at_ms)

    def _has_ticket(self, request_id: RequestId) -> bool:
        row = self.row_by_request.get(request_id)
        return row is not None and row.request.ticket is not None

    def _give_up(
        self, world: World, row: KeyedRow, ran: Ran, cause: str
    ) -> list[Action]:
        self._waiting_by_owner[row.owner].discard(row.request.request_id)
        failure = self.failure_result(row.request, Reason.DEADLINE, ran, None)
        return self.finish(world, row.request, failure, cause)

    def _request_cancel(
        self, world: World, row: KeyedRow, answer_at_ms: float
    ) -> list[Action]:
        assert row.sent is not None
        cancelling = row._replace(sent=row.sent._replace(cancel_requested=True))
        self.row_by_request[row.request.request_id] = cancelling
        world.due(self.name).schedule(row.request.request_id, answer_at_ms)
        world.counter_by_name["action_cancels_asked"] += 1
        return self.cancel_attempt(cancelling)

    def _send_waiting(self, world: World, owner: HostId, now_ms: float) -> list[Action]:
        actions: list[Action] = []
        for request_id in sorted(self._waiting_by_owner.pop(owner, ())):
            row = self.row_by_request.get(request_id)
            if row is not None and row.owner == owner and row.sent is None:
                actions.extend(self.send(world, row, now_ms))
        return actions

    def _handle_outcome(
        self, world: World, sender: HostId, report: ActionOutcome, now_ms: float
    ) -> list[Action]:
        row = self.row_by_request.get(report.request_id)
        if row is None or row.sent is None:
            world.counter_by_name["late_action_outcomes_dropped"] += 1
            return []
        outcome = report.outcome
        if report.run_id != row.sent.run_id:
            # If the process run that reports had started before the action was sent,
            # the addressed run had ended by then and cannot have executed the action.
            self._sessions.discard(sender)
            started_before_send = (
                now_ms - report.uptime_ms + CLOCK_DRIFT_MARGIN_MS < row.sent.sent_ms
            )
            if started_before_send and outcome.ran == Ran.UNKNOWN:
                outcome = outcome._replace(ran=Ran.NO)
        answer = WorkAnswer(report.request_id, row.snapshot, [outcome], [], report.body)
        return self.handle_outcomes(world, sender, answer, now_ms)

    def _handle_unreachable(
        self, world: World, event: PeerUnreachable, now_ms: float
    ) -> list[Action]:
        match event.message:
            case SessionRequest():
                self._sessions.discard(event.host)
                return self._fail_waiting(world, event.host, now_ms)
            case ActionRequest(request=request):
                self._sessions.discard(event.host)
                return self._handle_undelivered(
                    world, event, request.request_id, now_ms
                )
            case ActionCancel(request_id=request_id):
                row = self.row_by_request.get(request_id)
                if row is not None and row.owner == event.host:
                    return self._fail_attempt(world, row, Ran.UNKNOWN, now_ms)
        return []

    def _handle_undelivered(
        self, world: World, event: PeerUnreachable, request_id: RequestId, now_ms: float
    ) -> list[Action]:
        row = self.row_by_request.get(request_id)
        message = event.message
        if row is None or not isinstance(message, ActionRequest):
            return []
        if message.request.parts != [row.part] or row.owner != event.host:
            return []
        if event.ran == Ran.NO:
            return self._fail_attempt(world, row, Ran.NO, now_ms)
        if row.sent is None or row.sent.cancel_requested:
            return []
        answer_at_ms = min(
            now_ms + MAX_CANCEL_WAIT_MS, row.request.deadline_ms - ANSWER_MARGIN_MS
        )
        return self._request_cancel(world, row, answer_at_ms)

    def _fail_waiting(self, world: World, owner: HostId, now_ms: float) -> list[Action]:
        actions: list[Action] = []
        for request_id in sorted(self._waiting_by_owner.pop(owner, ())):
            row = self.row_by_request.get(request_id)
            if row is not None and row.owner == owner and row.sent is None:
                actions.extend(self._fail_attempt(world, row, Ran.NO, now_ms))
        return actions

    def _fail_attempt(
        self, world: World, row: KeyedRow, ran: Ran, now_ms: float
    ) -> list[Action]:
        part = row.part
        part_id = (part.attempt, part.upstream, part.shard)
        failure = PartOutcome(*part_id, PartStatus.FAILED, ran, Reason.NO_OWNER)
        return self.complete_attempt(world, row, failure, NO_BODY, now_ms)


def _cancel_lead_ms(session: Session, remaining_ms: float) -> float:
    lead_ms = MIN_CANCEL_LEAD_MS + 2 * session.round_trip_ms
    return min(lead_ms, remaining_ms / 4)
