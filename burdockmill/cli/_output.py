"""Write results as tables on a terminal, as plain text in a pipe, or as JSON."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, NoReturn

import msgspec
import typer
from rich.console import Console
from rich.markup import escape as escape_markup
from rich.table import Table

from burdockmill.logs import escape

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

EXIT_FAILURE = 1
EXIT_BAD_INPUT = 2


def write_json(value: object) -> None:
    """Write a value as one JSON document."""
    encoded = msgspec.json.format(msgspec.json.encode(value), indent=2)
    typer.echo(encoded.decode())


def write_line(text: str) -> None:
    """Write one line; control characters are escaped."""
    typer.echo(escape(text))


def write_table(
    title: str, headings: Sequence[str], rows: Iterable[Sequence[object]]
) -> None:
    """Write a table to a terminal, or tab-separated lines to a pipe."""
    texts = [[escape(str(cell)) for cell in row] for row in rows]
    if not sys.stdout.isatty():
        typer.echo(f"# {title}")
        for cells in [list(headings), *texts]:
            typer.echo("\t".join(cells))
        return
    table = Table(*headings, title=title, title_justify="left")
    for cells in texts:
        table.add_row(*map(escape_markup, cells))
    Console().print(table)


def fail(*messages: str, status: int = EXIT_BAD_INPUT) -> NoReturn:
    """Write errors to standard error, one per line, and exit with a status."""
    for message in messages:
        typer.echo(f"burdockmill: {escape(message)}", err=True)
    raise typer.Exit(status)
