"""Cut received bytes into pieces for the parser, and count what is no body."""

from __future__ import annotations

from collections import deque
from enum import Enum

# A piece of this size holds at most 1,024 header lines or 680 chunks.
PIECE_BYTES = 4_096
# Heads, trailers and empty chunks end with this.
BLANK_LINE = b"\r\n\r\n"
OVERLAP = len(BLANK_LINE) - 1
LINE_END = b"\n"
# The least that a chunk adds to its data: a digit and two ends of lines.
CHUNK_OVERHEAD_BYTES = 5


class Phase(Enum):
    """Say what the next bytes of a connection belong to."""

    HEAD = "head"
    SIZED_BODY = "body of a stated size"
    CHUNKED_BODY = "chunked body"


class RequestPieces:
    """Hold the bytes of a connection that the parser has not been given yet.

    No piece has bytes of two requests, so that the parser holds none back.
    `head_bytes` is how much of a head the parser read. `bodiless_bytes` counts the
    bytes since the last piece that had some of a chunked body: they are chunk
    extensions or trailers. `lines` is how many lines either has.
    """

    def __init__(self) -> None:
        self.phase = Phase.HEAD
        self.head_bytes = 0
        self.bodiless_bytes = 0
        self.lines = 0
        self.has_begun = False
        self.body_left = 0
        # As they were received; `_start` is how much of the first one was taken.
        self._unparsed: deque[bytes] = deque()
        self._unparsed_bytes = 0
        self._start = 0
        self._last_bytes = b""

    def __len__(self) -> int:
        return self._unparsed_bytes

    @property
    def held_bytes(self) -> int:
        """Return how much is stored, with what was taken of the first bytes."""
        return self._unparsed_bytes + self._start

    @property
    def has_head(self) -> bool:
        """Return whether another whole head may have been received."""
        if self.phase is not Phase.HEAD or not self._unparsed:
            return False
        return BLANK_LINE in b"".join(self._unparsed)[self._start :]

    def add(self, data: bytes) -> None:
        """Store received bytes."""
        self._unparsed.append(data)
        self._unparsed_bytes += len(data)

    def is_piece(self, data: bytes) -> bool:
        """Return whether received bytes are a piece as they are.

        Most are: a short head without a body, or a part of a body of a stated size.
        """
        if self._unparsed:
            return False
        if self.phase is Phase.SIZED_BODY:
            return len(data) <= self.body_left
        return (
            len(data) <= PIECE_BYTES
            and self.phase is Phase.HEAD
            and not self._last_bytes
            and data.find(BLANK_LINE) == len(data) - len(BLANK_LINE)
        )

    def clear(self) -> None:
        """Drop what was received."""
        self._unparsed.clear()
        self._unparsed_bytes = self._start = 0

    def take(self) -> bytes:
        """Return the next bytes for the parser."""
        first, start = self._unparsed[0], self._start
        if self.phase is Phase.SIZED_BODY:
            end = start + self.body_left
        else:
            end = self._end_of_piece(first, start)
        piece = first[start:end]
        self._unparsed_bytes -= len(piece)
        self._start += len(piece)
        if self._start == len(first):
            self._unparsed.popleft()
            self._start = 0
        return piece

    def start_head(self) -> None:
        """Expect the head of the next request."""
        self.phase = Phase.HEAD
        self.head_bytes = self.bodiless_bytes = self.lines = 0
        self.has_begun = False
        self._last_bytes = b""

    def start_body(self, size_bytes: int | None) -> None:
        """Expect a body; None if it is chunked."""
        is_chunked = size_bytes is None
        self.phase = Phase.CHUNKED_BODY if is_chunked else Phase.SIZED_BODY
        self.body_left = size_bytes or 0
        self.lines = 0
        self._last_bytes = b""

    def count(self, piece: bytes, body_bytes: int) -> int:
        """Count a piece that the parser read; return the cost: its lines and chunks.

        `body_bytes` is how much of it was data of the body.
        """
        size = len(piece)
        if self.phase is Phase.SIZED_BODY:
            self.body_left -= size
            return 1
        self._keep_last(piece)
        if self.phase is Phase.CHUNKED_BODY and body_bytes:
            self.bodiless_bytes = self.lines = 0
            return 1 + max(0, size - body_bytes) // CHUNK_OVERHEAD_BYTES
        lines = piece.count(LINE_END)
        self.lines += lines
        if self.phase is Phase.HEAD:
            self.head_bytes += size
            # Blank lines may precede a request.
            self.has_begun = self.has_begun or bool(piece.strip())
        else:
            self.bodiless_bytes += size
        return 1 + lines

    def _end_of_piece(self, data: bytes, start: int) -> int:
        if self._last_bytes:
            # The blank line may have begun in the last piece.
            before = self._last_bytes
            at = (before + data[start : start + OVERLAP]).find(BLANK_LINE)
            if at >= 0:
                return start + at + len(BLANK_LINE) - len(before)
        most = start + PIECE_BYTES
        at = data.find(BLANK_LINE, start, most)
        return most if at < 0 else at + len(BLANK_LINE)

    def _keep_last(self, piece: bytes) -> None:
        if len(piece) < OVERLAP:
            piece = self._last_bytes + piece
        self._last_bytes = piece[-OVERLAP:]
