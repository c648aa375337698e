"""Build the upstream request of an attempt, and its outcome."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.errors import Ran
from burdockmill.messages.actions import SendToUpstream
from burdockmill.messages.events import UpstreamAnswered, UpstreamRefused
from burdockmill.messages.peer import PartOutcome, PartStatus, Reason

if TYPE_CHECKING:
    from burdockmill.messages.events import UpstreamFailed
    from burdockmill.messages.peer import Part, WorkRequest
    from burdockmill.names import Address
    from burdockmill.tables.owned_part import OwnedPart

    AttemptEvent = UpstreamAnswered | UpstreamRefused | UpstreamFailed


def build_upstream_send(
    owned: OwnedPart, address: Address, now_ms: float
) -> SendToUpstream:
    """Return the upstream request of an attempt with its remaining time."""
    request, part = owned.request, owned.part
    return SendToUpstream(
        request_id=request.request_id,
        attempt=part.attempt,
        kind=request.kind,
        service=request.service,
        upstream=part.upstream,
        address=address,
        shard=part.shard,
        slots=part.slots,
        snapshot=request.snapshot,
        remaining_ms=owned.deadline_ms - now_ms,
        limit=request.limit,
        key=request.key,
        body=request.body,
    )


def outcome_of(part: Part, event: AttemptEvent, took_ms: float) -> PartOutcome:
    """Return the outcome for an answer, a refusal or a failure of an upstream."""
    name = (part.attempt, part.upstream, part.shard)
    if isinstance(event, UpstreamAnswered):
        return PartOutcome(
            *name,
            PartStatus.ANSWERED,
            Ran.YES,
            Reason.NONE if event.found else Reason.ABSENT,
            event.covered,
            event.total,
            took_ms,
        )
    if isinstance(event, UpstreamRefused):
        return PartOutcome(
            *name,
            PartStatus.REFUSED,
            Ran.NO,
            event.reason,
            took_ms=took_ms,
            retry_after_ms=event.retry_after_ms,
        )
    status = PartStatus.FAILED
    return PartOutcome(*name, status, event.ran, event.reason, took_ms=took_ms)


def refusal_outcome(
    part: Part, reason: Reason, retry_after_ms: int | None = None
) -> PartOutcome:
    """Return the outcome of an attempt that was refused or cancelled before sending."""
    status = PartStatus.CANCELLED if reason == Reason.CANCELLED else PartStatus.REFUSED
    return PartOutcome(
        part.attempt,
        part.upstream,
        part.shard,
        status,
        Ran.NO,
        reason,
        retry_after_ms=retry_after_ms,
    )


def unreachable_outcomes(request: WorkRequest, ran: Ran) -> list[PartOutcome]:
    """Return a failed outcome for each part of a request to an unreachable owner."""
    return [
        PartOutcome(
            part.attempt,
            part.upstream,
            part.shard,
            PartStatus.FAILED,
            ran,
            Reason.NO_OWNER,
        )
        for part in request.parts
    ]
