"""Compare two rules files."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from burdockmill.cli._files import read_rules
from burdockmill.cli._output import EXIT_FAILURE, write_json, write_line
from burdockmill.rules.differences import differences

EXAMPLE = "Example: burdockmill diff rules-now.txt rules-next.txt"


def diff(
    before: Annotated[Path, typer.Argument(help="The active rules file.")],
    after: Annotated[Path, typer.Argument(help="The rules file to publish.")],
    as_json: Annotated[bool, typer.Option("--json", help="Write JSON.")] = False,
) -> None:
    """List the rules that would change, with their comments; exit 1 if any would."""
    found = differences(read_rules(before), read_rules(after))
    if as_json:
        write_json([one._asdict() for one in found])
    else:
        for one in found:
            write_line(f"{one.change} {one.verb} {one.name}: {one.comment}")
            if one.before is not None:
                write_line(f"  - {one.before}")
            if one.after is not None:
                write_line(f"  + {one.after}")
        if not found:
            write_line("No difference.")
    raise typer.Exit(EXIT_FAILURE if found else 0)
