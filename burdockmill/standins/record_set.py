"""Store generated records by snapshot and slot."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from typing import TYPE_CHECKING

from burdockmill.slots import slot_of
from burdockmill.standins.records import (
    Record,
    make_booking_snapshots,
    make_leave_snapshots,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping

    from burdockmill.names import SnapshotId
    from burdockmill.slots import SlotRange


class RecordSet:
    """Store the records of each snapshot; replicas may share one set."""

    def __init__(
        self, records_by_snapshot: Mapping[SnapshotId, Iterable[Record]]
    ) -> None:
        self._records_by_snapshot: dict[SnapshotId, list[Record]] = {}
        self._slots_by_snapshot: dict[SnapshotId, list[int]] = {}
        self._latest_by_key: dict[str, Record] = {}
        for snapshot, records in sorted(records_by_snapshot.items()):
            self.add_snapshot(snapshot, records)

    @classmethod
    def of_leave_requests(
        cls, count: int, seed: int = 1, snapshots: int = 2
    ) -> RecordSet:
        """Return a set of generated leave requests, `count` of them in snapshot 1."""
        return cls(make_leave_snapshots(count, seed, snapshots))

    @classmethod
    def of_bookings(cls, count: int, seed: int = 1, snapshots: int = 2) -> RecordSet:
        """Return a set of generated bookings, `count` of them in snapshot 1."""
        return cls(make_booking_snapshots(count, seed, snapshots))

    @property
    def snapshots(self) -> tuple[SnapshotId, ...]:
        """Return all snapshots, oldest first."""
        return tuple(sorted(self._records_by_snapshot))

    def add_snapshot(self, snapshot: SnapshotId, records: Iterable[Record]) -> None:
        """Add a snapshot; the highest number provides the latest records."""
        by_slot = sorted((slot_of(r["key"]), r["key"], r) for r in records)
        self._records_by_snapshot[snapshot] = [record for _, _, record in by_slot]
        self._slots_by_snapshot[snapshot] = [slot for slot, _, _ in by_slot]
        if snapshot == max(self._records_by_snapshot):
            self._latest_by_key = {key: record for _, key, record in by_slot}

    def records_at(self, snapshot: SnapshotId) -> list[Record]:
        """Return all records of a snapshot."""
        return self._records_by_snapshot[snapshot]

    def records_in(
        self, snapshot: SnapshotId, ranges: Iterable[SlotRange]
    ) -> Iterator[Record]:
        """Yield the records of a snapshot in disjoint ranges of slots."""
        slots = self._slots_by_snapshot[snapshot]
        records = self._records_by_snapshot[snapshot]
        for first, last in ranges:
            yield from records[bisect_left(slots, first) : bisect_right(slots, last)]

    def latest(self, key: str) -> Record | None:
        """Return a key's record in the newest snapshot, or None if it is absent."""
        return self._latest_by_key.get(key)
