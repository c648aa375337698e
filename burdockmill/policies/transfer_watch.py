"""Decide when a peer sends its body or reads its answer too slowly."""

from __future__ import annotations

from typing import NamedTuple


class TransferLimit(NamedTuple):
    """Allow `grace_s` for a transfer, and a second more for each `least_per_s` bytes.

    A connection's answers, or its body, are one transfer until nothing is left.
    """

    grace_s: float = 10.0
    least_per_s: float = 1_000.0


class TransferWatch:
    """Watch one direction of a connection.

    `since_s` is when the transfer in progress was first seen, None if there is none.
    """

    def __init__(self, limit: TransferLimit) -> None:
        self.since_s: float | None = None
        self._limit = limit
        self._moved_before = 0

    def is_stalled(self, now_s: float, is_waiting: bool, moved_bytes: int) -> bool:
        """Return whether a transfer took too long; `moved_bytes` counts from the start.

        `is_waiting` is whether the peer has still to send or to read.
        """
        if not is_waiting:
            self.since_s = None
            return False
        if self.since_s is None:
            self.since_s, self._moved_before = now_s, moved_bytes
        moved = moved_bytes - self._moved_before
        allowed_s = self._limit.grace_s + moved / self._limit.least_per_s
        return now_s - self.since_s > allowed_s
