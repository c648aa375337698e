"""Check that a request that has run is not refused after the host that ran it ended."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path
from typing import TYPE_CHECKING

from review.standins3.fleet import Fleet, gather_route, main, route

if TYPE_CHECKING:
    from review.standins3.fleet import Answer, Host, Record

PROMISES = (408, 421, 429, 503)
SHARDS = ("planner-1", "planner-2", "planner-3")
ONCE = "payroll-bridge"
WORK_S = 1.0
ASKED = 3
FIRST_BEGINS_S = 3.0


async def case(record: Record, is_troubled: bool) -> list[str]:
    """Cut one host from all backends, and kill the one that takes its requests."""
    async with Fleet(record, ["waw-a", "krk-a", "gda-a"]) as fleet:
        entry, *others = fleet.hosts
        for service in SHARDS:
            for zone in fleet.region_by_zone:
                await fleet.add_backend(service, zone)
        for zone in fleet.region_by_zone:
            await fleet.add_backend(ONCE, zone)
        routes = [
            gather_route("overlap", "/overlap/", list(SHARDS)),
            route("booking", "/booking/", "unsafe", ONCE),
        ]
        fleet.work_by_prefix["/booking/long/"] = WORK_S
        fleet.quiet_prefixes |= {"/overlap/", "/booking/short/"}
        fleet.configure(7, routes, [*SHARDS, ONCE])
        await fleet.start_hosts()
        async with asyncio.TaskGroup() as usual:
            tasks = [
                usual.create_task(keep_asking(fleet, host, "/overlap/q", 800))
                for host in fleet.hosts
            ]
            tasks += [
                usual.create_task(
                    keep_asking(fleet, host, "/booking/short/b", 2_000, "POST")
                )
                for host in others
            ]
            try:
                answers = await play(fleet, entry, is_troubled)
            finally:
                for task in tasks:
                    task.cancel()
        return judge(fleet, answers)


async def keep_asking(
    fleet: Fleet, host: Host, target: str, limit_ms: int, method: str = "GET"
) -> None:
    """Send one request after the other until cancelled."""
    while True:
        await fleet.request(host, target, limit_ms, method)
        await asyncio.sleep(0.15)


async def play(fleet: Fleet, entry: Host, is_troubled: bool) -> list[Answer]:
    """Send the requests of the case, and return how they were answered."""
    record = fleet.record
    await asyncio.sleep(4.0)
    if is_troubled:
        record.add(entry.name, "is cut from all backends: new connections are refused")
        for backend in fleet.backends:
            backend.refuse_new(entry.number)
    await asyncio.sleep(1.5)
    names = [fleet.new_id() for _ in range(ASKED)]
    asking = [
        asyncio.create_task(
            fleet.request(
                entry, f"/booking/long/{number}", 4_000, "POST", b"book", name
            )
        )
        for number, name in enumerate(names)
    ]
    end_s = record.now_s + FIRST_BEGINS_S
    while record.now_s < end_s and not begun(fleet).intersection(names):
        await asyncio.sleep(0.01)
    await asyncio.sleep(WORK_S / 2)
    if is_troubled:
        number = next(
            fleet.path_by_request[name] for name in names if name in begun(fleet)
        )
        fleet.hosts[number].signal(signal.SIGKILL)
    return await asyncio.gather(*asking)


def begun(fleet: Fleet) -> set[str]:
    """Return the ids of the requests on which a backend began to work."""
    return {name for backend in fleet.backends for name in backend.began}


def judge(fleet: Fleet, answers: list[Answer]) -> list[str]:
    """Return which promises were broken."""
    return [
        f"REFUSED: {name} was answered {status} and has run"
        for name, status, _ in answers
        if status in PROMISES and name in begun(fleet)
    ]


main(case, Path(__file__).parent)
