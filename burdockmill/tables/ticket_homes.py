"""Track which process run holds the tickets of a run that has stopped."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from burdockmill.messages.peer import Ticket, TicketHome
    from burdockmill.names import HostId

HOLDERS_LIMIT = 4_096


class Home(NamedTuple):
    """Identify one run of a host: its process from a start to the next stop."""

    host: HostId
    run_id: str


class TicketHomes:
    """Store the ticket holders of a bounded number of stopped runs."""

    def __init__(self) -> None:
        self._holder_by_run: OrderedDict[str, Home] = OrderedDict()

    def learn(self, message: TicketHome) -> None:
        """Record the holder of a run's tickets; the latest message to arrive wins."""
        self._holder_by_run[message.origin_run_id] = Home(message.host, message.run_id)
        self._holder_by_run.move_to_end(message.origin_run_id)
        if len(self._holder_by_run) > HOLDERS_LIMIT:
            self._holder_by_run.popitem(last=False)

    def of(self, ticket: Ticket) -> Home:
        """Return a ticket's recorded holder; by default the run that issued it."""
        return self._holder_by_run.get(ticket.run_id, Home(ticket.host, ticket.run_id))

    def of_run(self, run_id: str) -> Home | None:
        """Return the recorded holder of a run's tickets, or None."""
        return self._holder_by_run.get(run_id)
