"""Hand over the tickets of a stopping host to one process run of a successor."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.errors import Ran
from burdockmill.messages.actions import Action, LogDecision, SendToPeer
from burdockmill.messages.peer import (
    Reason,
    SpentTicket,
    TicketHandover,
    TicketLocation,
    TicketOutcome,
    TicketVerdict,
)
from burdockmill.placement import live_hosts, rendezvous
from burdockmill.tables.ticket_locations import TicketHolder
from burdockmill.tables.ticket_store import TicketStore

if TYPE_CHECKING:
    from burdockmill.messages.peer import TicketRedemption
    from burdockmill.names import HostId
    from burdockmill.systems._owner_sessions import OwnerSessions
    from burdockmill.tables.ticket_locations import TicketLocations
    from burdockmill.world import World

FREEZE_AFTER_MS = 1_000.0
PENDING_WAIT_LIMIT_MS = 4_000.0
RESEND_INTERVAL_MS = 200.0
TICKETS_PER_PART = 500
ADOPTED_RUNS_LIMIT = 16
DEFERRED_USES_LIMIT = 1_000


class TicketHandovers:
    """Freeze and send the tickets of a stopping host; adopt those of other hosts."""

    def __init__(
        self,
        sessions: OwnerSessions,
        holders: TicketLocations,
        store_by_run: dict[str, TicketStore],
    ) -> None:
        self.due_ms: float | None = None
        self._sessions = sessions
        self._holders = holders
        self._store_by_run = store_by_run
        self._frozen_from_ms = float("inf")
        self._resend_at_ms = float("-inf")
        self._successor: TicketHolder | None = None
        self._parts_by_run: dict[str, list[TicketHandover]] = {}
        self._delivered_by_run: dict[str, set[int]] = {}
        self._received_by_run: dict[str, dict[int, TicketHandover]] = {}
        self._adopted_runs: set[str] = set()
        self._deferred: list[tuple[HostId, TicketRedemption]] = []

    def start(self, now_ms: float) -> None:
        """Start the handover; tickets can be spent here for FREEZE_AFTER_MS more."""
        self._frozen_from_ms = now_ms + FREEZE_AFTER_MS
        self.due_ms = self._frozen_from_ms

    def is_frozen(self, now_ms: float) -> bool:
        """Return whether this host has stopped spending tickets."""
        return now_ms >= self._frozen_from_ms

    def defer(self, sender: HostId, use: TicketRedemption) -> bool:
        """Defer a use until the successor has the tickets; return False when full."""
        if len(self._deferred) >= DEFERRED_USES_LIMIT:
            return False
        self._deferred.append((sender, use))
        return True

    def open_work(self) -> int:
        """Return how many runs' tickets a stopping host has yet to hand over."""
        if self._frozen_from_ms == float("inf"):
            return 0
        return sum(not self._is_delivered(run_id) for run_id in self._store_by_run)

    def record_delivery(self, part: TicketHandover) -> None:
        """Record that the successor received a message, adopted or not."""
        self._delivered_by_run.setdefault(part.origin_run_id, set()).add(part.part)

    def step(self, world: World, now_ms: float) -> list[Action]:
        """Send the frozen tickets once pending actions end or the wait limit passes."""
        if not self.is_frozen(now_ms):
            return []
        self.due_ms = None
        for run_id, store in list(self._store_by_run.items()):
            if store.all_expired(now_ms):
                del self._store_by_run[run_id]
        if not self._store_by_run:
            return []
        self.due_ms = max(self._resend_at_ms, now_ms + RESEND_INTERVAL_MS)
        pending = sum(store.pending for store in self._store_by_run.values())
        if pending and now_ms < self._frozen_from_ms + PENDING_WAIT_LIMIT_MS:
            return []
        if self._successor is None:
            return self._choose_successor(world, now_ms)
        if now_ms < self._resend_at_ms:
            return []
        return self._send(world, now_ms)

    def receive(
        self, world: World, sender: HostId, part: TicketHandover, now_ms: float
    ) -> list[Action]:
        """Store a handover message; adopt the run's tickets once all have arrived."""
        run_id = part.origin_run_id
        if part.to_run_id != world.run_id:
            world.counter_by_name["handovers_for_other_run_dropped"] += 1
            return []
        update = TicketLocation(run_id, world.host, world.run_id)
        if run_id in self._adopted_runs:
            return [SendToPeer(sender, update)]
        is_stopping = self._frozen_from_ms < float("inf")
        if is_stopping or len(self._adopted_runs) >= ADOPTED_RUNS_LIMIT:
            world.counter_by_name["handovers_refused"] += 1
            return []
        received = self._received_by_run.setdefault(run_id, {})
        received[part.part] = part
        if len(received) < part.parts:
            return []
        del self._received_by_run[run_id]
        store = TicketStore(run_id, part.clock_ms - now_ms, part.last_expiry_ms)
        for received_part in received.values():
            store.add_handed_over(received_part.spent)
        self._store_by_run[run_id] = store
        self._adopted_runs.add(run_id)
        self._holders.record(update)
        world.counter_by_name["handovers_taken"] += 1
        decision = LogDecision(
            "ticket", "", f"adopted the tickets of {sender}", "that host is stopping"
        )
        others = [host for host in world.member_by_host if host != world.host]
        return [decision, *(SendToPeer(host, update) for host in others)]

    def handle_adoption(self, sender: HostId, update: TicketLocation) -> list[Action]:
        """Discard tickets that the successor adopted; redirect deferred uses to it."""
        if (
            self._successor != TicketHolder(update.host, update.run_id)
            or sender != update.host
        ):
            return []
        self._store_by_run.pop(update.origin_run_id, None)
        self._parts_by_run.pop(update.origin_run_id, None)
        deferred = self._deferred
        self._deferred = []
        actions: list[Action] = []
        for host, use in deferred:
            if use.ticket.run_id == update.origin_run_id:
                actions.append(SendToPeer(host, update))
            else:
                self._deferred.append((host, use))
        return actions

    def _is_delivered(self, run_id: str) -> bool:
        parts = self._parts_by_run.get(run_id)
        delivered_parts = self._delivered_by_run.get(run_id, set())
        return parts is not None and len(delivered_parts) == len(parts)

    def _choose_successor(self, world: World, now_ms: float) -> list[Action]:
        members = [
            row for row in world.member_by_host.values() if row.host != world.host
        ]
        same_domain = live_hosts(members, world.domain)
        all_live = [row.host for row in members if row.alive and not row.leaving]
        host = rendezvous(same_domain or all_live, world.run_id)
        if host is None:
            world.counter_by_name["handovers_without_successor"] += 1
            self._store_by_run.clear()
            return []
        session = self._sessions.find(world, host, now_ms)
        if session is None and now_ms < self._resend_at_ms:
            return []
        if session is None:
            self._resend_at_ms = now_ms + RESEND_INTERVAL_MS
            return self._sessions.request_if_due(world, host, now_ms)
        self._successor = TicketHolder(host, session.run_id)
        return self._send(world, now_ms)

    def _send(self, world: World, now_ms: float) -> list[Action]:
        assert self._successor is not None
        self._resend_at_ms = now_ms + RESEND_INTERVAL_MS
        actions: list[Action] = []
        for run_id, store in self._store_by_run.items():
            if run_id not in self._parts_by_run:
                self._parts_by_run[run_id] = self._parts_of(store, now_ms)
                choice = f"{len(store)} spent tickets to {self._successor.host}"
                actions.append(
                    LogDecision("ticket", "", choice, "this host is stopping")
                )
            host = self._successor.host
            actions.extend(
                SendToPeer(host, part._replace(clock_ms=store.clock_ms(now_ms)))
                for part in self._parts_by_run[run_id]
            )
        return actions

    def _parts_of(self, store: TicketStore, now_ms: float) -> list[TicketHandover]:
        assert self._successor is not None
        unknown = TicketOutcome(
            "", TicketVerdict.OUTCOME, Ran.UNKNOWN, Reason.TICKET_GONE
        )
        spent = [
            SpentTicket(number, row.expires_ms, row.digest, row.outcome or unknown)
            for number, row in store.rows().items()
        ]
        chunks = [
            spent[first : first + TICKETS_PER_PART]
            for first in range(0, max(1, len(spent)), TICKETS_PER_PART)
        ]
        return [
            TicketHandover(
                self._successor.run_id,
                store.run_id,
                store.clock_ms(now_ms),
                store.last_expiry_ms,
                index,
                len(chunks),
                chunk,
            )
            for index, chunk in enumerate(chunks)
        ]
