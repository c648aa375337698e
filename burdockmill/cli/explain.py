"""Show the decisions made for a request."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated
from urllib.parse import quote

import typer

from burdockmill.cli._http import OK, Request, send
from burdockmill.cli._log_lines import find_decisions, read_log
from burdockmill.cli._output import EXIT_FAILURE, fail, write_json, write_line

if TYPE_CHECKING:
    from collections.abc import Iterable

    from burdockmill.explanation import ExplainedDecision, Explanation

EXAMPLE = "Example: burdockmill explain 3f2a... --host 10.1.0.2:8002"


def explain(
    request_id: Annotated[
        str, typer.Argument(help="The request id that the answer contains.")
    ],
    host: Annotated[
        str, typer.Option(help="Operator address of the host that answered.")
    ] = "",
    log: Annotated[
        str, typer.Option(help="A file of JSON log lines, or - for standard input.")
    ] = "",
    as_json: Annotated[bool, typer.Option("--json", help="Write JSON.")] = False,
) -> None:
    """Show each decision made for a request, queried from a host or read from a log."""
    if bool(host) == bool(log):
        fail("give either --host IP:PORT or --log FILE")
    if log:
        _explain_from_log(request_id, log)
        return
    path = f"/v1/explain/{quote(request_id, safe='')}"
    reply = send(Request(host, path))
    if reply.status != OK:
        fail(f"{host} answered {reply.status}: {reply.body}", status=EXIT_FAILURE)
    explanation: Explanation = reply.body
    if as_json:
        write_json(explanation)
    elif explanation["decisions"]:
        for line in timeline(explanation):
            write_line(line)
    if not explanation["decisions"]:
        fail(
            f"{host} has no decisions recorded for request {request_id}; "
            "ask the host that answered the request, soon after it: "
            "hosts keep only recent decisions",
            status=EXIT_FAILURE,
        )


def _explain_from_log(request_id: str, log: str) -> None:
    lines = find_decisions(request_id, read_log(log))
    for line in lines:
        write_line(line)
    if not lines:
        fail(
            f"{log} contains no decision for request {request_id}", status=EXIT_FAILURE
        )


def timeline(explanation: Explanation) -> list[str]:
    """Return one line per decision, with milliseconds since the first."""
    lines = format_decisions(explanation["decisions"], oldest_age_ms(explanation))
    unresponsive = explanation["silent_hosts"]
    if unresponsive:
        lines.append(f"No explanation received from {', '.join(unresponsive)}.")
    return lines


def oldest_age_ms(explanation: Explanation) -> float:
    """Return the age of the oldest decision in milliseconds."""
    return max(
        (decision["age_ms"] for decision in explanation["decisions"]), default=0.0
    )


def format_decisions(
    decisions: Iterable[ExplainedDecision], oldest_ms: float
) -> list[str]:
    """Return one line per decision, with milliseconds since the age `oldest_ms`."""
    return [_line(decision, oldest_ms) for decision in decisions]


def _line(decision: ExplainedDecision, oldest_ms: float) -> str:
    since_ms = oldest_ms - decision["age_ms"]
    line = (
        f"{since_ms:9.1f} ms  {decision['host']}  "
        f"{decision['part']}: {decision['choice']}"
    )
    line += f" ({decision['reason']})" if decision["reason"] else ""
    if decision["passed_over"]:
        line += f"; passed over {', '.join(decision['passed_over'])}"
    return line
