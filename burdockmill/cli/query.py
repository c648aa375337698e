"""Search a service, or fetch one of its records."""

from __future__ import annotations

import os
from typing import Annotated, Any
from urllib.parse import quote

import msgspec
import typer

from burdockmill.cli._http import OK, Reply, Request, send
from burdockmill.cli._output import EXIT_FAILURE, fail, write_json, write_line

KEY_VARIABLE = "BURDOCKMILL_KEY"
EXAMPLE = (
    f"Example: {KEY_VARIABLE}=... burdockmill query leave-search "
    '\'{"off_in": "2026-08"}\' --address 127.0.0.1:8080'
)
MILLISECONDS_PER_SECOND = 1_000
NETWORK_MARGIN_SECONDS = 2.0


def query(
    service: Annotated[str, typer.Argument(help="The service to query.")],
    search: Annotated[str, typer.Argument(help="A query in JSON.")] = "",
    address: Annotated[
        str, typer.Option(help="Caller address of a host.")
    ] = "127.0.0.1:8080",
    record: Annotated[
        str, typer.Option(help="Key of a record to fetch instead of a search.")
    ] = "",
    limit: Annotated[int, typer.Option(help="Maximum number of hits.")] = 10,
    deadline_ms: Annotated[
        int, typer.Option(help="Deadline of the request in milliseconds.")
    ] = 2_000,
    as_json: Annotated[bool, typer.Option("--json", help="Write JSON.")] = False,
) -> None:
    """Search a service, or fetch a record; BURDOCKMILL_KEY contains the caller's key.

    Exit 1 when the request is refused or the answer is not complete.
    """
    if bool(search) == bool(record):
        fail("give either a query in JSON or --record KEY")
    request = _request(service, search, record, limit, deadline_ms, address)
    reply = send(request)
    complete = reply.status == OK and _is_complete(reply.body)
    if as_json:
        write_json(reply.body)
    else:
        _write(reply)
    raise typer.Exit(0 if complete else EXIT_FAILURE)


def _request(
    service: str,
    search: str,
    record: str,
    limit: int,
    deadline_ms: int,
    address: str,
) -> Request:
    base = f"/v1/services/{quote(service, safe='')}"
    headers = {
        "Authorization": f"Bearer {os.environ.get(KEY_VARIABLE, '')}",
        "Deadline-Ms": str(deadline_ms),
    }
    wait_seconds = deadline_ms / MILLISECONDS_PER_SECOND + NETWORK_MARGIN_SECONDS
    if record:
        path = f"{base}/records/{quote(record, safe='')}"
        return Request(address, path, None, headers, wait_seconds)
    try:
        decoded_query = msgspec.json.decode(search.encode())
    except (ValueError, RecursionError) as error:
        fail(f"the query is not valid JSON: {error}; quote it as one argument")
    body = {"query": decoded_query, "limit": limit}
    return Request(address, f"{base}/search", body, headers, wait_seconds)


def _is_complete(body: dict[str, Any]) -> bool:
    coverage = body.get("coverage")
    return coverage is None or bool(coverage["complete"])


def _write(reply: Reply) -> None:
    body = reply.body
    if reply.status != OK:
        fail(f"{body['kind']}: {body['message']} {body['remedy']}", status=EXIT_FAILURE)
    write_line(f"Request {body['request_id']}")
    if "record" in body:
        write_line(_as_json(body["record"]))
        return
    coverage = body["coverage"]
    write_line(
        f"Snapshot {body['snapshot']}, {coverage['covered']} of "
        f"{coverage['total']} slots covered, {body['total']} found."
    )
    for missing in coverage["missing"]:
        first, last = missing["first"], missing["last"]
        write_line(f"Missing slots {first}-{last}: {missing['reason']}.")
    for hit in body["hits"]:
        write_line(f"{hit['key']}  {_as_json(hit['record'])}")


def _as_json(value: object) -> str:
    return msgspec.json.encode(value).decode()
