"""Sort messages between hosts into batches by their kind.

The names in FIELD_BY_TYPE belong to the wire; none is used for two kinds.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, TypedDict

from burdockmill.messages.catalog import CatalogRequest, CatalogResponse
from burdockmill.messages.fleet import (
    ChunkRequest,
    ChunkText,
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
from burdockmill.messages.peer import (
    ActionCancel,
    ActionOutcome,
    ActionRequest,
    PeerBatch,
    SessionRequest,
    SessionResponse,
    TicketHandover,
    TicketLocation,
    TicketOutcome,
    TicketRedemption,
    WorkAnswer,
    WorkCancel,
    WorkRequest,
)
from burdockmill.messages.reach import ReachQuery, ReachReport
from burdockmill.messages.suspects import (
    SuspectNews,
    SuspectPoll,
    TurnClaim,
    TurnReply,
    TurnReturn,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from burdockmill.messages.peer import PeerMessage
    from burdockmill.names import HostId

FIELD_BY_TYPE: dict[type, str] = {
    WorkRequest: "work_requests",
    WorkAnswer: "work_answers",
    WorkCancel: "work_cancels",
    Probe: "probes",
    IndirectProbeRequest: "probe_asks",
    IndirectProbeSucceeded: "probes_reached",
    SubmitUpdates: "submits",
    RelayUpdates: "spreads",
    SyncRequest: "sync_asks",
    SyncRows: "sync_rows",
    RulesRequest: "rules_asks",
    RulesResponse: "rules_offers",
    ChunkRequest: "chunk_asks",
    ChunkText: "chunk_texts",
    CatalogRequest: "catalog_asks",
    CatalogResponse: "catalog_offers",
    SessionRequest: "session_asks",
    SessionResponse: "sessions_told",
    ActionRequest: "action_requests",
    ActionCancel: "action_cancels",
    ActionOutcome: "action_outcomes",
    TicketRedemption: "ticket_uses",
    TicketOutcome: "ticket_outcomes",
    TicketLocation: "ticket_homes",
    TicketHandover: "ticket_handovers",
    TokenRequest: "token_requests",
    TokenGrant: "token_grants",
    SuspectNews: "suspect_news",
    SuspectPoll: "suspect_polls",
    TurnClaim: "turn_claims",
    TurnReply: "turn_replies",
    TurnReturn: "turn_returns",
    ReachQuery: "reach_queries",
    ReachReport: "reach_reports",
}


class BatchReply(TypedDict, total=False):
    """Tell how many messages of a batch were accepted.

    `put_aside` lists those that the receiver could not decode, by field and index.
    """

    accepted: int
    put_aside: dict[str, list[int]]


def make_batch(sender: HostId, messages: Sequence[PeerMessage]) -> PeerBatch:
    """Sort messages into the fields of a batch by their type."""
    batch = PeerBatch(sender=sender)
    for message in messages:
        field = FIELD_BY_TYPE[type(message)]
        batch.setdefault(field, []).append(message)  # type: ignore[misc]
    return batch


def messages_in(batch: PeerBatch) -> list[PeerMessage]:
    """Return all messages of a batch, in the order of FIELD_BY_TYPE."""
    return [
        message
        for field in FIELD_BY_TYPE.values()
        for message in batch.get(field, ())  # type: ignore[attr-defined]
    ]
