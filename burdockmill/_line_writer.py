"""Write lines to a stream from a thread, so that a slow reader blocks no caller."""

from __future__ import annotations

import threading
from collections import deque
from typing import TextIO

# Holds several seconds of log lines at the default `lines_per_second`; lines that do
# not fit are left out and counted.
QUEUE_CHARS = 1_000_000
CLOSE_LIMIT_SECONDS = 0.5


class LineWriter:
    """Write lines in a thread; count those that do not fit or cannot be written."""

    def __init__(self, stream: TextIO, queue_chars: int = QUEUE_CHARS) -> None:
        self.left_out = 0
        self._stream = stream
        self._queue_limit = queue_chars
        self._queue: deque[str] = deque()
        self._queued_chars = 0
        self._changed = threading.Condition()
        self._closed = False
        self._thread = threading.Thread(target=self._run, name="log", daemon=True)
        self._thread.start()

    def write(self, text: str) -> int:
        """Queue whole lines; count them as left out and return 0 if they do not fit."""
        with self._changed:
            if self._queued_chars + len(text) > self._queue_limit:
                self.left_out += text.count("\n")
                return 0
            self._queue.append(text)
            self._queued_chars += len(text)
            self._changed.notify()
        return len(text)

    def flush(self) -> None:
        """Do nothing; the thread writes queued text without delay."""

    def close(self) -> None:
        """Write the queued text, within a time limit."""
        with self._changed:
            self._closed = True
            self._changed.notify()
        self._thread.join(CLOSE_LIMIT_SECONDS)

    def _run(self) -> None:
        while True:
            with self._changed:
                while not self._queue and not self._closed:
                    self._changed.wait()
                if not self._queue:
                    return
                text = "".join(self._queue)
                self._queue.clear()
            try:
                self._stream.write(text)
                self._stream.flush()
            except (OSError, ValueError):
                # The reader of the log is gone, so this cannot be logged, only counted.
                self.left_out += text.count("\n")
            with self._changed:
                self._queued_chars -= len(text)
