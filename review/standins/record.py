"""Write down what was sent, answered and run."""

from __future__ import annotations

import time
from pathlib import Path


class Record:
    """Append lines with the time since the start to a file."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_s = time.monotonic()

    def now_s(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started_s

    def add(self, who: str, what: str) -> None:
        """Append one line."""
        self._file.write(f"{self.now_s():8.3f} {who}: {what}\n")
        self._file.flush()

    def say(self, what: str) -> None:
        """Append one line and print it."""
        self.add("script", what)
        print(f"{self.now_s():8.3f} {what}", flush=True)
