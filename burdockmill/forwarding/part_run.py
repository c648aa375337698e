"""Track the attempts of one part of a request: one shard's, or the whole request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.forwarding.messages import AttemptEnd, AttemptKind
from burdockmill.forwarding.upstream_notices import Incarnation
from burdockmill.policies.cost_estimate import RequestClass

if TYPE_CHECKING:
    from burdockmill.forwarding.messages import (
        AttemptOutcome,
        Registration,
        UpstreamAnswer,
    )
    from burdockmill.forwarding.routes import Route
    from burdockmill.names import UpstreamId


class AttemptRow:
    """Describe an attempt; `outcome` is None while it is in flight.

    `is_paid` is true if the repeat budget was charged for it.
    """

    __slots__ = (
        "is_paid",
        "kind",
        "number",
        "outcome",
        "sent_ms",
        "took_ms",
        "upstream",
    )

    def __init__(
        self,
        number: int,
        upstream: Registration,
        kind: AttemptKind,
        sent_ms: float,
        is_paid: bool,
    ) -> None:
        self.is_paid = is_paid
        self.number = number
        self.upstream = upstream
        self.kind = kind
        self.sent_ms = sent_ms
        self.took_ms: float | None = None
        self.outcome: AttemptOutcome | None = None


class PartRun:
    """Track the attempts of one part; `hedge_ms` is the clock time of the next hedge.

    `lost` is the reason why no answer can come any more, or empty.
    """

    __slots__ = (
        "answer",
        "attempts",
        "hedge_ms",
        "index",
        "lost",
        "request_class",
        "service",
    )

    def __init__(self, index: int, request_class: RequestClass) -> None:
        self.index = index
        self.request_class = request_class
        self.service = request_class.service
        self.attempts: list[AttemptRow] = []
        self.answer: UpstreamAnswer | None = None
        self.hedge_ms: float | None = None
        self.lost = ""

    @property
    def is_complete(self) -> bool:
        """Return whether the part has an answer or is lost."""
        return self.answer is not None or bool(self.lost)

    @property
    def possible_runs(self) -> int:
        """Return how many upstreams may have run the part, or may still run it."""
        return self.possible_runs_but(None)

    def possible_runs_but(self, attempt: int | None) -> int:
        """Return the possible runs without those of one attempt."""
        return sum(
            row.number != attempt
            and (row.outcome is None or not row.outcome.end.certainly_not_run)
            for row in self.attempts
        )

    def may_run_again(self, route: Route) -> bool:
        """Return whether one more upstream may run the part."""
        runs = self.possible_runs
        return runs == 0 or (route.is_idempotent and runs < route.attempts_limit)

    @property
    def may_have_arrived(self) -> bool:
        """Return whether an upstream may have the part: another attempt is a repeat."""
        return any(
            row.outcome is None or not row.outcome.end.never_written
            for row in self.attempts
        )

    @property
    def is_refused(self) -> bool:
        """Return whether every upstream that was tried refused a connection."""
        outcomes = [row.outcome for row in self.attempts]
        return bool(outcomes) and all(one and one.is_refused for one in outcomes)

    @property
    def in_flight(self) -> list[AttemptRow]:
        """Return the attempts in flight."""
        return [row for row in self.attempts if row.outcome is None]

    @property
    def tried(self) -> set[UpstreamId]:
        """Return the upstreams that an attempt was sent to."""
        return {row.upstream.upstream for row in self.attempts}

    def restart(self) -> None:
        """Forget the attempts that were not sent, and why the part was lost."""
        self.lost = ""
        self.attempts = [
            row
            for row in self.attempts
            if row.outcome is None or not row.outcome.end.never_written
        ]

    def unanswered_at(
        self, incarnation: Incarnation, since_ms: float
    ) -> list[AttemptRow]:
        """Return the attempts before a time that got no reply of an upstream.

        There are none if the part has an answer.
        """
        if self.answer is not None:
            return []
        return [
            row
            for row in self.attempts
            if Incarnation.of(row.upstream) == incarnation
            and row.sent_ms < since_ms
            and (row.outcome is None or row.outcome.end is AttemptEnd.SILENT)
        ]

    def failure(self) -> UpstreamAnswer | None:
        """Return the last error response of an upstream, or None."""
        for row in reversed(self.attempts):
            outcome = row.outcome
            if outcome is not None and outcome.end is AttemptEnd.UPSTREAM_ERROR:
                return outcome.answer
        return None

    def last_end(self) -> AttemptEnd | None:
        """Return how the latest attempt that is over ended, or None."""
        ends = [row.outcome.end for row in self.attempts if row.outcome is not None]
        return ends[-1] if ends else None
