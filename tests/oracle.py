"""Compute the expected answers of searches by scanning all records."""

from __future__ import annotations

import random
from typing import NamedTuple

import msgspec

from burdockmill.messages.peer import Hit
from burdockmill.slots import FULL_RANGE, slot_of, subtract

GROUPS = ("red", "green", "blue")


class OracleRecord(NamedTuple):
    key: str
    slot: int
    rank: float
    group: str


class Oracle:
    """Store the records of each snapshot."""

    def __init__(self, seed, snapshots=(1, 2, 3), count=120):
        rng = random.Random(seed)
        self.records_by_snapshot = {
            snapshot: [
                OracleRecord(key, slot_of(key), float(rng.randrange(50)), group)
                for key in (f"r{number}" for number in range(count))
                for group in (rng.choice(GROUPS),)
                if rng.random() < 0.8
            ]
            for snapshot in snapshots
        }

    def hits(self, snapshot, ranges, group):
        """Return all hits of a group in ranges of slots, best first."""
        found = [
            Hit(one.rank, one.key, msgspec.Raw(b'{"of":%d}' % snapshot))
            for one in self.records_by_snapshot.get(snapshot, ())
            if one.group == group
            and any(first <= one.slot <= last for first, last in ranges)
        ]
        return sorted(found, key=lambda hit: (hit.rank, hit.key))

    def has(self, key):
        """Return whether the newest snapshot has a key."""
        newest = max(self.records_by_snapshot)
        return any(one.key == key for one in self.records_by_snapshot[newest])

    def problems(self, request, answer):
        """Return the names of the checks in which an answer differs from a scan."""
        coverage = answer.coverage
        missing = [(one["first"], one["last"]) for one in coverage["missing"]]
        covered = subtract([FULL_RANGE], [type(FULL_RANGE)(*one) for one in missing])
        slots = sum(last - first + 1 for first, last in covered)
        group = msgspec.json.decode(request.body)["group"]
        hits = self.hits(answer.snapshot, covered, group)
        checks = {
            "covered": coverage["covered"] == slots,
            "complete": coverage["complete"] == (slots == coverage["total"]),
            "missing overlaps": sum(b - a + 1 for a, b in missing)
            == coverage["total"] - slots,
            "hits": answer.hits == hits[: request.limit],
            "has_more": answer.has_more == (len(hits) > len(answer.hits)),
            "total": answer.total == len(hits)
            or (not answer.total_is_exact and answer.total <= len(hits)),
            "reasons": all(one["reason"] for one in coverage["missing"]),
        }
        return [name for name, passed in checks.items() if not passed]
