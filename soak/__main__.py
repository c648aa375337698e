"""Run a soak: `python -m soak --seed 1 --minutes 2 --hosts 3`."""

from __future__ import annotations

import asyncio
import tempfile
from collections import Counter
from contextlib import nullcontext
from pathlib import Path
from typing import Annotated

import typer

from soak.checks import find_violations
from soak.plan import RunOptions
from soak.previous_build import PreviousBuild
from soak.records import Route
from soak.run import SoakRun

MILLISECONDS_PER_MINUTE = 60_000.0
# Less leaves no time for faults between the quiet start and end.
LEAST_MINUTES = 0.5


def main(
    seed: Annotated[int, typer.Option(help="Draws the faults and the traffic.")] = 1,
    minutes: Annotated[float, typer.Option(min=LEAST_MINUTES)] = 2.0,
    hosts: Annotated[int, typer.Option(min=2, max=100)] = 3,
    folder: Annotated[Path | None, typer.Option(help="Where logs go.")] = None,
    previous: Annotated[
        str, typer.Option(help="A commit: replace its hosts by this build, and back.")
    ] = "",
    hostile: Annotated[
        bool, typer.Option(help="Write odd entries, and spoil bytes between hosts.")
    ] = False,
    promises: Annotated[
        bool, typer.Option(help="Lose hosts that took over requests that may run once.")
    ] = False,
    calm: Annotated[bool, typer.Option(help="Leave the seed's faults out.")] = False,
) -> None:
    """Run hosts as processes, put faults in, and list the rules that were broken."""
    folder = folder or Path(tempfile.mkdtemp(prefix="soak-"))
    folder.mkdir(parents=True, exist_ok=True)
    duration_ms = minutes * MILLISECONDS_PER_MINUTE
    with PreviousBuild(previous) if previous else nullcontext() as code:
        options = RunOptions(code, calm, hostile, promises)
        run = SoakRun(seed, duration_ms, hosts, folder, options)
        print(run.site)
        for step in run.plan:
            print(step)
        record = asyncio.run(run.run())
    statuses = Counter(one.status for one in record.attempts)
    print(
        f"{len(record.attempts)} attempts by status: {dict(statuses)}; logs: {folder}"
    )
    refused = Counter(one.ran for one in record.attempts if one.route is Route.ONCE)
    print(f"requests that may run once, by what their errors say: {dict(refused)}")
    violations = find_violations(record)
    for one in violations:
        print(one._replace(at_ms=one.at_ms - record.from_ms))
    print(f"seed {seed}: {len(violations)} violations")
    raise typer.Exit(bool(violations))


if __name__ == "__main__":
    typer.run(main)
