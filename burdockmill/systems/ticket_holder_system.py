"""Issue tickets, run each action at most once and store its first outcome."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import xxhash

from burdockmill.errors import OverloadedError, Ran
from burdockmill.messages.actions import Action, Answer, SendToPeer, TicketAnswer
from burdockmill.messages.events import (
    HostStopping,
    PeerDelivered,
    PeerReceived,
    PeerUnreachable,
    RequestReceived,
    TicketActionEnded,
    TicketActionStarted,
)
from burdockmill.messages.peer import (
    NO_BODY,
    Reason,
    SessionResponse,
    Ticket,
    TicketHandover,
    TicketLocation,
    TicketOutcome,
    TicketRedemption,
    TicketVerdict,
)
from burdockmill.rules.model import RequestKind
from burdockmill.systems._admission import refuse_start
from burdockmill.systems._answer_margin import ANSWER_MARGIN_MS
from burdockmill.systems._ticket_handover import TicketHandovers
from burdockmill.systems.action_system import ActionSystem
from burdockmill.systems.system import System
from burdockmill.tables.ticket_store import TicketRow, TicketStore

if TYPE_CHECKING:
    from burdockmill.messages.events import Event
    from burdockmill.names import HostId, RequestId
    from burdockmill.systems._owner_sessions import OwnerSessions
    from burdockmill.tables.ticket_locations import TicketLocations
    from burdockmill.world import World

TICKET_LIFETIME_MS = 600_000.0
UNEXPIRED_TICKETS_LIMIT = 100_000
MAX_STORED_BODY_BYTES = 4_096
FULL_RETRY_AFTER_MS = 10_000


class TicketHolderSystem(System):
    """Issue tickets, run each action at most once and store its first outcome."""

    name = "ticket_holder"
    handles = (
        RequestReceived,
        TicketRedemption,
        TicketHandover,
        TicketLocation,
        SessionResponse,
        PeerDelivered,
        PeerUnreachable,
        HostStopping,
    )

    def __init__(
        self,
        sessions: OwnerSessions,
        holders: TicketLocations,
        issued_limit: int = UNEXPIRED_TICKETS_LIMIT,
    ) -> None:
        self._holders = holders
        self._issued_limit = issued_limit
        self._last_number = 0
        self._unexpired_expiries_ms: deque[float] = deque()
        self._store_by_run: dict[str, TicketStore] = {}
        self._handovers = TicketHandovers(sessions, holders, self._store_by_run)

    def open_work(self) -> int:
        """Return how many runs' tickets a stopping host has yet to hand over."""
        return self._handovers.open_work()

    def run(self, world: World, now_ms: float) -> list[Action]:
        """Issue and spend tickets, report outcomes; hand over when this host stops."""
        actions: list[Action] = []
        for store in self._store_by_run.values():
            store.remove_expired(now_ms)
        for event in world.drain_events(self.name):
            actions.extend(self._handle(world, event, now_ms))
        world.due(self.name).pop_due(now_ms)
        actions.extend(self._handovers.step(world, now_ms))
        due_ms = self._handovers.due_ms
        if due_ms is not None:
            world.due(self.name).schedule("handover", due_ms)
        spent = sum(len(store) for store in self._store_by_run.values())
        world.counter_by_name["tickets_spent_kept"] = spent
        return actions

    def _handle(self, world: World, event: Event, now_ms: float) -> list[Action]:
        match event:
            case RequestReceived(wants_ticket=True):
                return self._issue(world, event, now_ms)
            case TicketActionEnded():
                return self._record_outcome(event)
            case HostStopping():
                self._handovers.start(now_ms)
            case PeerDelivered(message=TicketHandover() as part):
                self._handovers.record_delivery(part)
            case PeerReceived(message=TicketRedemption() as use):
                return self._handle_use(world, event.sender, use, now_ms)
            case PeerReceived(message=TicketHandover() as part):
                return self._handovers.receive(world, event.sender, part, now_ms)
            case PeerReceived(message=TicketLocation() as update):
                self._holders.record(update)
                return self._handovers.handle_adoption(event.sender, update)
        return []

    def _issue(
        self, world: World, request: RequestReceived, now_ms: float
    ) -> list[Action]:
        refusal = refuse_start(world, request, now_ms)
        if refusal:
            return refusal
        while self._unexpired_expiries_ms and self._unexpired_expiries_ms[0] <= now_ms:
            self._unexpired_expiries_ms.popleft()
        if len(self._unexpired_expiries_ms) >= self._issued_limit:
            world.counter_by_name["tickets_refused_full"] += 1
            error = OverloadedError(
                f"{self._issued_limit} unexpired tickets already exist on this host.",
                retry_after_ms=FULL_RETRY_AFTER_MS,
            )
            return [Answer(request.request_id, error)]
        self._last_number += 1
        expires_ms = now_ms + TICKET_LIFETIME_MS
        self._unexpired_expiries_ms.append(expires_ms)
        store = self._store_by_run.setdefault(world.run_id, TicketStore(world.run_id))
        store.last_expiry_ms = expires_ms
        ticket = Ticket(
            world.host,
            world.run_id,
            self._last_number,
            expires_ms,
            request.caller,
            request.service,
            request.key,
        )
        return [Answer(request.request_id, TicketAnswer(ticket, TICKET_LIFETIME_MS))]

    def _handle_use(
        self, world: World, sender: HostId, use: TicketRedemption, now_ms: float
    ) -> list[Action]:
        ticket = use.ticket
        successor = self._holders.holder_of_run(ticket.run_id)
        if successor is not None and successor.run_id != world.run_id:
            return [SendToPeer(sender, TicketLocation(ticket.run_id, *successor))]
        store = self._store_by_run.get(ticket.run_id)
        if store is None or use.run_id != world.run_id:
            return [_verdict_message(sender, use, TicketVerdict.UNAVAILABLE)]
        digest = xxhash.xxh3_128_hexdigest(bytes(use.body))
        row = store.find(ticket.number)
        if row is not None:
            return self._handle_repeated_use(world, store, sender, use, row, digest)
        if store.has_expired(ticket, now_ms):
            world.counter_by_name["tickets_expired_refused"] += 1
            return [_verdict_message(sender, use, TicketVerdict.EXPIRED)]
        if self._handovers.is_frozen(now_ms):
            if self._handovers.defer(sender, use):
                return []
            world.counter_by_name["held_ticket_uses_refused"] += 1
            return [_verdict_message(sender, use, TicketVerdict.UNAVAILABLE)]
        return self._spend(world, store, sender, use, digest, now_ms)

    def _handle_repeated_use(
        self,
        world: World,
        store: TicketStore,
        sender: HostId,
        use: TicketRedemption,
        row: TicketRow,
        digest: str,
    ) -> list[Action]:
        if row.digest != digest:
            world.counter_by_name["tickets_for_other_action_refused"] += 1
            return [_verdict_message(sender, use, TicketVerdict.OTHER_ACTION)]
        if row.outcome is not None:
            world.counter_by_name["tickets_recalled"] += 1
            outcome = row.outcome._replace(request_id=use.request_id)
            return [SendToPeer(sender, outcome)]
        requester = (sender, use.request_id)
        if requester not in row.waiting_requesters:
            row = row._replace(waiting_requesters=(*row.waiting_requesters, requester))
            store.put(use.ticket.number, row)
        return []

    def _spend(
        self,
        world: World,
        store: TicketStore,
        sender: HostId,
        use: TicketRedemption,
        digest: str,
        now_ms: float,
    ) -> list[Action]:
        ticket, waiting = use.ticket, ((sender, use.request_id),)
        row = TicketRow(ticket.expires_ms, digest, None, waiting)
        store.put(ticket.number, row)
        if use.not_after_ms <= now_ms:
            not_run = TicketActionEnded(ticket, Ran.NO, Reason.DEADLINE, None, NO_BODY)
            return self._record_outcome(not_run)
        request = RequestReceived(
            request_id=use.request_id,
            kind=RequestKind.ACTION,
            service=ticket.service,
            caller=ticket.caller,
            deadline_ms=use.not_after_ms + ANSWER_MARGIN_MS,
            limit=1,
            key=ticket.key,
            body=use.body,
            ticket=ticket,
        )
        world.put_event(ActionSystem.name, TicketActionStarted(request))
        return []

    def _record_outcome(self, event: TicketActionEnded) -> list[Action]:
        store = self._store_by_run.get(event.ticket.run_id)
        row = store.find(event.ticket.number) if store is not None else None
        if store is None or row is None or row.outcome is not None:
            return []
        outcome = TicketOutcome(
            "",
            TicketVerdict.OUTCOME,
            event.ran,
            event.reason,
            event.retry_after_ms,
            event.body,
        )
        stored = outcome
        if len(event.body) > MAX_STORED_BODY_BYTES:
            stored = outcome._replace(body=NO_BODY)
        completed = TicketRow(row.expires_ms, row.digest, stored)
        store.put(event.ticket.number, completed)
        return [
            _outcome_message(host, request_id, outcome)
            for host, request_id in row.waiting_requesters
        ]


def _outcome_message(
    host: HostId, request_id: RequestId, outcome: TicketOutcome
) -> SendToPeer:
    return SendToPeer(host, outcome._replace(request_id=request_id))


def _verdict_message(
    sender: HostId, use: TicketRedemption, verdict: TicketVerdict
) -> SendToPeer:
    return SendToPeer(sender, TicketOutcome(use.request_id, verdict))
