"""Run `burdockmill serve` under a profiler that counts processor time."""

from __future__ import annotations

import cProfile
import runpy
import sys
import time


def main() -> None:
    """Profile a host until it stops; the first argument names the output."""
    output, *arguments = sys.argv[1:]
    sys.argv = ["burdockmill", *arguments]
    profile = cProfile.Profile(time.process_time)
    try:
        profile.runcall(runpy.run_module, "burdockmill", run_name="__main__")
    finally:
        profile.dump_stats(output)


if __name__ == "__main__":
    main()
