"""Set up the log as text or as JSON; no message can forge a line."""

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
    """Take whole lines of text."""

    def write(self, text: str, /) -> int:
        """Take lines."""

    def flush(self) -> None:
        """Hand on what was taken."""


def set_up_logs(log_format: str, level: str, stream: LineStream | None = None) -> None:
    """Send log lines to a stream, standard error by default, as text or JSON."""
    target: LineStream = stream or sys.stderr
    make_lines = _json_lines if log_format == "json" else _text_lines

    def write(message: Message) -> None:
        target.write("".join(f"{line}\n" for line in make_lines(message.record)))
        target.flush()

    logger.remove()
    logger.add(write, level=level, format="{message}", backtrace=False, diagnose=False)
    logging.basicConfig(handlers=[_ToLoguru()], level=logging.WARNING, force=True)


def write_decisions(decisions: Sequence[Decision]) -> None:
    """Write a line a decision, all of them in one call."""
    bound = logger.bind(**{DECISIONS_KEY: decisions})
    bound.info("decisions")


def render(decision: Decision) -> str:
    """Return a decision as one short sentence behind its part's prefix."""
    request = f" [{decision.request_id}]" if decision.request_id else ""
    text = f"{decision.part}:{request} {decision.choice} ({decision.reason})"
    if decision.passed_over:
        text += f"; passed over {', '.join(decision.passed_over)}"
    return escape(text)


def escape(text: str) -> str:
    """Return the text with all that is not printable written as escapes."""
    if text.isprintable():
        return text
    return "".join(
        one if one.isprintable() else one.encode("unicode_escape").decode()
        for one in text
    )


def _text_lines(record: Record) -> list[str]:
    head = f"{_stamp(record['time'])} {record['level'].name: <7}"
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
        return [_encode(head | _fields_of(decision)) for decision in decisions]
    line = head | {"message": record["message"], **record["extra"]}
    if trace := _traceback(record):
        line["traceback"] = trace
    return [_encode(line)]


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


def _encode(line: dict[str, object]) -> str:
    clean = {escape(key): _clean(value) for key, value in line.items()}
    return msgspec.json.encode(clean).decode()


def _clean(value: object) -> object:
    if isinstance(value, list | tuple):
        return [_clean(item) for item in value]
    if value is None or isinstance(value, int | float):
        return value
    return escape(str(value))


def _traceback(record: Record) -> list[str]:
    raised = record["exception"]
    if raised is None or raised.value is None:
        return []
    text = "".join(traceback.format_exception(raised.value))
    return [escape(line) for line in text.split("\n") if line]


def _stamp(time: datetime) -> str:
    return time.strftime("%Y-%m-%dT%H:%M:%S.") + f"{time.microsecond // 1_000:03}"


class _ToLoguru(logging.Handler):
    """Pass what libraries log on to the same stream."""

    def emit(self, record: logging.LogRecord) -> None:
        logger.opt(exception=record.exc_info).log(
            record.levelname, "{}: {}", record.name, record.getMessage()
        )
