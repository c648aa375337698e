"""Learn where room is short, and refuse less urgent requests because of it."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from burdockmill.forwarding.messages import AttemptEnd
from burdockmill.messages.actions import LogDecision
from burdockmill.policies.processor_shortage import ProcessorShortage
from burdockmill.policies.room_refusals import RoomRefusals
from burdockmill.policies.urgency import Urgency

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Callable, Collection, Iterable, Mapping, Sequence

    from burdockmill.forwarding.messages import AttemptOutcome, Registration
    from burdockmill.names import RequestId, ServiceId
    from burdockmill.policies.urgency import Judgement, Shortage


class Refusal(NamedTuple):
    """Store why a request is refused: for its client, and for the log."""

    message: str
    reason: str
    inputs: Mapping[str, object]


class RoomMonitor:
    """Judge requests by the room at upstreams and by this host's processor time.

    Nothing is refused unless the routes of the configuration have different ranks.
    """

    def __init__(self, log: Callable[[LogDecision, float], None]) -> None:
        self.urgency = Urgency(self._on_change)
        self.processor = ProcessorShortage()
        self._refusals = RoomRefusals()
        self._log = log

    @property
    def has_ranks(self) -> bool:
        """Return whether the routes of the configuration have different ranks."""
        return self.urgency.has_ranks

    @property
    def counts(self) -> Counter[str]:
        """Return what both policies counted."""
        return self.urgency.counts + self.processor.counts

    def follow(self, ranks: Collection[int], services: Iterable[ServiceId]) -> None:
        """Apply a configuration: the ranks of its routes, and its services."""
        self.urgency.set_ranks(ranks)
        self.urgency.retain_only(set(services))
        if not self.has_ranks:
            self.processor.reset()

    def ended(
        self, upstream: Registration, outcome: AttemptOutcome, now_ms: float
    ) -> None:
        """Record how an attempt ended."""
        if not self.has_ranks:
            return
        for is_refused in self._refusals.classify(upstream, outcome, now_ms):
            self.urgency.ended(upstream.service, upstream.upstream, is_refused, now_ms)

    def lost(self, service: ServiceId, end: AttemptEnd | None, now_ms: float) -> None:
        """Record a request that is lost, by how its last attempt ended."""
        if end is AttemptEnd.NOT_RUN:
            self.unplaced(service, now_ms)

    def unplaced(self, service: ServiceId, now_ms: float) -> None:
        """Record a request that no upstream of a service had room for."""
        self.urgency.unplaced(service, now_ms)

    def lagged(self, lag_ms: float, now_ms: float) -> None:
        """Record by how much a timer of the event loop was late."""
        if not self.processor.record(lag_ms, now_ms):
            return
        least = self.processor.least_refused_rank
        choice = "all ranks" if least is None else f"ranks below {least} only"
        inputs = {"lag_ms": round(self.processor.lag_ms, 1)}
        reason = "lag of the event loop"
        self._log(LogDecision("urgency", "", choice, reason, inputs=inputs), now_ms)

    def refusal(
        self,
        services: Sequence[ServiceId],
        spare: int,
        rank: int,
        request_id: RequestId,
        now_ms: float,
    ) -> Refusal | None:
        """Record a request, and return why it is refused, or None."""
        if not self.has_ranks:
            return None
        if self.processor.refuses(rank):
            inputs = {"rank": rank, "lag_ms": round(self.processor.lag_ms, 1)}
            message = "This host has no processor time for this kind of request."
            return Refusal(message, "processor time is short", inputs)
        judgement = self.urgency.judge(services, spare, rank, request_id, now_ms)
        if judgement is None or judgement.is_admitted:
            return None
        service = judgement.shortage.service
        message = f"The upstreams of {service} serve more urgent requests first."
        return Refusal(message, f"room is short at {service}", _inputs(judgement))

    def _on_change(self, shortage: Shortage, is_short: bool, now_ms: float) -> None:
        state = "short" if is_short else "no longer short"
        choice = f"room is {state} at {shortage.service}"
        reason = "share of attempts that its freest upstream refused"
        inputs = _shares(shortage)
        self._log(LogDecision("urgency", "", choice, reason, inputs=inputs), now_ms)


def _shares(shortage: Shortage) -> dict[str, object]:
    return {
        "refused_share": round(shortage.refused_share, 3),
        "held_share": round(shortage.held_share, 3),
    }


def _inputs(judgement: Judgement) -> dict[str, object]:
    return {
        "service": judgement.shortage.service,
        "rank": judgement.rank,
        "chance": round(judgement.chance, 3),
        **_shares(judgement.shortage),
    }
