"""Write lines to a stream from a thread, so that a slow reader blocks nobody."""

from __future__ import annotations

import threading
from collections import deque
from typing import TextIO

# Some seconds of lines at full rate; what does not fit is left out and counted.
QUEUE_BYTES = 1_000_000
CLOSE_LIMIT_S = 0.5


class LineWriter:
    """Queue text for a stream; when the queue is full, leave text out and count it."""

    def __init__(self, stream: TextIO, queue_bytes: int = QUEUE_BYTES) -> None:
        self.left_out = 0
        self._stream = stream
        self._limit = queue_bytes
        self._waiting: deque[str] = deque()
        self._size = 0
        self._changed = threading.Condition()
        self._closed = False
        self._thread = threading.Thread(target=self._run, name="log", daemon=True)
        self._thread.start()

    def write(self, text: str) -> int:
        """Queue text, whole lines only."""
        with self._changed:
            if self._size + len(text) > self._limit:
                self.left_out += text.count("\n")
                return 0
            self._waiting.append(text)
            self._size += len(text)
            self._changed.notify()
        return len(text)

    def flush(self) -> None:
        """Do nothing; the thread writes what waits at once."""

    def close(self) -> None:
        """Write what waits, for a limited time."""
        with self._changed:
            self._closed = True
            self._changed.notify()
        self._thread.join(CLOSE_LIMIT_S)

    def _run(self) -> None:
        while True:
            with self._changed:
                while not self._waiting and not self._closed:
                    self._changed.wait()
                if not self._waiting:
                    return
                text = "".join(self._waiting)
                self._waiting.clear()
            try:
                self._stream.write(text)
                self._stream.flush()
            except (OSError, ValueError):
                # Nobody reads the log any more; there is nowhere to say so.
                self.left_out += text.count("\n")
            with self._changed:
                self._size -= len(text)
