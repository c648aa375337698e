"""Define the gossip and anti-entropy messages between hosts."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from burdockmill.messages.catalog import CatalogDelta, CatalogRequest, CatalogResponse
from burdockmill.names import (
    Address,
    DomainId,
    Era,
    HostId,
    Revision,
    SnapshotId,
    UpstreamId,
)

# The age reported for a revision that no host has confirmed with the store.
UNCONFIRMED_MS = 1e9


class MemberStatus(StrEnum):
    """Enumerate the states of a member in one incarnation."""

    ALIVE = "a"
    SUSPECT = "s"
    LEAVING = "l"
    DEAD = "d"


class MemberUpdate(NamedTuple):
    """Describe one incarnation of a host for dissemination.

    `processor_cores` is its processor time in cores, 0 if it is unknown.
    """

    host: HostId
    domain: DomainId
    region: str
    peer_address: Address
    incarnation: int
    status: MemberStatus
    processor_cores: float = 0.0


class HoldingsNews(NamedTuple):
    """Carry the snapshots and state of an upstream; the highest version wins."""

    upstream: UpstreamId
    version: int
    incarnation: str
    snapshots: tuple[SnapshotId, ...]
    draining: bool


class LeavingList(NamedTuple):
    """List the upstreams that a version of the host list marks as leaving."""

    version: int
    upstreams: list[UpstreamId]


class LimitHint(NamedTuple):
    """Tell that an incarnation of an upstream has named a limit."""

    upstream: UpstreamId
    started_ms: int
    domain: DomainId


class ChunkChange(NamedTuple):
    """Replace `removed` lines of a chunk at index `at`; digests are SHA-256.

    A chunk with an empty `before` is new, one with an empty `after` is removed.
    """

    name: str
    before: str
    after: str
    at: int
    removed: int
    added: tuple[str, ...]


class RulesDelta(NamedTuple):
    """Carry the changes from one revision to a later one.

    With `too_large` it only announces the revision; receivers request its chunks.
    """

    base: Revision
    revision: Revision
    changes: tuple[ChunkChange, ...]
    too_large: bool = False


class GossipUpdates(NamedTuple):
    """Carry gossip updates that every host of a domain must receive."""

    members: tuple[MemberUpdate, ...] = ()
    holdings: tuple[HoldingsNews, ...] = ()
    rules: tuple[RulesDelta, ...] = ()
    listed: LeavingList | None = None
    catalog: tuple[CatalogDelta, ...] = ()
    limits: tuple[LimitHint, ...] = ()


class TableDigest(NamedTuple):
    """Carry the digests of a domain's members and upstreams for anti-entropy."""

    domain: DomainId
    members: int
    holdings: int


class ProbeKind(StrEnum):
    """Enumerate the kinds of probe: one-way, request for one in return, response."""

    ONE_WAY = ""
    REQUEST = "?"
    RESPONSE = "!"


class Probe(NamedTuple):
    """Show that the sender is alive, with its state; delivery shows the receiver alive.

    `confirmed_age_ms` is the time since the store last confirmed the sender's revision
    as its newest. `store_era` is the era of the store that the revision belongs to.
    """

    sender: MemberUpdate
    revision: Revision
    list_version: int
    digests: list[TableDigest]
    updates: GossipUpdates = GossipUpdates()
    kind: ProbeKind = ProbeKind.ONE_WAY
    confirmed_age_ms: float = UNCONFIRMED_MS
    store_era: Era = 0


class IndirectProbeRequest(NamedTuple):
    """Request an indirect probe of another host."""

    target: HostId


class IndirectProbeSucceeded(NamedTuple):
    """Report that the target of an indirect probe responded."""

    target: HostId


class SubmitUpdates(NamedTuple):
    """Submit updates to the host that disseminates them in its domain."""

    updates: GossipUpdates


class RelayUpdates(NamedTuple):
    """Relay updates to the members in `length` ring positions from `first`."""

    first: int
    length: int
    updates: GossipUpdates


class TableKind(StrEnum):
    """Enumerate the tables that anti-entropy compares."""

    MEMBERS = "m"
    HOLDINGS = "h"


class SyncRequest(NamedTuple):
    """Request a comparison of the sixteen digests below a prefix of a table."""

    kind: TableKind
    domain: DomainId
    prefix: str
    digests: list[int]


class SyncRows(NamedTuple):
    """Carry the rows below a prefix; `wants_rows` requests the receiver's rows too."""

    kind: TableKind
    domain: DomainId
    prefix: str
    updates: GossipUpdates
    wants_rows: bool


class RulesRequest(NamedTuple):
    """Request the changes of the rules after a revision; 0 requests the manifest."""

    revision: Revision


class ChunkName(NamedTuple):
    """Store the name and SHA-256 digest of a chunk of the rules text."""

    name: str
    digest: str


class RulesResponse(NamedTuple):
    """Return deltas that lead to `revision`, or the manifest of its chunks."""

    revision: Revision
    deltas: list[RulesDelta]
    chunks: list[ChunkName]


class ChunkRequest(NamedTuple):
    """Request chunks of the rules text by digest."""

    digests: list[str]


class ChunkText(NamedTuple):
    """Return a requested chunk."""

    digest: str
    text: str


FleetMessage = (
    Probe
    | IndirectProbeRequest
    | IndirectProbeSucceeded
    | SubmitUpdates
    | RelayUpdates
    | SyncRequest
    | SyncRows
    | RulesRequest
    | RulesResponse
    | ChunkRequest
    | ChunkText
    | CatalogRequest
    | CatalogResponse
)
