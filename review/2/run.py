"""A spoiled stamp makes an answer pass without one, or ends a search unanswered."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

from standins import http1
from standins.client import Answer
from standins.fleet import (
    BROKEN,
    HELD,
    HOST_NAME,
    REGION_BY_ZONE,
    CannotRunError,
    Fleet,
    configuration,
    is_troubled,
    play,
    single_route,
)
from standins.host import Host
from standins.record import Record
from standins.upstream import Upstream

SINGLE = "clubroll"
SHARDS = [f"fieldfinder-{number}" for number in range(1, 11)]
STEADY_S = 6.0
# garble: share 0.35, x 0.02, for_s 5.5; every fiftieth answer of one back end in three.
GARBLED_EVERY, GARBLED_S = 50, 5.5
SETTLE_S = 2.0
CLIENTS_PER_HOST = 4
INTERVAL_S = 0.03
STAMP = b"X-Burdockmill-Server-Stamp: "
SPOILED_BYTE = b"\x07"


class GarblingUpstream(Upstream):
    """Spoil a byte in the stamp of some answers; no response may contain it."""

    def __init__(self, name: str, service: str, zone: str, record: Record) -> None:
        super().__init__(name, service, zone, record, work_s=0.01)
        self.garbles = False
        self.spoiled: set[str] = set()
        self._answers = 0

    async def _answer(self, request: http1.Message) -> bytes:
        response = await super()._answer(request)
        if not self.garbles or STAMP not in response:
            return response
        self._answers += 1
        if self._answers % GARBLED_EVERY:
            return response
        request_id = request.headers["x-burdockmill-request-id"]
        self.spoiled.add(request_id)
        self._record.add(self.name, f"spoils its answer to {request_id}")
        head, stamp, rest = response.partition(STAMP)
        return head + stamp + SPOILED_BYTE + rest[1:]


def gather_route() -> dict[str, Any]:
    """Return the route of a search over all shards."""
    route = single_route("/rany330/", "") | {
        "timeout-ms": 1000,
        "latency-goal-ms": 162,
        "priority": 1,
        "gather": SHARDS,
        "top-k": 10,
        "min-coverage": 0.89,
    }
    del route["service"]
    return route


async def main(fleet: Fleet) -> int:
    """Return whether each success bears its stamp."""
    upstreams = [
        GarblingUpstream(f"i-{service}-{zone}", service, zone, fleet.record)
        for service in (SINGLE, *SHARDS)
        for zone in REGION_BY_ZONE
    ]
    fleet.upstreams += upstreams
    await fleet.open()
    routes = [single_route("/goka902/", SINGLE), gather_route()]
    fleet.store.put("op/config", configuration(7, routes, [SINGLE, *SHARDS]))
    for zone in REGION_BY_ZONE:
        fleet.add_host(zone)
    await fleet.start_hosts()
    loop = asyncio.get_running_loop()
    singles: list[Answer] = []
    searches: list[Answer] = []
    asking = [
        loop.create_task(_ask(fleet, host, path, answers))
        for host in fleet.hosts
        for path, answers in (("/goka902/2f", singles), ("/rany330/2f", searches))
        for _ in range(CLIENTS_PER_HOST // 2)
    ]
    await asyncio.sleep(STEADY_S)
    before = [*singles, *searches]
    if not singles or not searches or any(one.status != 200 for one in before):
        raise CannotRunError("the fleet does not serve before the disruption")

    # One of the three back ends of each service, in each zone in turn.
    zones = len(REGION_BY_ZONE)
    garbling = [
        upstreams[first + first // zones % zones]
        for first in range(0, len(upstreams), zones)
    ]
    if is_troubled():
        names = ", ".join(upstream.name for upstream in garbling)
        fleet.record.say(f"of {len(upstreams)} back ends these garble answers: {names}")
        for upstream in garbling:
            upstream.garbles = True
    await asyncio.sleep(GARBLED_S)
    for upstream in garbling:
        upstream.garbles = False
    await asyncio.sleep(SETTLE_S)
    for task in asking:
        task.cancel()
    await asyncio.gather(*asking, return_exceptions=True)
    return _judge(fleet, upstreams, singles, searches)


async def _ask(fleet: Fleet, host: Host, path: str, answers: list[Answer]) -> None:
    client = fleet.client(host)
    while True:
        answers.append(await client.send(HOST_NAME, path, deadline_ms=1_000))
        await asyncio.sleep(INTERVAL_S)


def _judge(
    fleet: Fleet,
    upstreams: list[GarblingUpstream],
    singles: list[Answer],
    searches: list[Answer],
) -> int:
    spoiled = {request_id for one in upstreams for request_id in one.spoiled}
    if is_troubled() and not spoiled:
        raise CannotRunError("no answer was spoiled")
    unstamped = [
        one.request_id
        for one in singles
        if one.status == 200 and "x-burdockmill-server-stamp" not in one.headers
    ]
    # Not judged: searches that ended unanswered for the same cause (LOST).
    closed = [
        one.request_id
        for one in searches
        if not one.status and one.request_id in spoiled
    ]
    fleet.record.say(
        f"{len(spoiled)} answers were spoiled; {len(unstamped)} of {len(singles)} "
        f"single requests got a success without a stamp: {unstamped[:5]}"
    )
    fleet.record.say(
        f"{len(closed)} of {len(searches)} searches got a closed connection and no "
        f"answer, though other back ends had served them: {closed[:5]}"
    )
    return BROKEN if unstamped else HELD


if __name__ == "__main__":
    play(main, Path(__file__).resolve().parent)
