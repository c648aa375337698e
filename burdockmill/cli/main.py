"""Assemble the command line from its commands."""

from __future__ import annotations

import typer

from burdockmill.cli import (
    check,
    demo,
    diff,
    explain,
    query,
    serve,
    standin,
    status,
    version,
)

app = typer.Typer(
    help="A query tier over many shards: fast answers that state their coverage.",
    epilog="Exit status: 0 success, 1 a problem or difference, 2 invalid input.",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    rich_markup_mode="rich",
)
app.command(epilog=serve.EXAMPLE)(serve.serve)
app.command(epilog=check.EXAMPLE)(check.check)
app.command(epilog=diff.EXAMPLE)(diff.diff)
app.command(epilog=status.EXAMPLE)(status.status)
app.command(epilog=explain.EXAMPLE)(explain.explain)
app.command(epilog=query.EXAMPLE)(query.query)
app.command(epilog=demo.EXAMPLE)(demo.demo)
app.command()(version.version)
app.add_typer(standin.app, name="standin")


def main() -> None:
    """Run the command line."""
    app()
