"""Define the state of a search at its entry host."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from burdockmill.covered_slots import CoveredSlots

if TYPE_CHECKING:
    from burdockmill.messages.events import RequestReceived
    from burdockmill.messages.peer import Hit, Part, Reason
    from burdockmill.names import AttemptId, HostId, ShardId, UpstreamId
    from burdockmill.rules.model import ServiceRule, ShardRule
    from burdockmill.slots import SlotRange
    from burdockmill.systems.routing import Pin


class AttemptRow(NamedTuple):
    """Describe one attempt that was sent at the clock time `sent_ms`."""

    part: Part
    owner: HostId
    sent_ms: float
    is_hedge: bool


class HedgeWave(NamedTuple):
    """Describe shards to be hedged at `due_ms` if they are still open."""

    due_ms: float
    sequence: int
    shards: tuple[ShardId, ...]


class CountedAnswer(NamedTuple):
    """Record how many matches an answer counted in its slot ranges."""

    ranges: tuple[SlotRange, ...]
    total: int


class SearchRow:
    """Store the state of one search at its entry host.

    `pin` has the snapshot that every shard is searched in, and its replicas by shard.
    """

    __slots__ = (
        "attempt_by_id",
        "counted",
        "covered",
        "gone_slots",
        "hedge_waves",
        "hedges_by_shard",
        "hit_by_key",
        "may_have_run",
        "next_attempt",
        "open_by_shard",
        "open_count",
        "pin",
        "reason_by_shard",
        "request",
        "restarted",
        "retry_after_ms",
        "revision",
        "rule",
        "shard_by_name",
        "soft_deadline_passed",
        "started_ms",
        "total_is_exact",
        "tried_by_shard",
    )

    def __init__(
        self,
        asked: RequestReceived,
        rule: ServiceRule,
        pin: Pin,
        shard_by_name: dict[ShardId, ShardRule],
        started_ms: float,
    ) -> None:
        self.request = asked
        self.rule = rule
        self.started_ms = started_ms
        self.next_attempt = 1
        self.restarted = False
        self.revision = 0
        self.soft_deadline_passed = False
        self.may_have_run = False
        self.retry_after_ms = 0
        self.begin(pin, shard_by_name)

    def begin(self, pin: Pin, shard_by_name: dict[ShardId, ShardRule]) -> None:
        """Start, or start over, without results; attempt numbers continue."""
        self.pin = pin
        self.shard_by_name = shard_by_name
        self.attempt_by_id: dict[AttemptId, AttemptRow] = {}
        self.open_count = 0
        self.open_by_shard: dict[ShardId, list[AttemptId]] = {}
        self.tried_by_shard: dict[ShardId, tuple[UpstreamId, ...]] = {}
        self.hedges_by_shard: dict[ShardId, int] = {}
        self.hedge_waves: list[HedgeWave] = []
        self.reason_by_shard: dict[ShardId, Reason] = {}
        self.hit_by_key: dict[str, Hit] = {}
        self.counted: list[CountedAnswer] = []
        self.covered = CoveredSlots()
        self.gone_slots = CoveredSlots()
        self.total_is_exact = True
