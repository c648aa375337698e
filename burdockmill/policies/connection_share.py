"""Limit the connections of one host to an upstream, and decide whether to keep them.

Load pattern: an upstream resets connections beyond a limit that all hosts share. The
connections of hosts that lost power count against it until the upstream detects that
they are stale. After a power loss of all hosts, stale and new connections together
exceed the limit.
"""

from __future__ import annotations

# The fraction of the limit that is shared out; the rest is for hosts being replaced.
PLANNED_FRACTION = 0.9
# A starting host discovers the other hosts within this time.
MEMBER_DISCOVERY_MS = 1_500.0
# Upstreams close idle connections, stale ones included, after some ten seconds.
STALE_CONNECTIONS_MS = 12_000.0


# The fraction of the planned connections that the hosts which gather searches share;
# the rest is for the others while no such host takes their searches.
GATHERERS_FRACTION = 0.7


def connection_share(limit: int, hosts: int) -> int:
    """Return this host's share of an upstream's connection limit, at least one."""
    return max(1, int(limit * PLANNED_FRACTION / (max(1, hosts) + 1)))


def keeps_idle(limit: int, hosts: int, since_start_ms: float) -> bool:
    """Return whether a host keeps idle connections to an upstream.

    While stale connections may fill the limit, each host closes its connections after
    use. Each host can then still connect, since few connections are in use at a time.
    """
    if since_start_ms < MEMBER_DISCOVERY_MS:
        return False
    return since_start_ms >= STALE_CONNECTIONS_MS or limit >= 2 * hosts


def gatherer_connection_share(limit: int, gatherers: int) -> int:
    """Return the share of a host that gathers the searches of others, at least one."""
    planned = limit * PLANNED_FRACTION * GATHERERS_FRACTION
    return max(1, int(planned / (max(1, gatherers) + 1)))
