"""Measure the import time and memory of a host on the users' platform."""

from __future__ import annotations

import os
import subprocess
import sys
from typing import NamedTuple

from measure.records import Figure, write_records

ROUNDS = 9
KIB_PER_MB = 1_024
MILLISECONDS_PER_SECOND = 1_000
HOST_IMPORTS = "import burdockmill.platform.daemon"
# The least that a process must import to serve and send HTTP requests.
BARE_IMPORTS = "import uvloop, aiohttp.web, aiohttp"


class ImportCost(NamedTuple):
    """Store the processor time and the peak memory of a process that imports code."""

    processor_ms: float
    memory_mb: float


def main() -> None:
    """Record the least time and memory of several rounds, beside bare imports."""
    rounds = [
        (_measure_imports(HOST_IMPORTS), _measure_imports(BARE_IMPORTS))
        for _ in range(ROUNDS)
    ]
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


def _measure_imports(code: str) -> ImportCost:
    process = subprocess.Popen([sys.executable, "-c", code])
    _, status, usage = os.wait4(process.pid, 0)
    process.returncode = os.waitstatus_to_exitcode(status)
    if process.returncode:
        raise RuntimeError(f"{code!r} exited with status {process.returncode}.")
    cpu_seconds = usage.ru_utime + usage.ru_stime
    return ImportCost(
        cpu_seconds * MILLISECONDS_PER_SECOND, usage.ru_maxrss / KIB_PER_MB
    )


def _least(loads: list[ImportCost]) -> ImportCost:
    return ImportCost(
        min(one.processor_ms for one in loads), min(one.memory_mb for one in loads)
    )


if __name__ == "__main__":
    main()
