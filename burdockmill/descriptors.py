"""Share the descriptors that a process may open among its connections."""

from __future__ import annotations

import resource

# Of all descriptors, for the connections of each surface. The rest is for connections
# to upstreams, peers and the store.
SHARE_BY_SURFACE = {
    "ingress": 1 / 2,
    "caller": 1 / 2,
    "peer": 1 / 4,
    "ready": 1 / 16,
    "operator": 1 / 16,
}


def connections_limit(surface: str, most: int, stated: int = 0) -> int:
    """Return how many connections a surface takes, `most` or fewer.

    `stated` is how many descriptors the process has as its settings state, 0 if they
    do not. The process's own limit counts as well.
    """
    own, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    limits = [limit for limit in (own, stated) if limit > 0]
    if not limits:
        return most
    return max(1, min(most, int(min(limits) * SHARE_BY_SURFACE[surface])))
