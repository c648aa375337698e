"""Say when a client whose request was refused should come back.

Load pattern: the upstreams of a service are full for a moment. A client that comes
back within a third of the time it has left can still be served; later it has gone.
"""

from __future__ import annotations

# A short burst in front of a few slots is worked off in about this time.
SOON_MS = 40
# Clients follow a wait of at most this part of the time they have left.
LEFT_FRACTION = 0.3


def return_after_ms(left_ms: float) -> int:
    """Return after how many milliseconds to come back; `left_ms` is the time left."""
    return max(1, min(SOON_MS, int(left_ms * LEFT_FRACTION)))
