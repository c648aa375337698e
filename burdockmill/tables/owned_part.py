"""Define the state of attempts at their owner."""

from __future__ import annotations

from typing import NamedTuple

from burdockmill.messages.peer import Hit, Part, PartOutcome, WorkRequest
from burdockmill.names import AttemptId, HostId, RequestId, SnapshotId

AttemptKey = tuple[RequestId, AttemptId]


class OwnedPart(NamedTuple):
    """Store one attempt, queued while `started_ms` is None; times are clock times."""

    requester: HostId
    request: WorkRequest
    part: Part
    deadline_ms: float
    accepted_ms: float
    started_ms: float | None = None


class MergeRow(NamedTuple):
    """Collect the outcomes and hits of a request until its requester gets them."""

    outcomes: list[PartOutcome]
    hits: list[Hit]
    snapshot: SnapshotId
    limit: int
