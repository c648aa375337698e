"""Choose the retry time that a refused client is given.

Load pattern: the upstreams of a service are full for a moment. A client that retries
within a third of its remaining time can still be served; a later retry is too late.
"""

from __future__ import annotations

# A few slots process a short burst of requests in about this time.
MAX_WAIT_MS = 40
# Clients obey a wait of at most this fraction of their remaining time.
REMAINING_FRACTION = 0.3


def choose_retry_after_ms(remaining_ms: float) -> int:
    """Return the wait in milliseconds of a client that has `remaining_ms` left."""
    return max(1, min(MAX_WAIT_MS, int(remaining_ms * REMAINING_FRACTION)))
