"""Set up logging as text or JSON; escape messages so that none forges a line."""

from __future__ import annotations

import logging
import sys
import traceback
from typing import TYPE_CHECKING, Protocol

import msgspec
from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Sequence
    from datetime import datetime

    from loguru import Message, Record

    from burdockmill.decision import Decision

DECISIONS_KEY = "decisions"


class LineStream(Protocol):
    """Define a stream that accepts whole lines of text."""

    def write(self, text: str, /) -> int:
        """Write or queue lines; return the number of characters accepted."""

    def flush(self) -> None:
        """Write what is queued."""


def set_up_logs(log_format: str, level: str, stream: LineStream | None = None) -> None:
    """Send log lines to a stream, standard error by default, as text or JSON."""
    target: LineStream = stream or sys.stderr
    make_lines = _json_lines if log_format == "json" else _text_lines

    def write(message: Message) -> None:
        target.write("".join(f"{line}\n" for line in make_lines(message.record)))
        target.flush()

    logger.remove()
    logger.add(write, level=level, format="{message}", backtrace=False, diagnose=False)
    logging.basicConfig(handlers=[_LoguruHandler()], level=logging.WARNING, force=True)


def write_decisions(decisions: Sequence[Decision]) -> None:
    """Log a line per decision, all of them with one call of the logger."""
    bound_logger = logger.bind(**{DECISIONS_KEY: decisions})
    bound_logger.info("decisions")


def render(decision: Decision) -> str:
    """Return a decision as one line that starts with its component (`part`)."""
    request = f" [{decision.request_id}]" if decision.request_id else ""
    text = f"{decision.part}:{request} {decision.choice} ({decision.reason})"
    if decision.passed_over:
        text += f"; passed over {', '.join(decision.passed_over)}"
    return escape(text)


def escape(text: str) -> str:
    """Return the text with each non-printable character escaped."""
    if text.isprintable():
        return text
    return "".join(
        char if char.isprintable() else char.encode("unicode_escape").decode()
        for char in text
    )


def _text_lines(record: Record) -> list[str]:
    head = f"{_format_time(record['time'])} {record['level'].name: <7}"
    decisions = record["extra"].get(DECISIONS_KEY)
    if decisions is not None:
        return [f"{head} {render(decision)}" for decision in decisions]
    lines = [f"{head} {escape(record['message'])}"]
    lines.extend(f"{head}   {line}" for line in _traceback(record))
    return lines


def _json_lines(record: Record) -> list[str]:
    head = {"time": record["time"].isoformat(), "level": record["level"].name}
    decisions = record["extra"].get(DECISIONS_KEY)
    if decisions is not None:
        return [_encode_line(head | _fields_of(decision)) for decision in decisions]
    line = head | {"message": record["message"], **record["extra"]}
    if traceback_lines := _traceback(record):
        line["traceback"] = traceback_lines
    return [_encode_line(line)]


def _fields_of(decision: Decision) -> dict[str, object]:
    return {
        "message": render(decision),
        "part": decision.part,
        "request_id": decision.request_id,
        "choice": decision.choice,
        "reason": decision.reason,
        "passed_over": list(decision.passed_over),
        **decision.inputs,
    }


def _encode_line(line: dict[str, object]) -> str:
    escaped = {escape(key): _escape_value(value) for key, value in line.items()}
    return msgspec.json.encode(escaped).decode()


def _escape_value(value: object) -> object:
    if isinstance(value, list | tuple):
        return [_escape_value(item) for item in value]
    if value is None or isinstance(value, int | float):
        return value
    return escape(str(value))


def _traceback(record: Record) -> list[str]:
    exception = record["exception"]
    if exception is None or exception.value is None:
        return []
    text = "".join(traceback.format_exception(exception.value))
    return [escape(line) for line in text.split("\n") if line]


def _format_time(time: datetime) -> str:
    return time.strftime("%Y-%m-%dT%H:%M:%S.") + f"{time.microsecond // 1_000:03}"


class _LoguruHandler(logging.Handler):
    """Forward the log records of libraries to the same stream."""

    def emit(self, record: logging.LogRecord) -> None:
        logger.opt(exception=record.exc_info).log(
            record.levelname, "{}: {}", record.name, record.getMessage()
        )
