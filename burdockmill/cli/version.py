"""Print the version and the digest of the code."""

from __future__ import annotations

from importlib.metadata import version as package_version

import typer

from burdockmill.code_digest import code_digest


def version() -> None:
    """Print the version, and the digest of the code as hosts log it."""
    typer.echo(f"{package_version('burdockmill')} (code {code_digest()})")
