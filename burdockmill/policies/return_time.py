"""Choose the retry time that a refused client is given.

Load pattern: the upstreams of a service are full for a moment. A client that retries
within a third of its remaining time can still be served; a later retry is too late.
When all upstreams of a service asked for a pause, nothing can be served before it ends;
many clients are refused meanwhile, and would all return at that moment.
"""

from __future__ import annotations

from math import ceil
from typing import TYPE_CHECKING

from xxhash import xxh3_64_intdigest

if TYPE_CHECKING:
    from burdockmill.names import RequestId

# A few slots process a short burst of requests in about this time.
MAX_WAIT_MS = 40
# An isolated host tests so often whether it reaches upstreams again.
ISOLATED_RETURN_MS = 250.0
# Clients obey a wait of at most this fraction of their remaining time.
REMAINING_FRACTION = 0.3
# Clients of rank 1 that are refused in favour of others wait at most so long, those of
# rank 2 twice as long, so that the urgent ones return first.
RANK_WAIT_MS = 150.0
# They return within this fraction before that time, spread by their requests' ids.
RANK_SPREAD_FRACTION = 0.4
# The hash differs from the one that decided on the refusal.
RANK_SPREAD_SEED = 12

# Clients return after a pause within this fraction of its length.
SPREAD_FRACTION = 0.1
HASH_VALUES = 2**64


def pause_until_enough_ms(pauses_ms: list[float], needed: int) -> float:
    """Return when `needed` of the paused services accept requests again.

    `pauses_ms` are the remaining times of their pauses; 0 if none is needed.
    """
    return sorted(pauses_ms)[needed - 1] if 0 < needed <= len(pauses_ms) else 0.0


def choose_retry_after_ms(
    remaining_ms: float, pause_ms: float = 0.0, request_id: RequestId = ""
) -> int:
    """Return the wait in milliseconds of a client that has `remaining_ms` left.

    `pause_ms` is how long the upstreams accept nothing; the request's id spreads the
    returns of different clients after it.
    """
    if pause_ms > 0.0:
        spread = xxh3_64_intdigest(request_id.encode()) / HASH_VALUES
        return ceil(pause_ms * (1.0 + SPREAD_FRACTION * spread))
    return max(1, min(MAX_WAIT_MS, int(remaining_ms * REMAINING_FRACTION)))


def rank_return_ms(remaining_ms: float, rank: int, request_id: RequestId) -> int:
    """Return the wait of a client that is refused because of its request's rank.

    It grows with the rank, and stays within what clients obey.
    """
    obeyed_ms = remaining_ms * REMAINING_FRACTION * rank / (rank + 1)
    spread = xxh3_64_intdigest(request_id.encode(), RANK_SPREAD_SEED) / HASH_VALUES
    limit_ms = min(RANK_WAIT_MS * rank, obeyed_ms)
    return max(1, int(limit_ms * (1.0 - RANK_SPREAD_FRACTION * spread)))
