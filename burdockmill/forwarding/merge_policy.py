"""Merge the parts of a search into one answer."""

from __future__ import annotations

from abc import ABC, abstractmethod
from heapq import nlargest
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

RECORD_BYTES = 16


class MergePolicy(ABC):
    """Merge the bodies of a search's parts."""

    @abstractmethod
    def merge(self, bodies: Iterable[bytes], top_count: int) -> bytes:
        """Return the body of the merged answer."""


class GreatestRecords(MergePolicy):
    """Keep the greatest of all records of fixed size, duplicates included."""

    def merge(self, bodies: Iterable[bytes], top_count: int) -> bytes:
        """Return the `top_count` greatest records in descending order."""
        records = [
            body[start : start + RECORD_BYTES]
            for body in bodies
            for start in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES)
        ]
        return b"".join(nlargest(top_count, records))
