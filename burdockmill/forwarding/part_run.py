"""Keep the attempts of one part of a request: one shard, or the whole of it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.forwarding.messages import AttemptEnd, AttemptKind

if TYPE_CHECKING:
    from burdockmill.forwarding.messages import (
        AttemptOutcome,
        Registration,
        UpstreamAnswer,
    )
    from burdockmill.names import ServiceId, UpstreamId


class AttemptRow:
    """Describe an attempt; `outcome` is None while it is under way.

    `is_paid` tells that the repeat budget was charged for it.
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
    """Keep the attempts of one part; `hedge_ms` is the clock time of the next hedge."""

    __slots__ = ("answer", "attempts", "hedge_ms", "index", "lost", "service")

    def __init__(self, index: int, service: ServiceId) -> None:
        self.index = index
        self.service = service
        self.attempts: list[AttemptRow] = []
        self.answer: UpstreamAnswer | None = None
        self.hedge_ms: float | None = None
        self.lost = ""

    @property
    def settled(self) -> bool:
        """Tell whether nothing more is to come."""
        return self.answer is not None or bool(self.lost)

    @property
    def possible_runs(self) -> int:
        """Return how many upstreams may have run the part."""
        return sum(
            row.outcome is None or not row.outcome.end.certainly_not_run
            for row in self.attempts
        )

    @property
    def may_have_arrived(self) -> bool:
        """Tell whether an upstream may have seen the part, so that more is a repeat."""
        return any(
            row.outcome is None or row.outcome.end is not AttemptEnd.NOT_SENT
            for row in self.attempts
        )

    @property
    def under_way(self) -> list[AttemptRow]:
        """Return the attempts that have not ended."""
        return [row for row in self.attempts if row.outcome is None]

    @property
    def tried(self) -> set[UpstreamId]:
        """Return the upstreams that an attempt was sent to."""
        return {row.upstream.upstream for row in self.attempts}

    def failure(self) -> UpstreamAnswer | None:
        """Return the last answer with which an upstream failed the part."""
        for row in reversed(self.attempts):
            outcome = row.outcome
            if outcome is not None and outcome.end is AttemptEnd.UPSTREAM_ERROR:
                return outcome.answer
        return None

    def last_end(self) -> AttemptEnd | None:
        """Return how the last attempt that ended did so."""
        ends = [row.outcome.end for row in self.attempts if row.outcome is not None]
        return ends[-1] if ends else None
