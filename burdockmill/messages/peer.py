"""Define the messages between hosts; each is sent as a JSON array of its fields."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple, TypedDict

import msgspec

from burdockmill.errors import Ran
from burdockmill.messages.catalog import CatalogRequest, CatalogResponse
from burdockmill.messages.fleet import (
    ChunkRequest,
    ChunkText,
    FleetMessage,
    IndirectProbeRequest,
    IndirectProbeSucceeded,
    Probe,
    RelayUpdates,
    RulesRequest,
    RulesResponse,
    SubmitUpdates,
    SyncRequest,
    SyncRows,
)
from burdockmill.messages.limits import TokenGrant, TokenRequest
from burdockmill.messages.reach import ReachQuery, ReachReport
from burdockmill.messages.suspects import (
    SuspectNews,
    SuspectPoll,
    TurnClaim,
    TurnReply,
    TurnReturn,
)
from burdockmill.names import (
    AttemptId,
    CallerId,
    HostId,
    RequestId,
    ServiceId,
    ShardId,
    SnapshotId,
    UpstreamId,
)
from burdockmill.rules.model import RequestKind
from burdockmill.slots import SlotRange

NO_BODY = msgspec.Raw(b"null")


class Part(NamedTuple):
    """Describe one attempt at a part (a shard's share of a request) on an upstream."""

    attempt: AttemptId
    upstream: UpstreamId
    shard: ShardId
    slots: SlotRange


class WorkRequest(NamedTuple):
    """Request that an owner run parts of a request on its upstreams.

    The owner of an upstream is the host that queues and sends all attempts to it.
    """

    request_id: RequestId
    kind: RequestKind
    service: ServiceId
    caller: CallerId
    snapshot: SnapshotId
    remaining_ms: float
    limit: int
    key: str
    body: msgspec.Raw
    parts: list[Part]


class PartStatus(StrEnum):
    """Enumerate how an attempt can end."""

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"
    CANCELLED = "cancelled"


class Reason(StrEnum):
    """Enumerate why an attempt or a range of slots has no answer."""

    NONE = ""
    SHED = "shed"
    DRAINING = "draining"
    COLD = "cold"
    SNAPSHOT_GONE = "snapshot_gone"
    WRONG_ANSWER = "wrong_answer"
    CONNECT_FAILED = "connect_failed"
    BROKEN = "broken"
    DEADLINE = "deadline"
    QUEUE_FULL = "queue_full"
    NO_TIME = "no_time"
    CIRCUIT_OPEN = "circuit_open"
    NOT_OWNER = "not_owner"
    UNKNOWN_UPSTREAM = "unknown_upstream"
    NO_REPLICA = "no_replica"
    NO_OWNER = "no_owner"
    CANCELLED = "cancelled"
    TICKET_GONE = "ticket_gone"
    TICKET_EXPIRED = "ticket_expired"
    ABSENT = "absent"
    REJECTED = "rejected"
    NO_SNAPSHOT = "no_snapshot"
    UNMAPPED = "unmapped"


class PartOutcome(NamedTuple):
    """Report how one attempt ended; `took_ms` is the time that the upstream took."""

    attempt: AttemptId
    upstream: UpstreamId
    shard: ShardId
    status: PartStatus
    ran: Ran
    reason: Reason = Reason.NONE
    covered: tuple[SlotRange, ...] = ()
    total: int = 0
    took_ms: float = 0.0
    retry_after_ms: int | None = None


class Hit(NamedTuple):
    """Carry one matching record; hits are sorted by rank, then by key."""

    rank: float
    key: str
    record: msgspec.Raw


class WorkAnswer(NamedTuple):
    """Return the outcomes of parts with their merged hits or a record's body."""

    request_id: RequestId
    snapshot: SnapshotId
    outcomes: list[PartOutcome]
    hits: list[Hit]
    body: msgspec.Raw = NO_BODY


class WorkCancel(NamedTuple):
    """Request that an owner cancel attempts."""

    request_id: RequestId
    attempts: list[AttemptId]


class SessionRequest(NamedTuple):
    """Request the id of an owner's process run, and its clock; `asked_ms` is echoed."""

    asked_ms: float


class SessionResponse(NamedTuple):
    """Return the id of the sender's process run, and its monotonic clock in ms."""

    run_id: str
    clock_ms: float
    asked_ms: float


class ActionRequest(NamedTuple):
    """Request an action from one process run of an owner.

    The owner sends it only before `not_after_ms` on its own clock.
    """

    run_id: str
    not_after_ms: float
    request: WorkRequest


class ActionCancel(NamedTuple):
    """Request that an owner confirm that an action was not sent and never will be."""

    run_id: str
    not_after_ms: float
    request_id: RequestId
    part: Part


class ActionOutcome(NamedTuple):
    """Report or confirm how an action ended; `uptime_ms` is the run's uptime."""

    run_id: str
    clock_ms: float
    request_id: RequestId
    outcome: PartOutcome
    body: msgspec.Raw = NO_BODY
    uptime_ms: float = 0.0


class Ticket(NamedTuple):
    """Allow one action.

    Only the issuing process run, or the run that it handed its tickets over to, tracks
    whether it is spent.
    """

    host: HostId
    run_id: str
    number: int
    expires_ms: float
    caller: CallerId
    service: ServiceId
    key: str


class TicketVerdict(StrEnum):
    """Enumerate a ticket holder's responses to the use of a ticket."""

    OUTCOME = "outcome"
    UNAVAILABLE = "gone"
    EXPIRED = "expired"
    OTHER_ACTION = "other_action"


class TicketRedemption(NamedTuple):
    """Request that a ticket holder run the action, or return its stored outcome."""

    run_id: str
    not_after_ms: float
    request_id: RequestId
    ticket: Ticket
    body: msgspec.Raw


class TicketOutcome(NamedTuple):
    """Return the first outcome of a ticket, or why there is none."""

    request_id: RequestId
    verdict: TicketVerdict
    ran: Ran = Ran.UNKNOWN
    reason: Reason = Reason.NONE
    retry_after_ms: int | None = None
    body: msgspec.Raw = NO_BODY


class TicketLocation(NamedTuple):
    """Announce the process run that holds the tickets of a stopped run."""

    origin_run_id: str
    host: HostId
    run_id: str


class SpentTicket(NamedTuple):
    """Describe a spent ticket; `digest` is of the body of its first use."""

    number: int
    expires_ms: float
    digest: str
    outcome: TicketOutcome


class TicketHandover(NamedTuple):
    """Transfer one of `parts` batches of a run's spent tickets to a successor's run."""

    to_run_id: str
    origin_run_id: str
    clock_ms: float
    last_expiry_ms: float
    part: int
    parts: int
    spent: list[SpentTicket]


class PeerBatch(TypedDict, total=False):
    """Carry all queued messages for one peer."""

    sender: HostId
    work_requests: list[WorkRequest]
    work_answers: list[WorkAnswer]
    work_cancels: list[WorkCancel]
    probes: list[Probe]
    probe_asks: list[IndirectProbeRequest]
    probes_reached: list[IndirectProbeSucceeded]
    submits: list[SubmitUpdates]
    spreads: list[RelayUpdates]
    sync_asks: list[SyncRequest]
    sync_rows: list[SyncRows]
    rules_asks: list[RulesRequest]
    rules_offers: list[RulesResponse]
    chunk_asks: list[ChunkRequest]
    chunk_texts: list[ChunkText]
    catalog_asks: list[CatalogRequest]
    catalog_offers: list[CatalogResponse]
    session_asks: list[SessionRequest]
    sessions_told: list[SessionResponse]
    action_requests: list[ActionRequest]
    action_cancels: list[ActionCancel]
    action_outcomes: list[ActionOutcome]
    ticket_uses: list[TicketRedemption]
    ticket_outcomes: list[TicketOutcome]
    ticket_homes: list[TicketLocation]
    ticket_handovers: list[TicketHandover]
    token_requests: list[TokenRequest]
    token_grants: list[TokenGrant]
    suspect_news: list[SuspectNews]
    suspect_polls: list[SuspectPoll]
    turn_claims: list[TurnClaim]
    turn_replies: list[TurnReply]
    turn_returns: list[TurnReturn]
    reach_queries: list[ReachQuery]
    reach_reports: list[ReachReport]


PeerMessage = (
    WorkRequest
    | WorkAnswer
    | WorkCancel
    | FleetMessage
    | SessionRequest
    | SessionResponse
    | ActionRequest
    | ActionCancel
    | ActionOutcome
    | TicketRedemption
    | TicketOutcome
    | TicketLocation
    | TicketHandover
    | TokenRequest
    | TokenGrant
    | SuspectNews
    | SuspectPoll
    | TurnClaim
    | TurnReply
    | TurnReturn
    | ReachQuery
    | ReachReport
)
