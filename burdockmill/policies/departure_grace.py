"""Decide how long to keep an upstream after its registration was removed.

Load pattern: while the store is down, registrations expire although their upstreams
are alive; they are renewed soon after the store recovers. A store that restarts from an
older copy lacks the registrations written since, which are renewed as soon. A single
registration that is removed while the store is up means that the upstream has left.
"""

from __future__ import annotations

# Upstreams register again within about two seconds of the store's recovery.
REGISTRATION_RENEWAL_MS = 2_300.0
# A removal is attributed to an outage that ended at most this long ago.
OUTAGE_MEMORY_MS = 5_000.0
# So many registrations, and this fraction of all, do not leave at the same moment.
MASS_COUNT = 3
MASS_FRACTION = 0.25


def departure_grace_ms(
    removed: int,
    registered: int,
    since_outage_ms: float | None,
    is_new_era: bool = False,
) -> float:
    """Return how long to keep the upstreams of registrations removed together.

    `removed` of `registered` were removed; `since_outage_ms` is the time since the
    store was last unreachable, None when it never was. `is_new_era` is whether the
    store restarted without its latest changes.
    """
    if is_new_era:
        return REGISTRATION_RENEWAL_MS
    if since_outage_ms is not None and since_outage_ms < OUTAGE_MEMORY_MS:
        return REGISTRATION_RENEWAL_MS
    is_mass = removed >= MASS_COUNT and removed > MASS_FRACTION * registered
    return REGISTRATION_RENEWAL_MS if is_mass else 0.0
