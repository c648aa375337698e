"""Receive the bytes of exchanges that share a budget."""

from __future__ import annotations

from abc import ABC, abstractmethod

# The event loop reads up to this much of a connection at once.
READ_BYTES = 256 * 1024
# An answer below this size neither waits for larger ones to end nor fails for them.
SMALL_ANSWER_BYTES = 32 * 1024


class Receiver(ABC):
    """Receive the bytes of one exchange after the other; reading can be held.

    `received_bytes` is how many came since the exchange started. `stated_bytes` is how
    many its answer states, 0 if it has not.
    """

    received_bytes: int
    stated_bytes: int

    @property
    def expected_bytes(self) -> int:
        """Return how many bytes the exchange is expected to have received soon."""
        if self.received_bytes <= self.stated_bytes + SMALL_ANSWER_BYTES:
            return max(self.stated_bytes, self.received_bytes)
        # Without a stated size, that much again is expected.
        return self.received_bytes + max(READ_BYTES, self.received_bytes)

    @property
    @abstractmethod
    def pending_bytes(self) -> int:
        """Return how many bytes have come that were not read from the connection."""

    @abstractmethod
    def hold(self) -> None:
        """Stop reading from the connection, if it has not stopped."""

    @abstractmethod
    def resume(self) -> None:
        """Read from the connection again, if reading is held."""

    @abstractmethod
    def cut_off(self) -> None:
        """Fail the exchange, for what all exchanges have received."""
