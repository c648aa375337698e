"""Track which process run holds the tickets of a run that has stopped."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from burdockmill.messages.peer import Ticket, TicketLocation
    from burdockmill.names import HostId

HOLDERS_LIMIT = 4_096


class TicketHolder(NamedTuple):
    """Identify one run of a host: its process from a start to the next stop."""

    host: HostId
    run_id: str


class TicketLocations:
    """Store the ticket holders of a bounded number of stopped runs."""

    def __init__(self) -> None:
        self._holder_by_run: OrderedDict[str, TicketHolder] = OrderedDict()

    def record(self, message: TicketLocation) -> None:
        """Record the holder of a run's tickets; the latest message to arrive wins."""
        self._holder_by_run[message.origin_run_id] = TicketHolder(
            message.host, message.run_id
        )
        self._holder_by_run.move_to_end(message.origin_run_id)
        if len(self._holder_by_run) > HOLDERS_LIMIT:
            self._holder_by_run.popitem(last=False)

    def holder_of(self, ticket: Ticket) -> TicketHolder:
        """Return a ticket's recorded holder; by default the run that issued it."""
        return self._holder_by_run.get(
            ticket.run_id, TicketHolder(ticket.host, ticket.run_id)
        )

    def holder_of_run(self, run_id: str) -> TicketHolder | None:
        """Return the recorded holder of a run's tickets, or None."""
        return self._holder_by_run.get(run_id)
