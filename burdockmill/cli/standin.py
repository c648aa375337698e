"""Run stand-ins of an upstream and of the platform."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from burdockmill.cli._files import read_rules, read_text
from burdockmill.cli._output import fail

app = typer.Typer(
    help="Run stand-ins of an upstream or of the platform, for testing.",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)
UPSTREAM_EXAMPLE = "Example: burdockmill standin upstream planner-1 --slots-held 0-8191"
PLATFORM_EXAMPLE = "Example: burdockmill standin platform --rules rules.txt"
Port = Annotated[int, typer.Option(help="Port on loopback; 0 selects a free port.")]
ControlPort = Annotated[
    int,
    typer.Option(help="Port on loopback that accepts faults; 0 selects a free port."),
]


@app.command(epilog=UPSTREAM_EXAMPLE)
def upstream(
    name: Annotated[str, typer.Argument(help="The upstream's name.")],
    port: Port = 0,
    control_port: ControlPort = 0,
    slots_held: Annotated[
        str, typer.Option(help="FIRST-LAST, the slots that the upstream holds.")
    ] = "0-16383",
    records: Annotated[
        int, typer.Option(help="Number of records to generate.")
    ] = 30_000,
    seed: Annotated[int, typer.Option(help="Seed of the generated records.")] = 1,
    service_ms: Annotated[
        float, typer.Option(help="Service time of each request in milliseconds.")
    ] = 0.0,
) -> None:
    """Stand in for an upstream until SIGTERM; print its addresses in JSON."""
    from burdockmill.slots import SLOT_COUNT, SlotRange
    from burdockmill.standins.process import run_standin
    from burdockmill.standins.record_set import RecordSet
    from burdockmill.standins.upstream import StandinUpstream

    first, _, last = slots_held.partition("-")
    if not (first.isdecimal() and last.isdecimal()):
        fail("--slots-held is not FIRST-LAST; write for example 0-8191")
    slots = SlotRange(int(first), int(last))
    if not slots.first <= slots.last < SLOT_COUNT:
        fail(f"--slots-held is not within 0-{SLOT_COUNT - 1}")
    server = StandinUpstream(
        name,
        RecordSet.of_leave_requests(records, seed=seed),
        port=port,
        holdings=(slots,),
        service_ms=lambda _: service_ms,
    )
    run_standin(server, control_port)


@app.command(epilog=PLATFORM_EXAMPLE)
def platform(
    rules: Annotated[Path, typer.Option(help="A rules file to publish.")],
    port: Port = 0,
    control_port: ControlPort = 0,
    revision: Annotated[int, typer.Option(help="Revision of the published rules.")] = 1,
) -> None:
    """Stand in for the platform until SIGTERM; print its addresses in JSON."""
    from burdockmill.standins.platform import StandinPlatform
    from burdockmill.standins.process import run_standin

    read_rules(rules)
    server = StandinPlatform(port)
    server.publish(read_text(rules), revision)
    server.set_hosts([])
    run_standin(server, control_port)
