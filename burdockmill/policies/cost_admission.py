"""Decide whether a request is refused because it cannot be answered in time.

Load pattern: clients ask with little time left for what is known to take longer. Its
work would be lost, and delays other requests at the same upstream.
"""

from __future__ import annotations

# So much of what a request is known to take counts, since the estimate is a median.
CERTAIN_FRACTION = 0.7
# A route's requests are refused by what all but this fraction of them take.
ROUTE_QUANTILE = 0.1
# Answers that a route's quantile needs.
ROUTE_SAMPLES = 50
# A request a route in this time runs all the same, so that estimates follow a change.
TRIAL_INTERVAL_MS = 1_000.0


class CostAdmission:
    """Refuse requests that likely take too long, but for a trial now and then."""

    def __init__(self) -> None:
        self._trial_ms_by_route: dict[str, float] = {}

    def is_refused(
        self, route: str, least_ms: float | None, remaining_ms: float, now_ms: float
    ) -> bool:
        """Return whether a request that takes at least `least_ms` is refused."""
        if least_ms is None or least_ms <= remaining_ms:
            return False
        trial_ms = self._trial_ms_by_route.get(route)
        if trial_ms is not None and now_ms - trial_ms < TRIAL_INTERVAL_MS:
            return True
        self._trial_ms_by_route[route] = now_ms
        return False

    def keep_routes(self, names: set[str]) -> None:
        """Forget the routes that are not among `names`."""
        for route in [one for one in self._trial_ms_by_route if one not in names]:
            del self._trial_ms_by_route[route]
