"""State how the catalog is read from the store that publishes it."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burdockmill.messages.catalog import CatalogDelta
    from burdockmill.names import Revision


class StoreError(Exception):
    """Report that the store did not answer, or refused."""


class HistoryLostError(StoreError):
    """Report that the store no longer knows what followed a revision."""


class CatalogSource(ABC):
    """Read the catalog whole, and watch what changes."""

    counts: Counter[str]

    @abstractmethod
    async def read_all(self, limit_ms: float) -> CatalogDelta:
        """Return the whole catalog, each call within a limit; raise StoreError."""

    @abstractmethod
    async def watch(self, after: Revision, wait_ms: int) -> CatalogDelta:
        """Return what followed a revision, empty after `wait_ms`; raise StoreError."""

    @abstractmethod
    async def close(self) -> None:
        """Close all connections."""
