"""Name what the core tells its host to do."""

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
    """Name slots without an answer and why; bounds included."""

    first: int
    last: int
    reason: Reason


class CoverageReport(TypedDict):
    """State how much of the data an answer covers, in slots.

    `documents` is the fraction by the rules' counts of documents.
    """

    covered: int
    total: int
    complete: bool
    missing: list[MissingRange]
    documents: NotRequired[float]


class SearchAnswer(NamedTuple):
    """Answer a search from one snapshot; 0 when no snapshot was pinned.

    `total` counts matches in the covered slots, at least so many unless exact.
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
    """Give a request its one answer."""

    request_id: RequestId
    result: SearchAnswer | FetchAnswer | ActionAnswer | TicketAnswer | BurdockmillError


class SendToPeer(NamedTuple):
    """Queue a message for a host's next batch."""

    host: HostId
    message: PeerMessage


class SendToUpstream(NamedTuple):
    """Write one attempt to an upstream; `remaining_ms` bounds the wait."""

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
    """Give up an attempt that was written."""

    request_id: RequestId
    attempt: AttemptId
    upstream: UpstreamId


class ReadHealth(NamedTuple):
    """Ask an upstream for its health."""

    upstream: UpstreamId
    address: Address


class ClosePool(NamedTuple):
    """Close an upstream's idle connections."""

    upstream: UpstreamId


class Announce(NamedTuple):
    """Let the host's clients hear of an event that the core made."""

    event: Event


class LogDecision(NamedTuple):
    """Record one decision with its reason, its inputs and what was passed over."""

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
