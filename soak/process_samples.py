"""Read what a process holds."""

from __future__ import annotations

from pathlib import Path

from soak.records import ProcessSample
from soak.soak_client import now_ms


def sample_of(host: int, pid: int) -> list[ProcessSample]:
    """Return what a process holds, nothing if it has just ended."""
    try:
        status = Path(f"/proc/{pid}/status").read_text()
        descriptors = len(list(Path(f"/proc/{pid}/fd").iterdir()))
    except OSError:
        return []
    for line in status.splitlines():
        if line.startswith("VmRSS:"):
            memory_kb = int(line.split()[1])
            return [ProcessSample(now_ms(), host, pid, memory_kb, descriptors)]
    return []
