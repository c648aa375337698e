"""Bound the bytes of all answers that one client is receiving."""

from __future__ import annotations

RECEIVING_LIMIT_BYTES = 64 * 1024 * 1024
# An answer below this size never fails for what others take.
SMALL_ANSWER_BYTES = 1024 * 1024


class ReceiveBudget:
    """Count the bytes of the bodies that are not complete yet."""

    def __init__(self, limit_bytes: int = RECEIVING_LIMIT_BYTES) -> None:
        self._limit_bytes = limit_bytes
        self._received_bytes = 0

    def add(self, size_bytes: int, answer_bytes: int) -> bool:
        """Count received bytes of an answer; return whether it may go on.

        `answer_bytes` is the size of the answer with them.
        """
        self._received_bytes += size_bytes
        is_within = self._received_bytes <= self._limit_bytes
        return is_within or answer_bytes <= SMALL_ANSWER_BYTES

    def release(self, answer_bytes: int) -> None:
        """Discount an answer that is complete or has failed."""
        self._received_bytes -= answer_bytes
