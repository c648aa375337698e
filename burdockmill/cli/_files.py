"""Read the files that are passed to commands."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Success

from burdockmill.cli._output import fail
from burdockmill.rules.parser import parse_rules
from burdockmill.settings import parse_settings

if TYPE_CHECKING:
    from pathlib import Path

    from burdockmill.rules.model import RuleSet
    from burdockmill.settings import Settings

UNPUBLISHED_REVISION = 0


def read_bytes(path: Path) -> bytes:
    """Return a file's bytes, or exit with the reason."""
    try:
        return path.read_bytes()
    except OSError as error:
        fail(f"cannot read {path}: {error.strerror}; check the path")


def read_text(path: Path) -> str:
    """Return a file's text, or exit with the reason."""
    try:
        return read_bytes(path).decode()
    except UnicodeDecodeError as error:
        fail(f"{path} is not UTF-8 at byte {error.start}; save it as UTF-8")


def read_rules(path: Path) -> RuleSet:
    """Return a file's rules, or exit with every problem."""
    parsed = parse_rules(read_text(path), UNPUBLISHED_REVISION)
    if isinstance(parsed, Success):
        return parsed.unwrap()
    fail(*(f"{path}: {problem}" for problem in parsed.failure()))


def read_settings(path: Path) -> Settings:
    """Return a file's settings, or exit with every problem."""
    parsed = parse_settings(read_bytes(path))
    if isinstance(parsed, Success):
        return parsed.unwrap()
    fail(*(f"{path}: {problem}" for problem in parsed.failure()))
