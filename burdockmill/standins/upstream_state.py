"""Store a stand-in upstream's data, faults, reports and counters."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from burdockmill.clock import MonotonicClock
from burdockmill.messages.upstream import UpstreamHealth, UpstreamLoad
from burdockmill.rules.model import RequestKind
from burdockmill.slots import FULL_RANGE, SlotRange
from burdockmill.standins.admission_control import AdmissionControl
from burdockmill.standins.faults import NO_FAULTS
from burdockmill.standins.jobs import JobTable
from burdockmill.standins.replies import ReplyWriter
from burdockmill.standins.server import ConnectionCounter, StandinServer

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from burdockmill.names import AttemptId, RequestId, SnapshotId
    from burdockmill.standins.record_set import RecordSet
    from burdockmill.standins.records import Record


class RanRow(NamedTuple):
    """Record the start of an attempt; `at_ms` is monotonic time."""

    request_id: RequestId
    attempt: AttemptId
    kind: RequestKind
    key: str
    snapshot: SnapshotId
    at_ms: float


class UpstreamState(StandinServer):
    """Store an upstream's state; attributes set its data and its faults.

    `slots` is how many requests it runs at a time, `holdings` the ranges of key slots
    whose records it has. The first `cold_requests` take `cold_extra_ms` longer.
    `overlay` has the records that actions changed; replicas may share it.
    """

    def __init__(
        self,
        name: str,
        records: RecordSet,
        *,
        port: int = 0,
        holdings: Iterable[SlotRange] = (FULL_RANGE,),
        slots: int = 2,
        queue_limit: int = 8,
        connection_limit: int | None = 25,
        connect_ms: float = 0.0,
        service_ms: Callable[[RanRow], float] | None = None,
        cold_requests: int = 0,
        cold_extra_ms: float = 0.0,
        overlay: dict[str, Record] | None = None,
    ) -> None:
        super().__init__(port, ConnectionCounter(connection_limit, connect_ms))
        self.name = name
        self.records = records
        self.holdings = tuple(holdings)
        self.snapshots = records.snapshots
        self.admission = AdmissionControl(slots, queue_limit)
        self.jobs = JobTable()
        self.service_ms = service_ms
        self.cold_requests_left = cold_requests
        self.cold_extra_ms = cold_extra_ms
        self.overlay = {} if overlay is None else overlay
        self.faults = NO_FAULTS
        self.draining = False
        self.drain_is_hard = False
        self.shed_all = False
        self.reported_health: UpstreamHealth | None = None
        self.reported_load: UpstreamLoad | None = None
        self.log: list[RanRow] = []
        self.refused_by_kind: dict[str, int] = {}
        self._clock = MonotonicClock()
        self._replies = ReplyWriter()

    def drain(self, hard: bool = False) -> None:
        """Announce a drain; a hard one also refuses new work."""
        self.draining, self.drain_is_hard = True, hard

    def undrain(self) -> None:
        """End the drain."""
        self.draining = self.drain_is_hard = False

    def remove_snapshot(self, snapshot: SnapshotId) -> None:
        """Remove a snapshot from this upstream only."""
        self.snapshots = tuple(s for s in self.snapshots if s != snapshot)

    def freeze_reports(self) -> None:
        """Make health and load reports stay as they are now."""
        self.reported_health, self.reported_load = self.health(), self.load()

    def unfreeze_reports(self) -> None:
        """Make health and load reports show the actual state again."""
        self.reported_health = self.reported_load = None

    def health(self) -> UpstreamHealth:
        """Return the actual health, also while reports are frozen."""
        return UpstreamHealth(
            status="draining" if self.draining else "ok",
            draining=self.draining,
            incarnation=f"{self.name}#{self.starts}",
            snapshots=list(self.snapshots),
        )

    def load(self) -> UpstreamLoad:
        """Return the actual load, also while reports are frozen."""
        admission = self.admission
        return UpstreamLoad(
            slots=admission.slots, busy=admission.busy, queued=admission.queued
        )

    def ran(self, request_id: RequestId) -> list[RanRow]:
        """Return the attempts of a request that ran here."""
        return [row for row in self.log if row.request_id == request_id]
