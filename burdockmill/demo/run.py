"""Send requests to the demo's fleet and compare its answers with a full scan."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, cast

import uvloop
from rich.console import Console
from rich.table import Table

from burdockmill.demo.client import DemoClient
from burdockmill.demo.explanation import summary
from burdockmill.demo.fleet import DOMAINS, DemoFleet, upstream_of
from burdockmill.logs import set_up_logs
from burdockmill.standins.records import scan

if TYPE_CHECKING:
    from burdockmill.explanation import Explanation
    from burdockmill.names import Address

AUGUST: dict[str, Any] = {"off_in": "2026-08"}
LIMIT = 5
OK = 200


class Demo:
    """Send requests, print the answers, and record differences from the data."""

    def __init__(self, fleet: DemoFleet, client: DemoClient, console: Console) -> None:
        self._fleet = fleet
        self._client = client
        self._console = console
        self.differences: list[str] = []

    async def run(self) -> None:
        """Send requests to the whole fleet, then without a replica, then a domain."""
        local_domain, stopped_domain = DOMAINS[0], DOMAINS[2]
        address = self._fleet.caller_address(local_domain)
        await self._search(address, "Who is off in August?")
        await self._fetch(address)
        await self._approve(address)
        replica = upstream_of(3, local_domain)
        await self._fleet.stop_upstream(replica)
        await self._search(address, f"The same, {replica} stopped")
        await self._fleet.stop_domain(stopped_domain)
        await self._search(
            address, f"The same, failure domain {stopped_domain} stopped"
        )

    async def _search(self, address: Address, title: str) -> None:
        self._console.rule(title)
        reply = await self._client.search(address, AUGUST, LIMIT)
        body = reply.body
        self._check(title, reply.status == OK, f"status {reply.status}")
        if reply.status != OK:
            return
        self._show_answer(body)
        self._compare(title, body)
        await self._show_explanation(address, body["request_id"])

    def _compare(self, title: str, body: dict[str, Any]) -> None:
        complete = body["coverage"]["complete"]
        self._check(title, complete, "the answer is not complete")
        if not complete:
            return
        records = self._fleet.records.records_at(body["snapshot"])
        expected = scan(records, AUGUST, LIMIT)
        keys = [hit["key"] for hit in body["hits"]]
        same_hits = keys == [hit.key for hit in expected.hits]
        self._check(title, same_hits, "hits differ from the scan")
        self._check(title, body["total"] == expected.total, "totals differ")
        self._console.print(f"A full scan finds the same {expected.total} records.")

    async def _fetch(self, address: Address) -> None:
        self._console.rule("One request by its number")
        key = self._fleet.records.records_at(2)[0]["key"]
        reply = await self._client.fetch(address, key)
        expected = self._fleet.records.latest(key)
        self._console.print(reply.body)
        same = reply.body.get("record") == expected
        self._check("fetch", same, "the record differs")

    async def _approve(self, address: Address) -> None:
        self._console.rule("One approval")
        key = self._fleet.records.records_at(2)[1]["key"]
        reply = await self._client.act(address, key, {"approve": True})
        self._console.print(reply.body)
        done = reply.body.get("outcome") == "done"
        self._check("approve", done, "the approval is not done")
        ran = [
            row
            for upstream in self._fleet.upstream_by_id.values()
            for row in upstream.log
            if row.key == key and row.kind == "action"
        ]
        self._check("approve", len(ran) == 1, f"the approval ran {len(ran)} times")

    def _show_answer(self, body: dict[str, Any]) -> None:
        coverage = body["coverage"]
        share = 100 * coverage["covered"] / coverage["total"]
        self._console.print(
            f"Snapshot {body['snapshot']}, coverage {share:.1f}%"
            f" ({coverage['covered']} of {coverage['total']} slots),"
            f" {body['total']} found, first {len(body['hits'])}:"
        )
        table = Table("key", "team", "first day", "last day", "status")
        for hit in body["hits"]:
            record = hit["record"]
            fields = ("key", "team", "first_day", "last_day", "status")
            table.add_row(*(str(record[field]) for field in fields))
        self._console.print(table)
        for missing in coverage["missing"]:
            self._console.print(f"Missing: {missing}")

    async def _show_explanation(self, address: Address, request_id: str) -> None:
        reply = await self._client.explain(address, request_id)
        for line in summary(cast("Explanation", reply.body)):
            self._console.print(f"  {line}", style="dim", markup=False)

    def _check(self, subject: str, passed: bool, message: str) -> None:
        if not passed:
            self.differences.append(f"{subject}: {message}")


async def _run(records: int, seed: int, console: Console) -> list[str]:
    fleet = DemoFleet(records, seed)
    client = DemoClient()
    try:
        await fleet.start()
        demo = Demo(fleet, client, console)
        await demo.run()
    finally:
        await client.close()
        await fleet.stop()
    return demo.differences


def run_demo(records: int, seed: int) -> int:
    """Run the demo; return 0 when every answer agrees with the data, else 1."""
    set_up_logs("text", "WARNING")
    console = Console()
    differences = uvloop.run(_run(records, seed, console))
    for difference in differences:
        console.print(f"[red]Differs[/red]: {difference}")
    if not differences:
        console.print("Every answer agrees with the data.")
    return 1 if differences else 0
