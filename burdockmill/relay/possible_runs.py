"""Count what may have run of a request, here and at the hosts that took it over."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burdockmill.forwarding.request_run import RequestRun
    from burdockmill.relay.relay_planner import RelayPlanner
    from burdockmill.relay.relay_rows import RelayRows


class PossibleRuns:
    """Decide what an entry may promise of a request, and if it may be sent again."""

    def __init__(
        self, direct: RequestRun, relays: RelayRows, planner: RelayPlanner
    ) -> None:
        self._direct = direct
        self._relays = relays
        self._planner = planner

    @property
    def may_have_run(self) -> bool:
        """Return whether any upstream may have run the request, or may still run it."""
        return not self._relays.certainly_not_run or self.from_here() > 0

    @property
    def may_go_out(self) -> bool:
        """Return whether the request may be sent to upstreams or hosts at all."""
        if not self.may_have_run:
            return True
        route = self._direct.route
        return route.is_idempotent and self.so_far() < route.attempts_limit

    def so_far(self) -> int:
        """Return how many upstreams count for the limit of attempts at each part."""
        direct = self.from_here()
        if self._planner.is_isolated:
            # Upstreams that this host does not reach have most likely not run anything.
            direct = min(direct, self._direct.route.attempts_limit - 1)
        return self._relays.possible_runs + direct

    def from_here(self, but: int | None = None) -> int:
        """Return how many upstreams may run any part, not counting one attempt."""
        return max(part.possible_runs_but(but) for part in self._direct.parts)
