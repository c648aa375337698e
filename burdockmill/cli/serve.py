"""Run a host's server."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from burdockmill.cli._files import read_settings
from burdockmill.cli._output import EXIT_FAILURE, fail
from burdockmill.logs import set_up_logs

EXAMPLE = "Example: burdockmill serve --settings node.json"


def serve(
    settings: Annotated[Path, typer.Option(help="This host's settings, in JSON.")],
) -> None:
    """Serve callers, peers and operators on this host until SIGTERM."""
    checked = read_settings(settings)
    from burdockmill.service import run_native_node

    set_up_logs(checked.log_format, checked.log_level)
    try:
        run_native_node(checked)
    except OSError as error:
        fail(
            f"cannot listen: {error}; check the addresses in {settings}",
            status=EXIT_FAILURE,
        )
