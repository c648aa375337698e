"""Track the hosts to which a request was handed over, and how each ended it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.errors import BurdockmillError, Ran
from burdockmill.relay.actions import RelayEnd

if TYPE_CHECKING:
    from burdockmill.names import HostId
    from burdockmill.relay.actions import RelayOutcome


class RelayRow:
    """Describe a request at another host; `outcome` is None while it runs there.

    `attempts_limit` is how many upstreams it may let run each part. `is_written` is
    whether any byte of the request may have left this host.
    """

    __slots__ = (
        "attempts_limit",
        "host",
        "is_written",
        "number",
        "outcome",
        "sent_ms",
        "took_ms",
    )

    def __init__(
        self, number: int, host: HostId, attempts_limit: int, sent_ms: float
    ) -> None:
        self.attempts_limit = attempts_limit
        self.number = number
        self.host = host
        self.is_written = False
        self.sent_ms = sent_ms
        self.took_ms: float | None = None
        self.outcome: RelayOutcome | None = None

    @property
    def may_have_run(self) -> bool:
        """Return whether the host may have run the request, or may still run it."""
        return self.outcome is None or self.outcome.end is RelayEnd.LOST

    @property
    def certainly_not_run(self) -> bool:
        """Return whether the host has not run the request, and never will.

        A request that was not written yet is not written any more once it is withdrawn.
        """
        if self.outcome is None:
            return not self.is_written
        if self.outcome.end is RelayEnd.ANSWERED:
            result = self.outcome.result
            return isinstance(result, BurdockmillError) and result.ran is Ran.NO
        return self.outcome.end is not RelayEnd.LOST

    @property
    def ran(self) -> Ran:
        """Return whether the request has run at the host, as far as is known."""
        if self.certainly_not_run:
            return Ran.NO
        result = None if self.outcome is None else self.outcome.result
        if result is None or isinstance(result, BurdockmillError):
            return Ran.UNKNOWN
        return Ran.YES


class RelayRows(list[RelayRow]):
    """Store the rows of one request, in the order in which it was handed over."""

    @property
    def hosts(self) -> list[HostId]:
        """Return the hosts that were given the request."""
        return [row.host for row in self]

    @property
    def open(self) -> list[RelayRow]:
        """Return the rows of hosts that still run the request."""
        return [row for row in self if row.outcome is None]

    @property
    def certainly_not_run(self) -> bool:
        """Return whether none of the hosts has run the request, or ever will."""
        return all(row.certainly_not_run for row in self)

    @property
    def has_lost(self) -> bool:
        """Return whether a host may have run the request and gave no answer."""
        return any(row.may_have_run and not row.certainly_not_run for row in self)

    @property
    def possible_runs(self) -> int:
        """Return how many upstreams may have run each part for these hosts."""
        return sum(row.attempts_limit for row in self if row.may_have_run)
