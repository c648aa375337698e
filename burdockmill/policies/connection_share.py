"""Say how many connections one host may open to an upstream, and whether it keeps them.

Load pattern: an upstream resets connections beyond a number that all hosts share,
and those of hosts that lost power count until it notices. After all hosts lost power
at once, those ghosts and the new connections together are above that number.
"""

from __future__ import annotations

# The part of the limit that hosts plan with; the rest is for hosts being replaced.
PLANNED_FRACTION = 0.9
# A host that starts learns in this time how many others there are.
VIEW_SETTLES_MS = 1_500.0
# Upstreams close idle connections after some ten seconds, ghosts among them.
GHOSTS_KEPT_MS = 12_000.0


def connection_share(limit: int, hosts: int) -> int:
    """Return this host's share of an upstream's connections, at least one."""
    return max(1, int(limit * PLANNED_FRACTION / (max(1, hosts) + 1)))


def keeps_idle(limit: int, hosts: int, since_start_ms: float) -> bool:
    """Tell whether a host keeps idle connections to an upstream.

    While ghosts may fill the limit, connections that each host closes after use leave
    room for all: few are in use at any moment.
    """
    if since_start_ms < VIEW_SETTLES_MS:
        return False
    return since_start_ms >= GHOSTS_KEPT_MS or limit >= 2 * hosts
