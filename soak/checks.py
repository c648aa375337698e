"""Check a run against the users' rules, from what clients and upstreams saw."""

from __future__ import annotations

from soak.check_answers import check_answers, check_denials, check_runs
from soak.check_members import check_members
from soak.check_times import (
    check_deadlines,
    check_departed_clients,
    check_departures,
    check_processes,
    check_recovery,
    check_repeats,
    check_stops,
    check_versions,
)
from soak.check_upstreams import (
    check_evacuations,
    check_limits,
    check_suspects,
)
from soak.records import RunRecord
from soak.violation import Violation

CHECKS = (
    check_answers,
    check_runs,
    check_denials,
    check_stops,
    check_departures,
    check_versions,
    check_deadlines,
    check_departed_clients,
    check_repeats,
    check_recovery,
    check_processes,
    check_limits,
    check_suspects,
    check_evacuations,
    check_members,
)


def find_violations(record: RunRecord) -> list[Violation]:
    """Return all rules that a run broke."""
    return [found for check in CHECKS for found in check(record)]
