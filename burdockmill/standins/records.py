"""Generate records and search them by brute force."""

from __future__ import annotations

import heapq
import random
from datetime import date, timedelta
from typing import TYPE_CHECKING, Any, NamedTuple, TypedDict

import msgspec

from burdockmill.messages.peer import Hit
from burdockmill.slots import FULL_RANGE, SlotRange, slot_of

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from burdockmill.names import SnapshotId

YEAR_START = date(2026, 1, 1)
YEAR_DAYS = 365
LEAVE_DAYS_MAX = 14
CHANGED_FRACTION = 0.02
ADDED_FRACTION = 0.01
TEAMS = ("packing-1", "packing-2", "packing-3", "sorting", "dispatch", "office")
LEAVE_STATUSES = ("filed", "approved", "rejected")
FIELDS = ("noordhoek", "bloubos", "kleinzee", "umdloti", "swartkop")
CLUBS = ("kites-north", "kites-south", "juniors-east", "festival")
BOOKING_STATUSES = ("held", "booked", "released")


class LeaveRequest(TypedDict):
    """Describe an employee's leave; dates are ISO days, `last_day` included."""

    key: str
    team: str
    employee: str
    first_day: str
    last_day: str
    days: int
    status: str


class Booking(TypedDict):
    """Describe a club's booking of a flying field for an ISO day."""

    key: str
    field: str
    club: str
    day: str
    junior: bool
    status: str


class ScanResult(NamedTuple):
    """Store the count of all matches and the first hits."""

    total: int
    hits: list[Hit]


Record = LeaveRequest | Booking


def make_leave_request(number: int, rng: random.Random) -> LeaveRequest:
    """Return the generated leave request of a number."""
    days = rng.randint(1, LEAVE_DAYS_MAX)
    first = YEAR_START + timedelta(days=rng.randint(0, YEAR_DAYS - days))
    last = first + timedelta(days=days - 1)
    return LeaveRequest(
        key=f"LR-{number:06d}",
        team=rng.choice(TEAMS),
        employee=f"employee-{rng.randint(1, 9999):04d}",
        first_day=first.isoformat(),
        last_day=last.isoformat(),
        days=days,
        status=rng.choice(LEAVE_STATUSES),
    )


def make_booking(number: int, rng: random.Random) -> Booking:
    """Return the generated booking of a number."""
    day = YEAR_START + timedelta(days=rng.randint(0, YEAR_DAYS - 1))
    return Booking(
        key=f"FB-{number:06d}",
        field=rng.choice(FIELDS),
        club=rng.choice(CLUBS),
        day=day.isoformat(),
        junior=rng.random() < 0.5,
        status=rng.choice(BOOKING_STATUSES),
    )


def first_day_of(record: Mapping[str, Any]) -> date:
    """Return the first day of a record."""
    return date.fromisoformat(record.get("first_day") or record["day"])


def last_day_of(record: Mapping[str, Any]) -> date:
    """Return the last day of a record, included."""
    return date.fromisoformat(record.get("last_day") or record["day"])


def rank_of(record: Mapping[str, Any]) -> float:
    """Return a record's rank, lowest first: the ordinal of its first day."""
    return float(first_day_of(record).toordinal())


def matches(record: Mapping[str, Any], query: Mapping[str, Any]) -> bool:
    """Return whether all conditions match; raise ValueError for an unknown one."""
    return _matcher(query)(record)


def check_query(query: object) -> None:
    """Raise ValueError when a query has an unknown or malformed condition."""
    _matcher(query)


def _matcher(query: object) -> Callable[[Mapping[str, Any]], bool]:
    if not isinstance(query, dict):
        raise ValueError("the query must be a JSON object")
    unknown = query.keys() - {"off_in", "where"}
    if unknown:
        raise ValueError(f"unknown conditions {sorted(unknown)}; use off_in or where")
    month, where = query.get("off_in"), query.get("where", {})
    if not isinstance(where, dict):
        raise ValueError("where must be an object of field names and values")
    if month is None:
        return lambda record: _has_fields(record, where)
    start, end = _month_bounds(month)
    return lambda record: (
        _has_fields(record, where)
        and (first_day_of(record) < end and last_day_of(record) >= start)
    )


def _has_fields(record: Mapping[str, Any], where: Mapping[str, Any]) -> bool:
    return all(record.get(name) == value for name, value in where.items())


def _month_bounds(month: object) -> tuple[date, date]:
    start = date.fromisoformat(f"{month}-01")
    end = (start + timedelta(days=31)).replace(day=1)
    return start, end


def make_hit(record: Mapping[str, Any]) -> Hit:
    """Return the hit of a record."""
    raw = msgspec.Raw(msgspec.json.encode(record))
    return Hit(rank_of(record), record["key"], raw)


def scan(
    records: Iterable[Mapping[str, Any]],
    query: Mapping[str, Any],
    limit: int,
    slots: SlotRange = FULL_RANGE,
) -> ScanResult:
    """Return the count of matches and the first `limit` by rank and key."""
    in_range = (r for r in records if slots.first <= slot_of(r["key"]) <= slots.last)
    return search_records(in_range, query, limit)


def search_records(
    records: Iterable[Mapping[str, Any]], query: Mapping[str, Any], limit: int
) -> ScanResult:
    """Search records that are already filtered by slot."""
    match = _matcher(query)
    found = [(rank_of(r), r["key"], r) for r in records if match(r)]
    first = heapq.nsmallest(limit, found, key=lambda row: row[:2])
    return ScanResult(len(found), [make_hit(record) for _, _, record in first])


def make_leave_snapshots(
    count: int, seed: int, snapshots: int = 2
) -> dict[SnapshotId, tuple[Record, ...]]:
    """Return leave requests by snapshot, numbered from 1.

    Each later snapshot changes the status of some records and adds new ones.
    """
    return _make_snapshots(make_leave_request, LEAVE_STATUSES, count, seed, snapshots)


def make_booking_snapshots(
    count: int, seed: int, snapshots: int = 2
) -> dict[SnapshotId, tuple[Record, ...]]:
    """Return bookings by snapshot, numbered from 1.

    Each later snapshot changes the status of some records and adds new ones.
    """
    return _make_snapshots(make_booking, BOOKING_STATUSES, count, seed, snapshots)


def _make_snapshots(
    make: Callable[[int, random.Random], Record],
    statuses: tuple[str, ...],
    count: int,
    seed: int,
    snapshots: int,
) -> dict[SnapshotId, tuple[Record, ...]]:
    rng = random.Random(seed)
    records = [make(number, rng) for number in range(1, count + 1)]
    by_snapshot: dict[SnapshotId, tuple[Record, ...]] = {1: tuple(records)}
    for snapshot in range(2, snapshots + 1):
        records = [_maybe_change_status(record, statuses, rng) for record in records]
        added = max(1, int(len(records) * ADDED_FRACTION))
        first = len(records) + 1
        records += [make(number, rng) for number in range(first, first + added)]
        by_snapshot[snapshot] = tuple(records)
    return by_snapshot


def _maybe_change_status(
    record: Record, statuses: tuple[str, ...], rng: random.Random
) -> Record:
    if rng.random() >= CHANGED_FRACTION:
        return record
    changed = record.copy()
    changed["status"] = rng.choice([s for s in statuses if s != record["status"]])
    return changed
