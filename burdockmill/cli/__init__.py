"""Define burdockmill's commands, one module per command."""

from __future__ import annotations

from burdockmill.cli.main import app, main

__all__ = ["app", "main"]
