"""Say how long an upstream may stay whose registration is gone.

Load pattern: while the store is down, registrations lapse although their upstreams
live; they come back soon after its return. A single one that goes while the store
is up has left.
"""

from __future__ import annotations

# Lapsed registrations are back within about two seconds of the store's return.
RETURN_MS = 2_300.0
# A lapse follows from an outage that ended at most this long ago.
OUTAGE_MEMORY_MS = 5_000.0
# This many registrations, and this part of all, do not leave in the same moment.
MASS_COUNT = 3
MASS_FRACTION = 0.25


def departure_grace_ms(gone: int, known: int, since_outage_ms: float | None) -> float:
    """Return how long to keep the upstreams of registrations that went together.

    `gone` of `known` went; `since_outage_ms` is the time since the store was last
    out of reach, None when it never was.
    """
    if since_outage_ms is not None and since_outage_ms < OUTAGE_MEMORY_MS:
        return RETURN_MS
    is_mass = gone >= MASS_COUNT and gone > MASS_FRACTION * known
    return RETURN_MS if is_mass else 0.0
