"""Define the base class of the systems, which turn events and timers into actions."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, ClassVar

if TYPE_CHECKING:
    from burdockmill.messages.actions import Action
    from burdockmill.world import World


class System(ABC):
    """Decide which actions follow from events and expired timers, without doing I/O.

    A system receives the event types in `handles`; `name` keys its queue and timers.
    """

    name: ClassVar[str]
    handles: ClassVar[tuple[type, ...]]

    def open_work(self) -> int:
        """Return how many attempts or ticket handovers a stop must wait for."""
        return 0

    @abstractmethod
    def run(self, world: World, now_ms: float) -> list[Action]:
        """Handle the queued events and expired timers; return the resulting actions."""
