"""Decide which hosts of a failure domain gather the searches of the others.

Load pattern: a search costs a tenth of a second of a small host's processor, while a
few hosts of the same failure domain have six times as much and are idle.
"""

from __future__ import annotations

from statistics import median_low
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from burdockmill.names import HostId
    from burdockmill.tables.rows import MemberRow

# A hand-over costs both hosts some of what it saves, which a host of nearly the same
# strength does not make up for.
STRONG_FACTOR = 2.0


def gather_hosts(members: Collection[MemberRow]) -> frozenset[HostId]:
    """Return the strong hosts among the members of one failure domain.

    Members that are down count too, so that the others keep their part meanwhile.
    """
    cores = [row.processor_cores for row in members if row.processor_cores > 0.0]
    if not cores:
        return frozenset()
    least_cores = STRONG_FACTOR * median_low(cores)
    return frozenset(row.host for row in members if row.processor_cores >= least_cores)
