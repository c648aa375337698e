"""Define the events that the core receives from surfaces, clients and systems."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from burdockmill.errors import Ran
from burdockmill.messages.catalog import CatalogDelta
from burdockmill.messages.fleet import GossipUpdates, RulesDelta
from burdockmill.messages.limits import LimitNamed, TokensChanged, TokensWanted
from burdockmill.messages.peer import Hit, PeerMessage, Reason, Ticket
from burdockmill.messages.platform import HostList, Manifest
from burdockmill.messages.reach import (
    LinksTested,
    LinkTestWanted,
    ReachChanged,
    ReachWanted,
)
from burdockmill.messages.suspects import SuspectsChanged, TurnOver, TurnWanted
from burdockmill.names import (
    AttemptId,
    CallerId,
    Era,
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


class RequestReceived(NamedTuple):
    """Report a caller's validated request; `deadline_ms` is a clock time."""

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


class CallerDisconnected(NamedTuple):
    """Report that a caller disconnected before its answer."""

    request_id: RequestId


class PeerReceived(NamedTuple):
    """Report a message from another host, or from this one."""

    sender: HostId
    message: PeerMessage


class PeerUnreachable(NamedTuple):
    """Report a failed delivery; with `ran` no, the host certainly did not get it."""

    host: HostId
    message: PeerMessage
    ran: Ran


class UpstreamAnswered(NamedTuple):
    """Report an upstream's well-formed answer to one attempt."""

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
    """Report an attempt without a usable answer; `ran` says if it ran."""

    request_id: RequestId
    attempt: AttemptId
    upstream: UpstreamId
    reason: Reason
    ran: Ran


class HealthRead(NamedTuple):
    """Report an upstream's health; `snapshots` is None when it did not respond."""

    upstream: UpstreamId
    incarnation: str
    snapshots: tuple[SnapshotId, ...] | None
    draining: bool


class RulesAccepted(NamedTuple):
    """Report a newer, valid revision of the rules.

    `changed` lists the upstreams whose rules differ; None means that any may.
    """

    rules: RuleSet
    source: str
    changed: tuple[UpstreamId, ...] | None = None


class RevisionRead(NamedTuple):
    """Report a completely read rules revision; `text_by_digest` has its new chunks."""

    manifest: Manifest
    text_by_digest: dict[str, str]
    source: str


class HostListRead(NamedTuple):
    """Report the platform's host list."""

    hosts: HostList


class PeerDelivered(NamedTuple):
    """Report that a host received a message that needs a delivery confirmation."""

    host: HostId
    message: PeerMessage


class HostStarted(NamedTuple):
    """Report the start of this host: its own member row and its seed hosts."""

    row: MemberRow
    seeds: tuple[MemberRow, ...]


class SeedsRead(NamedTuple):
    """Report the seed hosts of settings that changed after the start."""

    seeds: tuple[MemberRow, ...]


class ViewRefreshed(NamedTuple):
    """Report that the view of the fleet was refreshed after a process pause.

    `answered` is false if the peers did not answer within the time limit.
    """

    paused_ms: float
    answered: bool


class PauseDetected(NamedTuple):
    """Report that this process was paused for `late_ms` milliseconds."""

    late_ms: float


class UpdatesApplied(NamedTuple):
    """Report updates to disseminate in the host's own domain."""

    updates: GossipUpdates


class RulesDeltasReceived(NamedTuple):
    """Report changes of the rules that a peer relayed."""

    sender: HostId
    deltas: tuple[RulesDelta, ...]


class PeerRevisionReceived(NamedTuple):
    """Report the revision of the rules or catalog that is active on a peer.

    `store_era` is the era of the store that a catalog's revision belongs to.
    """

    sender: HostId
    revision: Revision
    store_era: Era = 0


class CatalogRead(NamedTuple):
    """Report catalog changes that this host read from the store."""

    delta: CatalogDelta


class CatalogConfirmed(NamedTuple):
    """Report that the store had nothing newer at `at_ms`, a clock time."""

    at_ms: float


class CatalogReceived(NamedTuple):
    """Report changes of the catalog that a peer relayed."""

    sender: HostId
    deltas: tuple[CatalogDelta, ...]


class CatalogChanged(NamedTuple):
    """Report whether the routing tables changed, and which upstreams did."""

    tables: bool
    upstreams: tuple[UpstreamId, ...]


class HostStopping(NamedTuple):
    """Report a graceful shutdown; new work is accepted for another `accepts_ms`."""

    accepts_ms: float = 1_000.0


class TicketActionStarted(NamedTuple):
    """Start the only execution of a ticket's action, on the ticket holder."""

    request: RequestReceived


class TicketActionEnded(NamedTuple):
    """Report the outcome of the only execution of a ticket's action."""

    ticket: Ticket
    ran: Ran
    reason: Reason
    retry_after_ms: int | None
    body: msgspec.Raw


Event = (
    RequestReceived
    | CallerDisconnected
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
    | UpdatesApplied
    | RulesDeltasReceived
    | CatalogRead
    | CatalogConfirmed
    | CatalogReceived
    | CatalogChanged
    | PeerRevisionReceived
    | HostStopping
    | PauseDetected
    | TicketActionStarted
    | TicketActionEnded
    | LimitNamed
    | TokensWanted
    | TokensChanged
    | SuspectsChanged
    | TurnWanted
    | TurnOver
    | ReachWanted
    | ReachChanged
    | LinkTestWanted
    | LinksTested
)
