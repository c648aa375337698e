"""Store the work of the attempts in flight at an upstream, in usual requests."""

from __future__ import annotations


class OpenWork:
    """Store the factor of each attempt in flight, the oldest first."""

    __slots__ = ("_factor_by_attempt",)

    def __init__(self) -> None:
        self._factor_by_attempt: dict[int, float] = {}

    def add(self, attempt: int, factor: float) -> None:
        """Add an attempt that was sent."""
        self._factor_by_attempt[attempt] = factor

    def remove(self, attempt: int) -> float:
        """Remove an attempt; return its factor, 1 if it is unknown."""
        return self._factor_by_attempt.pop(attempt, 1.0)

    @property
    def total(self) -> float:
        """Return the work of all attempts."""
        return sum(self._factor_by_attempt.values())

    @property
    def oldest(self) -> float:
        """Return the factor of the oldest attempt, 1 if there is none."""
        return next(iter(self._factor_by_attempt.values()), 1.0)

    @property
    def largest(self) -> float:
        """Return the largest factor, at least 1."""
        return max(1.0, *self._factor_by_attempt.values(), 1.0)
