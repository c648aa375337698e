"""Name the messages that keep the hosts' views one."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from burdockmill.messages.catalog import CatalogAsk, CatalogDelta, CatalogOffer
from burdockmill.names import (
    Address,
    DomainId,
    HostId,
    Revision,
    SnapshotId,
    UpstreamId,
)

# The age of what no host has confirmed with the store.
UNCONFIRMED_MS = 1e9


class MemberStatus(StrEnum):
    """State how a member stands in one incarnation."""

    ALIVE = "a"
    SUSPECT = "s"
    LEAVING = "l"
    DEAD = "d"


class MemberNews(NamedTuple):
    """State what is known of one incarnation of a host."""

    host: HostId
    domain: DomainId
    region: str
    peer_address: Address
    incarnation: int
    status: MemberStatus


class HoldingsNews(NamedTuple):
    """State what an upstream showed; the highest version wins."""

    upstream: UpstreamId
    version: int
    incarnation: str
    snapshots: tuple[SnapshotId, ...]
    draining: bool


class LeavingList(NamedTuple):
    """Carry the upstreams that a version of the host list calls leaving."""

    version: int
    upstreams: list[UpstreamId]


class ChunkChange(NamedTuple):
    """Replace `removed` lines of a chunk at index `at`; digests are SHA-256.

    A chunk without `before` is new, one without `after` goes.
    """

    name: str
    before: str
    after: str
    at: int
    removed: int
    added: tuple[str, ...]


class RulesDelta(NamedTuple):
    """Carry what changed from one revision to a later one.

    `too_large` only announces the revision; its chunks are asked for.
    """

    base: Revision
    revision: Revision
    changes: tuple[ChunkChange, ...]
    too_large: bool = False


class News(NamedTuple):
    """Carry what hosts of a domain must all learn."""

    members: tuple[MemberNews, ...] = ()
    holdings: tuple[HoldingsNews, ...] = ()
    rules: tuple[RulesDelta, ...] = ()
    listed: LeavingList | None = None
    catalog: tuple[CatalogDelta, ...] = ()


class TableDigest(NamedTuple):
    """Digest what is known of a domain's members and upstreams."""

    domain: DomainId
    members: int
    holdings: int


class ProbeKind(StrEnum):
    """Say whether a probe wants the receiver's own, or is that."""

    PLAIN = ""
    ASK = "?"
    ANSWER = "!"


class Probe(NamedTuple):
    """Show that the sender lives and what it knows; the reply is the proof.

    `confirmed_age_ms` is how long ago the sender's revision was the store's newest.
    """

    sender: MemberNews
    revision: Revision
    list_version: int
    digests: list[TableDigest]
    news: News = News()
    kind: ProbeKind = ProbeKind.PLAIN
    confirmed_age_ms: float = UNCONFIRMED_MS


class ProbeAsk(NamedTuple):
    """Ask a host to probe another on the sender's behalf."""

    target: HostId


class ProbeReached(NamedTuple):
    """Report that a host asked about was reached."""

    target: HostId


class Submit(NamedTuple):
    """Hand news to the host that spreads it in its domain."""

    news: News


class Spread(NamedTuple):
    """Hand on news to the members in `length` ring positions from `first`."""

    first: int
    length: int
    news: News


class TableKind(StrEnum):
    """Name a table whose digests are compared."""

    MEMBERS = "m"
    HOLDINGS = "h"


class SyncAsk(NamedTuple):
    """Carry the digests of the sixteen parts below a prefix of a table."""

    kind: TableKind
    domain: DomainId
    prefix: str
    digests: list[int]


class SyncRows(NamedTuple):
    """Carry the rows below a prefix; `wanted` asks for the receiver's."""

    kind: TableKind
    domain: DomainId
    prefix: str
    news: News
    wanted: bool


class RulesAsk(NamedTuple):
    """Ask for what follows a revision; 0 asks for the manifest."""

    revision: Revision


class ChunkName(NamedTuple):
    """Name a chunk by its SHA-256 digest."""

    name: str
    digest: str


class RulesOffer(NamedTuple):
    """Answer with deltas that reach `revision`, or with its whole manifest."""

    revision: Revision
    deltas: list[RulesDelta]
    chunks: list[ChunkName]


class ChunkAsk(NamedTuple):
    """Ask for chunks by digest."""

    digests: list[str]


class ChunkText(NamedTuple):
    """Carry a chunk."""

    digest: str
    text: str


FleetMessage = (
    Probe
    | ProbeAsk
    | ProbeReached
    | Submit
    | Spread
    | SyncAsk
    | SyncRows
    | RulesAsk
    | RulesOffer
    | ChunkAsk
    | ChunkText
    | CatalogAsk
    | CatalogOffer
)
