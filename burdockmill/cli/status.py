"""Show the state of the fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated

import typer

from burdockmill.cli._http import OK, Reply, Request, send_all
from burdockmill.cli._output import EXIT_FAILURE, write_json, write_line, write_table

if TYPE_CHECKING:
    from collections.abc import Iterable

    from burdockmill.host_status import HostStatus

EXAMPLE = "Example: burdockmill status 10.1.0.2:8002 10.2.0.2:8002"
READY = "ready"


def status(
    addresses: Annotated[
        list[str], typer.Argument(help="Operator addresses of hosts.")
    ],
    as_json: Annotated[bool, typer.Option("--json", help="Write JSON.")] = False,
) -> None:
    """Show hosts, revisions, members, leaving upstreams and the worst upstreams.

    The worst are those that are unreachable, draining or slow, in this order.

    Exit 1 when a host does not respond or is not ready, or when revisions differ.
    """
    replies = send_all([Request(address, "/v1/status") for address in addresses])
    unresponsive = [reply.address for reply in replies if reply.status != OK]
    hosts: list[HostStatus] = [one.body for one in replies if one.status == OK]
    if as_json:
        write_json({"hosts": hosts, "silent": unresponsive})
    else:
        _write(hosts, replies)
    revisions = {host["revision"] for host in hosts}
    ready = all(host["state"] == READY for host in hosts)
    if unresponsive or not ready or len(revisions) > 1:
        raise typer.Exit(EXIT_FAILURE)


def _write(hosts: list[HostStatus], replies: list[Reply]) -> None:
    write_table(
        "Hosts",
        ("domain", "host", "state", "revision", "age s", "requests", "owns"),
        (
            (
                host["domain"],
                host["host"],
                host["state"],
                host["revision"],
                round(host["rules_age_ms"] / 1_000),
                host["requests_open"],
                host["upstreams_owned"],
            )
            for host in sorted(hosts, key=lambda host: (host["domain"], host["host"]))
        ),
    )
    write_table("Members", ("domain", "host", "seen as", "by"), _members(hosts))
    write_table("Worst upstreams", ("upstream", "owner", "state", "ms"), _worst(hosts))
    for host in hosts:
        for problem in host["refused_problems"]:
            write_line(
                f"{host['host']} refused revision {host['refused_revision']}: {problem}"
            )
    leaving = sorted({name for host in hosts for name in host["leaving_upstreams"]})
    write_line(f"Leaving upstreams: {', '.join(leaving) or 'none'}.")
    for reply in replies:
        if reply.status != OK:
            write_line(f"No status from {reply.address}: {reply.body}.")


def _members(hosts: list[HostStatus]) -> Iterable[tuple[str, str, str, str]]:
    reporters: dict[tuple[str, str, str], list[str]] = {}
    for host in hosts:
        for member in host["members"]:
            state = "leaving" if member["leaving"] else "live"
            state = state if member["alive"] else "gone"
            key = (member["domain"], member["host"], state)
            reporters.setdefault(key, []).append(host["host"])
    for key in sorted(reporters):
        yield (*key, f"{len(reporters[key])} of {len(hosts)}")


def _worst(hosts: list[HostStatus]) -> Iterable[tuple[str, str, str, float]]:
    listed: set[str] = set()
    for host in hosts:
        for one in host["worst_upstreams"]:
            if one["upstream"] not in listed:
                listed.add(one["upstream"])
                yield (one["upstream"], one["owner"], one["state"], one["took_ms"])
