"""Store the spent tickets of one process run of a host."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from burdockmill.tables.timer_queue import TimerQueue

if TYPE_CHECKING:
    from burdockmill.messages.peer import SpentTicket, Ticket, TicketOutcome
    from burdockmill.names import HostId, RequestId


class TicketRow(NamedTuple):
    """Describe a spent ticket; `outcome` is None while its action runs.

    `digest` is of the action's body; `waiting_requesters` lists the requests to answer
    with the outcome.
    """

    expires_ms: float
    digest: str
    outcome: TicketOutcome | None
    waiting_requesters: tuple[tuple[HostId, RequestId], ...] = ()


class TicketStore:
    """Store spent tickets by number until they expire by their issuer's clock."""

    def __init__(
        self, run_id: str, offset_ms: float = 0.0, last_expiry_ms: float = 0.0
    ) -> None:
        self.run_id = run_id
        self.last_expiry_ms = last_expiry_ms
        self.pending = 0
        self._offset_ms = offset_ms
        self._row_by_number: dict[int, TicketRow] = {}
        self._due: TimerQueue[int] = TimerQueue()

    def __len__(self) -> int:
        return len(self._row_by_number)

    def clock_ms(self, now_ms: float) -> float:
        """Convert a time of this host's clock to the issuer's clock."""
        return now_ms + self._offset_ms

    def all_expired(self, now_ms: float) -> bool:
        """Return whether every ticket of this run has expired."""
        return self.last_expiry_ms <= self.clock_ms(now_ms)

    def has_expired(self, ticket: Ticket, now_ms: float) -> bool:
        """Return whether a ticket has expired; its use may no longer be stored."""
        return ticket.expires_ms <= self.clock_ms(now_ms)

    def find(self, number: int) -> TicketRow | None:
        """Return a spent ticket, or None when it is unspent or has expired."""
        return self._row_by_number.get(number)

    def put(self, number: int, row: TicketRow) -> None:
        """Store a spent ticket until it expires."""
        previous = self._row_by_number.get(number)
        self.pending += _is_pending(row) - _is_pending(previous)
        self._row_by_number[number] = row
        self._due.schedule(number, row.expires_ms)

    def add_handed_over(self, spent: list[SpentTicket]) -> None:
        """Store the spent tickets that another host handed over."""
        for ticket in spent:
            self.put(
                ticket.number,
                TicketRow(ticket.expires_ms, ticket.digest, ticket.outcome),
            )

    def rows(self) -> dict[int, TicketRow]:
        """Return all spent tickets by number."""
        return self._row_by_number

    def remove_expired(self, now_ms: float) -> None:
        """Remove the tickets that have expired."""
        for number in self._due.pop_due(self.clock_ms(now_ms)):
            self.pending -= _is_pending(self._row_by_number.pop(number, None))


def _is_pending(row: TicketRow | None) -> int:
    return int(row is not None and row.outcome is None)
