"""Bound the memory that all connections to this process hold together."""

from __future__ import annotations

from typing import Generic, TypeVar

# Measured with heads of 2,600 short lines: about 390 bytes for each line (its name,
# its value, two tuples and an entry of the mapping), beside the bytes themselves.
LINE_COST_BYTES = 400
# An unread chunk has entries in two lists, a number and an object beside its data.
CHUNK_COST_BYTES = 100
# Of the limit of all connections, for the values of one body while it is decoded.
DECODED_SHARE = 0.5
# The shortest header line, `a:` and its end, has four bytes.
SHORTEST_LINE_BYTES = 4
# A body is held once as received and once joined.
BODY_FACTOR = 2
BYTES_PER_MEGABYTE = 1_000_000
# A few requests of the largest size always have room.
LEAST_REQUESTS = 4

ConnectionT = TypeVar("ConnectionT")


def lines_cost(lines: int, size_bytes: int) -> int:
    """Return what the parsed lines of a head or of trailers hold."""
    return lines * LINE_COST_BYTES + BODY_FACTOR * size_bytes


def memory_limit(
    memory_mb: float,
    share: float,
    default_bytes: int,
    header_bytes: int,
    body_bytes: int,
) -> int:
    """Return how much all connections may hold; `memory_mb` is 0 if unknown."""
    limit = int(memory_mb * BYTES_PER_MEGABYTE * share) or default_bytes
    head = lines_cost(header_bytes // SHORTEST_LINE_BYTES, header_bytes)
    largest = head + BODY_FACTOR * body_bytes
    return max(limit, LEAST_REQUESTS * largest)


class ConnectionMemory(Generic[ConnectionT]):
    """Count what each connection holds, and name those to close above a limit."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self._held: dict[ConnectionT, int] = {}

    def record(self, connection: ConnectionT, held_bytes: int) -> bool:
        """Set what a connection holds; return whether all are within the limit."""
        self.held_bytes += held_bytes - self._held.get(connection, 0)
        self._held[connection] = held_bytes
        return self.held_bytes <= self.limit_bytes

    def release(self, connection: ConnectionT) -> None:
        """Discount a closed connection."""
        self.held_bytes -= self._held.pop(connection, 0)

    def take_excess(self) -> list[ConnectionT]:
        """Discount and return the heaviest connections until the rest is within."""
        excess = []
        while self._held and self.held_bytes > self.limit_bytes:
            heaviest = max(self._held, key=self._held.__getitem__)
            self.release(heaviest)
            excess.append(heaviest)
        return excess
