"""Decide when a host has enough data to accept requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burdockmill.world import World

HOLDINGS_WAIT_MS = 3_000.0


class Readiness:
    """Wait for the rules and the upstreams' snapshots; once ready, stay ready."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._rules_since_ms: float | None = None
        self._is_ready = False

    def is_ready(self, now_ms: float) -> bool:
        """Return whether rules are active and all reachable upstreams' snapshots known.

        Snapshots are waited for until HOLDINGS_WAIT_MS after the rules became active.
        """
        if not self._is_ready and self._world.rules is not None:
            if self._rules_since_ms is None:
                self._rules_since_ms = self._world.fleet.active_since_ms
            waited_ms = now_ms - self._rules_since_ms
            self._is_ready = waited_ms >= HOLDINGS_WAIT_MS or self._has_snapshots()
        return self._is_ready

    def _has_snapshots(self) -> bool:
        rows = self._world.upstream_by_id.values()
        return all(row.snapshots or not row.reachable for row in rows)
