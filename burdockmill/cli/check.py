"""Check rules and settings."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, TypedDict

import typer
from returns.result import Success

from burdockmill.cli._files import UNPUBLISHED_REVISION, read_bytes, read_text
from burdockmill.cli._output import (
    EXIT_FAILURE,
    fail,
    write_json,
    write_line,
)
from burdockmill.rules.parser import parse_rules
from burdockmill.settings import parse_settings

EXAMPLE = "Example: burdockmill check --rules rules.txt --settings node.json"


class Problem(TypedDict):
    """Describe a problem of a file; `place` is a line and column, or a key."""

    file: str
    place: str
    message: str
    remedy: str


def check(
    rules: Annotated[Path | None, typer.Option(help="A rules file.")] = None,
    settings: Annotated[Path | None, typer.Option(help="A settings file.")] = None,
    as_json: Annotated[bool, typer.Option("--json", help="Write JSON.")] = False,
) -> None:
    """Check a rules file or settings; list every problem; exit 1 if there is one."""
    if rules is None and settings is None:
        fail("nothing to check; give --rules or --settings")
    problems: list[Problem] = []
    if rules is not None:
        problems.extend(_check_rules(rules))
    if settings is not None:
        problems.extend(_check_settings(settings))
    if as_json:
        write_json({"ok": not problems, "problems": problems})
    else:
        _write(problems)
    raise typer.Exit(EXIT_FAILURE if problems else 0)


def _check_rules(path: Path) -> list[Problem]:
    parsed = parse_rules(read_text(path), UNPUBLISHED_REVISION)
    if isinstance(parsed, Success):
        return []
    return [
        Problem(
            file=str(path),
            place=f"line {one.line}, column {one.column}",
            message=one.message,
            remedy=one.remedy,
        )
        for one in parsed.failure()
    ]


def _check_settings(path: Path) -> list[Problem]:
    parsed = parse_settings(read_bytes(path))
    if isinstance(parsed, Success):
        return []
    return [
        Problem(
            file=str(path),
            place=f"setting {one.key}",
            message=one.message,
            remedy=one.remedy,
        )
        for one in parsed.failure()
    ]


def _write(problems: list[Problem]) -> None:
    for one in problems:
        write_line(f"{one['file']}: {one['place']}: {one['message']}; {one['remedy']}")
    if not problems:
        write_line("No problem found.")
