"""Find a request's decisions in JSON log lines."""

from __future__ import annotations

import sys
from datetime import datetime
from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec

from burdockmill.cli._output import fail

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

STANDARD_INPUT = "-"
MILLISECONDS_PER_SECOND = 1_000
# These stand in the line itself, or tell nothing of the decision.
SHOWN = ("time", "level", "message", "part", "request_id", "choice", "reason")


def read_log(path: str) -> Iterator[str]:
    """Yield a file's lines, or leave with the reason."""
    if path == STANDARD_INPUT:
        yield from sys.stdin
        return
    try:
        with Path(path).open(encoding="utf-8", errors="replace") as lines:
            yield from lines
    except OSError as error:
        fail(f"cannot read {path}: {error.strerror}; check the path")


def logged_lines(request_id: str, lines: Iterable[str]) -> list[str]:
    """Return lines for each decision of a request, with milliseconds since the first.

    What stands before the JSON, such as a host's name, is kept; other lines are
    passed over.
    """
    found: list[tuple[datetime, str, dict[str, Any]]] = []
    for line in lines:
        if request_id not in line:
            continue
        head, brace, rest = line.partition("{")
        try:
            logged = msgspec.json.decode(brace + rest)
            at = datetime.fromisoformat(logged["time"])
        except (msgspec.DecodeError, KeyError, TypeError, ValueError):
            continue
        if logged.get("request_id") == request_id:
            found.append((at, head.strip(), logged))
    found.sort(key=lambda one: one[0])
    return [line for one in found for line in _render(found[0][0], *one)]


def _render(
    first: datetime, at: datetime, head: str, logged: dict[str, Any]
) -> list[str]:
    since_ms = (at - first).total_seconds() * MILLISECONDS_PER_SECOND
    line = f"{since_ms:9.1f} ms  {head}  {logged['part']}: {logged['choice']}"
    line += f" ({logged['reason']})" if logged["reason"] else ""
    inputs = {key: value for key, value in logged.items() if key not in SHOWN}
    passed_over = inputs.pop("passed_over", None)
    if passed_over:
        line += f"; passed over {', '.join(passed_over)}"
    return [line, *(f"{'':14}{key}={_text(inputs[key])}" for key in inputs)]


def _text(value: object) -> str:
    if isinstance(value, list) and value and isinstance(value[0], list):
        return "; ".join(" ".join(str(item) for item in one) for one in value)
    return str(value)
