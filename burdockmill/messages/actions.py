"""Define the actions that the core returns for its host to execute."""

from __future__ import annotations

from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple, NotRequired, TypedDict

import msgspec

from burdockmill.errors import BurdockmillError, Ran
from burdockmill.messages.events import Event
from burdockmill.messages.peer import Hit, PeerMessage, Reason, Ticket
from burdockmill.names import (
    Address,
    AttemptId,
    HostId,
    RequestId,
    ServiceId,
    ShardId,
    SnapshotId,
    UpstreamId,
)
from burdockmill.rules.model import RequestKind
from burdockmill.slots import SlotRange

NO_INPUTS: Mapping[str, object] = MappingProxyType({})


class MissingRange(TypedDict):
    """Describe a range of slots without an answer; both bounds are included."""

    first: int
    last: int
    reason: Reason


class CoverageReport(TypedDict):
    """Report how much of the data an answer covers, in slots.

    `documents` is the covered fraction by the document counts of the rules.
    """

    covered: int
    total: int
    complete: bool
    missing: list[MissingRange]
    documents: NotRequired[float]


class SearchAnswer(NamedTuple):
    """Answer a search from one snapshot; `snapshot` is 0 when none was chosen.

    `total` counts matches in the covered slots; unless exact, it is a lower bound.
    """

    snapshot: SnapshotId
    coverage: CoverageReport
    hits: list[Hit]
    total: int
    has_more: bool
    total_is_exact: bool = True


class FetchAnswer(NamedTuple):
    """Answer a fetch with the record's JSON."""

    key: str
    record: msgspec.Raw


class ActionAnswer(NamedTuple):
    """Answer an action; `ran` is yes (done), no (not run) or unknown."""

    key: str
    ran: Ran
    reason: Reason
    result: msgspec.Raw
    retry_after_ms: int | None


class TicketAnswer(NamedTuple):
    """Answer a request for a ticket, valid for `lifetime_ms` milliseconds."""

    ticket: Ticket
    lifetime_ms: float


class Answer(NamedTuple):
    """Answer a request; each request is answered once."""

    request_id: RequestId
    result: SearchAnswer | FetchAnswer | ActionAnswer | TicketAnswer | BurdockmillError


class SendToPeer(NamedTuple):
    """Queue a message for the next batch to a host."""

    host: HostId
    message: PeerMessage


class SendToUpstream(NamedTuple):
    """Send one attempt to an upstream; `remaining_ms` is its timeout."""

    request_id: RequestId
    attempt: AttemptId
    kind: RequestKind
    service: ServiceId
    upstream: UpstreamId
    address: Address
    shard: ShardId
    slots: SlotRange
    snapshot: SnapshotId
    remaining_ms: float
    limit: int
    key: str
    body: msgspec.Raw


class CancelAtUpstream(NamedTuple):
    """Cancel an attempt that was sent to an upstream."""

    request_id: RequestId
    attempt: AttemptId
    upstream: UpstreamId


class ReadHealth(NamedTuple):
    """Request an upstream's health report."""

    upstream: UpstreamId
    address: Address


class ClosePool(NamedTuple):
    """Close an upstream's idle connections; attempts in flight continue."""

    upstream: UpstreamId


class Announce(NamedTuple):
    """Publish an event from the core to the host's clients."""

    event: Event


class LogDecision(NamedTuple):
    """Log a decision with its reason, its inputs and the rejected alternatives.

    `part` names what was decided on, such as "hedge" or "member".
    """

    part: str
    request_id: RequestId
    choice: str
    reason: str
    passed_over: tuple[str, ...] = ()
    inputs: Mapping[str, object] = NO_INPUTS


Action = (
    Answer
    | SendToPeer
    | SendToUpstream
    | CancelAtUpstream
    | ReadHealth
    | ClosePool
    | Announce
    | LogDecision
)
