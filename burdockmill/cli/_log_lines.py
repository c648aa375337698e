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
# Fields that the first line of a decision shows already, or that do not describe it.
OMITTED_FIELDS = ("time", "level", "message", "part", "request_id", "choice", "reason")


def read_log(path: str) -> Iterator[str]:
    """Yield a file's lines, or exit with the reason."""
    if path == STANDARD_INPUT:
        yield from sys.stdin
        return
    try:
        with Path(path).open(encoding="utf-8", errors="replace") as lines:
            yield from lines
    except OSError as error:
        fail(f"cannot read {path}: {error.strerror}; check the path")


def find_decisions(request_id: str, lines: Iterable[str]) -> list[str]:
    """Return lines for each decision of a request, with milliseconds since the first.

    Text before the JSON, such as a host's name, is kept. Lines without a decision of
    this request are skipped.
    """
    found: list[tuple[datetime, str, dict[str, Any]]] = []
    for line in lines:
        if request_id not in line:
            continue
        prefix, brace, rest = line.partition("{")
        try:
            entry = msgspec.json.decode(brace + rest)
            at = datetime.fromisoformat(entry["time"])
        except (msgspec.DecodeError, KeyError, TypeError, ValueError):
            continue
        if entry.get("request_id") == request_id:
            found.append((at, prefix.strip(), entry))
    found.sort(key=lambda one: one[0])
    return [line for one in found for line in _render(found[0][0], *one)]


def _render(
    first_at: datetime, at: datetime, prefix: str, entry: dict[str, Any]
) -> list[str]:
    since_ms = (at - first_at).total_seconds() * MILLISECONDS_PER_SECOND
    line = f"{since_ms:9.1f} ms  {prefix}  {entry['part']}: {entry['choice']}"
    line += f" ({entry['reason']})" if entry["reason"] else ""
    inputs = {key: value for key, value in entry.items() if key not in OMITTED_FIELDS}
    passed_over = inputs.pop("passed_over", None)
    if passed_over:
        line += f"; passed over {', '.join(passed_over)}"
    return [line, *(f"{'':14}{key}={_format_value(inputs[key])}" for key in inputs)]


def _format_value(value: object) -> str:
    if isinstance(value, list) and value and isinstance(value[0], list):
        return "; ".join(" ".join(str(item) for item in one) for one in value)
    return str(value)
