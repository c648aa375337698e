"""Define how the replica of an attempt is chosen."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from burdockmill.names import UpstreamId
    from burdockmill.world import World


class PlacementPolicy(ABC):
    """Choose the replica of an attempt."""

    @abstractmethod
    def choose(
        self, world: World, replicas: Sequence[UpstreamId], now_ms: float
    ) -> tuple[UpstreamId, str]:
        """Return one of `replicas`, which is not empty, and the reason."""
