"""Measure what a host on the users' platform loads before it can serve."""

from __future__ import annotations

import os
import subprocess
import sys
from typing import NamedTuple

from measure.records import Figure, write_records

ROUNDS = 9
KIB_PER_MB = 1_024
MILLISECONDS_PER_SECOND = 1_000
HOST = "import burdockmill.platform.daemon"
# A process that only answers and sends HTTP requests has to load these.
BARE = "import uvloop, aiohttp.web, aiohttp"


class Load(NamedTuple):
    """Hold what loading took: processor time in milliseconds, peak memory in MB."""

    processor_ms: float
    memory_mb: float


def main() -> None:
    """Write the least of some rounds, each beside one of a bare process."""
    rounds = [(_load(HOST), _load(BARE)) for _ in range(ROUNDS)]
    host = _least([one for one, _ in rounds])
    bare = _least([one for _, one in rounds])
    write_records(
        "start",
        [
            Figure(
                "start.load_ms", host.processor_ms, "ms", baseline=bare.processor_ms
            ),
            Figure("start.memory_mb", host.memory_mb, "MB", baseline=bare.memory_mb),
        ],
    )


def _load(code: str) -> Load:
    process = subprocess.Popen([sys.executable, "-c", code])
    _, status, usage = os.wait4(process.pid, 0)
    process.returncode = os.waitstatus_to_exitcode(status)
    if process.returncode:
        raise RuntimeError(f"{code!r} ended with {process.returncode}.")
    spent_s = usage.ru_utime + usage.ru_stime
    return Load(spent_s * MILLISECONDS_PER_SECOND, usage.ru_maxrss / KIB_PER_MB)


def _least(loads: list[Load]) -> Load:
    return Load(
        min(one.processor_ms for one in loads), min(one.memory_mb for one in loads)
    )


if __name__ == "__main__":
    main()
