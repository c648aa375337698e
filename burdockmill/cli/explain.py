"""Explain a request."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated
from urllib.parse import quote

import typer

from burdockmill.cli._http import OK, Request, ask
from burdockmill.cli._log_lines import logged_lines, read_log
from burdockmill.cli._output import EXIT_WRONG, fail, write_json, write_line

if TYPE_CHECKING:
    from collections.abc import Iterable

    from burdockmill.explanation import ExplainedDecision, Explanation

EXAMPLE = "Example: burdockmill explain 3f2a... --host 10.1.0.2:8002"


def explain(
    request_id: Annotated[str, typer.Argument(help="The id that the answer names.")],
    host: Annotated[
        str, typer.Option(help="Operators' address of the host that answered.")
    ] = "",
    log: Annotated[
        str, typer.Option(help="A file of JSON log lines, or - for standard input.")
    ] = "",
    as_json: Annotated[bool, typer.Option("--json", help="Write JSON.")] = False,
) -> None:
    """Show each decision made for a request, asked of a host or read from its log."""
    if bool(host) == bool(log):
        fail("give either --host IP:PORT or --log FILE")
    if log:
        _explain_from_log(request_id, log)
        return
    path = f"/v1/explain/{quote(request_id, safe='')}"
    reply = ask(Request(host, path))
    if reply.status != OK:
        fail(f"{host} answered {reply.status}: {reply.body}", status=EXIT_WRONG)
    explanation: Explanation = reply.body
    if as_json:
        write_json(explanation)
    elif explanation["decisions"]:
        for line in timeline(explanation):
            write_line(line)
    if not explanation["decisions"]:
        fail(
            f"{host} remembers no request {request_id}; "
            "ask the host that answered, soon after",
            status=EXIT_WRONG,
        )


def _explain_from_log(request_id: str, log: str) -> None:
    lines = logged_lines(request_id, read_log(log))
    for line in lines:
        write_line(line)
    if not lines:
        fail(f"{log} holds no decision for {request_id}", status=EXIT_WRONG)


def timeline(explanation: Explanation) -> list[str]:
    """Return a line a decision, with milliseconds since the first."""
    lines = lines_of(explanation["decisions"], first_age_ms(explanation))
    silent = explanation["silent_hosts"]
    if silent:
        lines.append(f"No explanation came from {', '.join(silent)}.")
    return lines


def first_age_ms(explanation: Explanation) -> float:
    """Return the age of the oldest decision in milliseconds."""
    return max((made["age_ms"] for made in explanation["decisions"]), default=0.0)


def lines_of(decisions: Iterable[ExplainedDecision], first_ms: float) -> list[str]:
    """Return a line a decision, with milliseconds since the age `first_ms`."""
    return [_line(made, first_ms) for made in decisions]


def _line(made: ExplainedDecision, first_ms: float) -> str:
    since_ms = first_ms - made["age_ms"]
    line = f"{since_ms:9.1f} ms  {made['host']}  {made['part']}: {made['choice']}"
    line += f" ({made['reason']})" if made["reason"] else ""
    if made["passed_over"]:
        line += f"; passed over {', '.join(made['passed_over'])}"
    return line
