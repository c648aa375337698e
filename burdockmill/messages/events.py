"""Name what enters the core from this host's surfaces and clients."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from burdockmill.errors import Ran
from burdockmill.messages.catalog import CatalogDelta
from burdockmill.messages.fleet import News, RulesDelta
from burdockmill.messages.peer import Hit, PeerMessage, Reason, Ticket
from burdockmill.messages.platform import HostList, Manifest
from burdockmill.names import (
    AttemptId,
    CallerId,
    HostId,
    RequestId,
    Revision,
    ServiceId,
    SnapshotId,
    UpstreamId,
)
from burdockmill.rules.model import RequestKind, RuleSet
from burdockmill.slots import SlotRange
from burdockmill.tables.rows import MemberRow


class RequestAsked(NamedTuple):
    """Report a caller's checked request; `deadline_ms` is a clock time."""

    request_id: RequestId
    kind: RequestKind
    service: ServiceId
    caller: CallerId
    deadline_ms: float
    limit: int
    key: str
    body: msgspec.Raw
    ticket: Ticket | None = None
    wants_ticket: bool = False


class CallerGone(NamedTuple):
    """Report that a caller left before its answer."""

    request_id: RequestId


class PeerReceived(NamedTuple):
    """Report a message from another host, or from this one."""

    sender: HostId
    message: PeerMessage


class PeerUnreachable(NamedTuple):
    """Report a message that was surely (`ran` no) or perhaps not delivered."""

    host: HostId
    message: PeerMessage
    ran: Ran


class UpstreamAnswered(NamedTuple):
    """Report a well-formed answer of an upstream to one attempt."""

    request_id: RequestId
    attempt: AttemptId
    upstream: UpstreamId
    snapshot: SnapshotId
    covered: tuple[SlotRange, ...]
    total: int
    hits: list[Hit]
    body: msgspec.Raw
    found: bool
    snapshots: tuple[SnapshotId, ...]
    draining: bool


class UpstreamRefused(NamedTuple):
    """Report an attempt that the upstream refused before it ran."""

    request_id: RequestId
    attempt: AttemptId
    upstream: UpstreamId
    reason: Reason
    retry_after_ms: int | None
    snapshots: tuple[SnapshotId, ...]
    draining: bool


class UpstreamFailed(NamedTuple):
    """Report an attempt with no usable answer; `ran` says what is certain."""

    request_id: RequestId
    attempt: AttemptId
    upstream: UpstreamId
    reason: Reason
    ran: Ran


class HealthRead(NamedTuple):
    """Report what an upstream says of itself; None when it did not answer."""

    upstream: UpstreamId
    incarnation: str
    snapshots: tuple[SnapshotId, ...] | None
    draining: bool


class RulesAccepted(NamedTuple):
    """Report a newer revision; `changed` is None where any upstream may differ."""

    rules: RuleSet
    source: str
    changed: tuple[UpstreamId, ...] | None = None


class RevisionRead(NamedTuple):
    """Report a revision read whole; `text_by_digest` holds its new chunks."""

    manifest: Manifest
    text_by_digest: dict[str, str]
    source: str


class HostListRead(NamedTuple):
    """Report the platform's host list."""

    hosts: HostList


class PeerDelivered(NamedTuple):
    """Report a message of the fleet's own that a host has taken."""

    host: HostId
    message: PeerMessage


class HostStarted(NamedTuple):
    """Report this host's own row and whom to ask first."""

    row: MemberRow
    seeds: tuple[MemberRow, ...]


class SeedsRead(NamedTuple):
    """Report seeds that were not known at the start."""

    seeds: tuple[MemberRow, ...]


class ViewRefreshed(NamedTuple):
    """Report that a host that was paused has learnt, or waited long enough."""

    paused_ms: float
    answered: bool


class WokeLate(NamedTuple):
    """Report that this process ran nothing for `late_ms` milliseconds."""

    late_ms: float


class Learned(NamedTuple):
    """Report news that the own domain has to hear."""

    news: News


class DeltasReceived(NamedTuple):
    """Report changes of the rules that a peer passed on."""

    sender: HostId
    deltas: tuple[RulesDelta, ...]


class RevisionSeen(NamedTuple):
    """Report the revision that a peer has in force."""

    sender: HostId
    revision: Revision


class CatalogRead(NamedTuple):
    """Report what this host read from the store."""

    delta: CatalogDelta


class CatalogConfirmed(NamedTuple):
    """Report that the store had nothing newer at `at_ms`, a clock time."""

    at_ms: float


class CatalogReceived(NamedTuple):
    """Report changes of the catalog that a peer passed on."""

    sender: HostId
    deltas: tuple[CatalogDelta, ...]


class CatalogChanged(NamedTuple):
    """Report which part of the catalog in force has changed."""

    tables: bool
    upstreams: tuple[UpstreamId, ...]


class HostStopping(NamedTuple):
    """Report a planned stop; new work is taken for `accepts_ms` milliseconds."""

    accepts_ms: float = 1_000.0


class TicketRun(NamedTuple):
    """Start a ticket's only run, at the host that holds the ticket."""

    asked: RequestAsked


class TicketRan(NamedTuple):
    """Report the outcome of a ticket's only run."""

    ticket: Ticket
    ran: Ran
    reason: Reason
    retry_after_ms: int | None
    body: msgspec.Raw


Event = (
    RequestAsked
    | CallerGone
    | PeerReceived
    | PeerUnreachable
    | UpstreamAnswered
    | UpstreamRefused
    | UpstreamFailed
    | HealthRead
    | RulesAccepted
    | HostListRead
    | RevisionRead
    | PeerDelivered
    | HostStarted
    | SeedsRead
    | ViewRefreshed
    | Learned
    | DeltasReceived
    | CatalogRead
    | CatalogConfirmed
    | CatalogReceived
    | CatalogChanged
    | RevisionSeen
    | HostStopping
    | WokeLate
    | TicketRun
    | TicketRan
)
