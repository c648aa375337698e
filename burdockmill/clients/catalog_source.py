"""Define the interface for reading the catalog from the store."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from burdockmill.messages.catalog import CatalogDelta
    from burdockmill.messages.store_position import StorePosition


class StoreError(Exception):
    """Signal that the store sent no valid answer or refused the call."""


class UnreadableAnswerError(StoreError):
    """Signal that the store answered what this host cannot read."""


class HistoryLostError(StoreError):
    """Signal that the store cannot tell the changes after a position.

    It no longer keeps them, or it restarted without its latest changes.
    """


class CatalogSource(ABC):
    """Read the whole catalog and watch its changes."""

    counts: Counter[str]
    # When the last piece of an answer arrived, in the event loop's time.
    received_s = 0.0

    @abstractmethod
    async def read_all(self, timeout_ms: float) -> CatalogDelta:
        """Return the whole catalog; `timeout_ms` bounds each call; raise StoreError."""

    @abstractmethod
    async def watch(self, after: StorePosition, wait_ms: int) -> CatalogDelta:
        """Return the changes after a position, or none after `wait_ms`.

        Raise StoreError; HistoryLostError if the store cannot tell these changes.
        """

    def set_aside(self) -> Mapping[str, str]:
        """Return why each item that cannot be read is set aside, by its key."""
        return {}

    @abstractmethod
    async def close(self) -> None:
        """Close all connections."""
