"""Define the interface of the systems of the core."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, ClassVar

if TYPE_CHECKING:
    from burdockmill.messages.actions import Action
    from burdockmill.world import World


class System(ABC):
    """Decide which actions follow from events and due times, without doing I/O."""

    name: ClassVar[str]
    handles: ClassVar[tuple[type, ...]]

    def open_work(self) -> int:
        """Return how many attempts of owned upstreams are not completed."""
        return 0

    @abstractmethod
    def run(self, world: World, now_ms: float) -> list[Action]:
        """Handle this system's events and due keys; return the resulting actions."""
