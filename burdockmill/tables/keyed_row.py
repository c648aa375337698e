"""Define the state of a fetch or action at its entry host."""

from __future__ import annotations

from typing import NamedTuple

from burdockmill.errors import Ran
from burdockmill.messages.events import RequestReceived
from burdockmill.messages.peer import Part, Reason
from burdockmill.names import HostId, SnapshotId, UpstreamId
from burdockmill.rules.model import ShardRule


class SentAction(NamedTuple):
    """Record the owner's process run that an action was sent to.

    `not_after_ms` is in the owner's clock, `sent_ms` in this host's.
    """

    run_id: str
    not_after_ms: float
    sent_ms: float
    cancel_requested: bool = False


class KeyedRow(NamedTuple):
    """Store one fetch or action; `ran` says if an earlier attempt may have run."""

    request: RequestReceived
    shard: ShardRule
    snapshot: SnapshotId
    tried_upstreams: tuple[UpstreamId, ...]
    part: Part
    owner: HostId
    reason: Reason = Reason.NONE
    retry_after_ms: int | None = None
    sent: SentAction | None = None
    ran: Ran = Ran.NO
