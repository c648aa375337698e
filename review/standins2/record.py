"""Write what was sent, answered and run to `record.txt` of a case."""

from __future__ import annotations

import time
from pathlib import Path


class Record:
    """Collect lines with their time since the start of the case."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started_s = time.monotonic()

    @property
    def now_ms(self) -> float:
        """Return the milliseconds since the start of the case."""
        return (time.monotonic() - self._started_s) * 1_000.0

    def add(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now_ms:10.1f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()
