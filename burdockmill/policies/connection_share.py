"""Say how many connections one host may open to an upstream.

Load pattern: an upstream resets connections beyond a number that all hosts share,
and those of hosts that have died count until it notices.
"""

from __future__ import annotations

# The part of the limit that hosts plan with; the rest is for hosts being replaced.
PLANNED_FRACTION = 0.9


def connection_share(limit: int, hosts: int) -> int:
    """Return this host's share of an upstream's connections, at least one."""
    return max(1, int(limit * PLANNED_FRACTION / (max(1, hosts) + 1)))
