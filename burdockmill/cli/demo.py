"""Run a small fleet in one process as a demo."""

from __future__ import annotations

from typing import Annotated

import typer

EXAMPLE = "Example: burdockmill demo --records 5000"


def demo(
    records: Annotated[
        int, typer.Option(help="Number of records to generate.")
    ] = 30_000,
    seed: Annotated[int, typer.Option(help="Seed of the generated records.")] = 1,
) -> None:
    """Run three failure domains in one process and send them requests."""
    from burdockmill.demo.run import run_demo

    raise typer.Exit(run_demo(records, seed))
