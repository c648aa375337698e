"""Choose a replica uniformly at random."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.policies.placement_policy import PlacementPolicy

if TYPE_CHECKING:
    from collections.abc import Sequence

    from burdockmill.names import UpstreamId
    from burdockmill.world import World


class RandomPlacement(PlacementPolicy):
    """Choose a replica uniformly at random."""

    def choose(
        self, world: World, replicas: Sequence[UpstreamId], now_ms: float
    ) -> tuple[UpstreamId, str]:
        """Return a random replica, and the reason."""
        return world.rng.choice(list(replicas)), "any"
