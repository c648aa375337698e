"""Count what the values of a JSON text cost before they are decoded."""

from __future__ import annotations

import re
from collections import deque

# A JSON value costs an object and an entry in the list that it is in; a message that
# cannot be decoded costs an error as well, one at a time.
VALUE_COST_BYTES = 100
ESCAPE_PATTERN = re.compile(rb"\\.", re.DOTALL)
QUOTE = b'"'


class JsonValueCount:
    """Count the values of a text that arrives in parts, up to a limit.

    `limit_bytes` is how much its values may hold once they are decoded.
    """

    def __init__(self, limit_bytes: float) -> None:
        self._limit_bytes = limit_bytes
        self._size_bytes = 0
        self._cost_bytes = 0
        self._uncounted: deque[bytes] = deque()
        self._is_in_string = False
        # A backslash at the end of a part, which belongs to the next one.
        self._escape = b""

    def exceeds_with(self, part: bytes) -> bool:
        """Add the next part; return whether the values exceed the limit."""
        self._uncounted.append(part)
        self._size_bytes += len(part)
        # Most texts are too short to need counting.
        if self._size_bytes * VALUE_COST_BYTES <= self._limit_bytes:
            return False
        while self._uncounted and self._cost_bytes <= self._limit_bytes:
            self._count(self._uncounted.popleft())
        return self._cost_bytes > self._limit_bytes

    def _count(self, part: bytes) -> None:
        part = self._escape + part
        backslashes = len(part) - len(part.rstrip(b"\\"))
        self._escape = b"\\" * (backslashes % 2)
        part = ESCAPE_PATTERN.sub(b"", part.removesuffix(self._escape))
        # Without escapes, every other piece between quotes is a string.
        pieces = part.split(QUOTE)
        outside = b"".join(pieces[self._is_in_string :: 2])
        self._is_in_string ^= len(pieces) % 2 == 0
        values = outside.count(b",") + outside.count(b"[") + outside.count(b"{")
        self._cost_bytes += values * VALUE_COST_BYTES
