"""Bound the bytes of all answers that one process is receiving."""

from __future__ import annotations

# Without a stated memory, answers that are being received take this much at most.
RECEIVING_LIMIT_BYTES = 64 * 1024 * 1024
# Received bytes are copied when they are parsed and joined, and leave gaps when freed.
MEMORY_SHARE = 1.0 / 16.0
LEAST_LIMIT_BYTES = 3 * 1024 * 1024
# While all others take less than this share of the limit, one answer may exceed it.
OTHERS_SHARE = 0.5
BYTES_PER_MEGABYTE = 1024 * 1024
# An answer below this size never fails for what others take.
SMALL_ANSWER_BYTES = 32 * 1024


class ReceiveBudget:
    """Count the bytes that upstreams have sent in exchanges that are not over.

    `received_bytes` is how many these are.
    """

    def __init__(self, limit_bytes: int = RECEIVING_LIMIT_BYTES) -> None:
        self._limit_bytes = limit_bytes
        self.received_bytes = 0

    @classmethod
    def of_memory(cls, memory_mb: float) -> ReceiveBudget:
        """Return the budget of a process with a stated memory, 0 if it is unknown."""
        if not memory_mb:
            return cls()
        limit_bytes = int(memory_mb * BYTES_PER_MEGABYTE * MEMORY_SHARE)
        return cls(max(LEAST_LIMIT_BYTES, limit_bytes))

    def add(self, size_bytes: int, exchange_bytes: int) -> bool:
        """Count received bytes of an exchange; return whether it may go on.

        `exchange_bytes` is what it has received with them.
        """
        self.received_bytes += size_bytes
        if self.received_bytes <= self._limit_bytes:
            return True
        others_bytes = self.received_bytes - exchange_bytes
        is_alone = others_bytes <= self._limit_bytes * OTHERS_SHARE
        return is_alone or exchange_bytes <= SMALL_ANSWER_BYTES

    def release(self, exchange_bytes: int) -> None:
        """Discount an exchange that is over."""
        self.received_bytes -= exchange_bytes
