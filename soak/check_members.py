"""Check that hosts hear from each other, whatever build they are of."""

from __future__ import annotations

from collections.abc import Iterator

from soak.check_times import PLANNED_KINDS, STABLE_MS
from soak.records import RunRecord, Suspicion
from soak.violation import Violation

SUSPICIONS_ALLOWED = 1


def check_members(record: RunRecord) -> Iterator[Violation]:
    """Find hosts that are called silent though nothing impaired them (MEMBERS)."""
    found = [one for one in record.suspicions if _is_unfounded(record, one)]
    if len(found) > SUSPICIONS_ALLOWED:
        detail = f"{len(found)} suspicions, first {found[0]}"
        yield Violation("MEMBERS", found[0].at_ms, detail)


def _is_unfounded(record: RunRecord, suspicion: Suspicion) -> bool:
    for one in record.impairments:
        is_planned = one.kind in PLANNED_KINDS
        if one.host not in (suspicion.host, suspicion.about):
            continue
        if is_planned and one.host == suspicion.host:
            continue
        since_ms = 0.0 if is_planned else STABLE_MS
        if one.from_ms <= suspicion.at_ms <= one.to_ms + since_ms:
            return False
    return True
