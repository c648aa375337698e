"""A request whose back ends crash silently is sent to back ends again and again."""

from __future__ import annotations

import asyncio
import os
import socket
import time
from pathlib import Path

from standins import http1
from standins.addresses import parts
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
from standins.store import Store
from standins.upstream import Upstream

SERVICE = "clubroll"
DEADLY_PATH, USUAL_PATH = "/goka902/deadly", "/goka902/2f"
UPSTREAM_ZONES = ("jhb-a", "jhb-a", "cpt-a", "dbn-a")
STABLE_WINDOW_S = 5.0
RETRIES_LIMIT = 3
STEADY_S = 7.0
# poison: for_s 20. The request comes again, each time at another host.
DEADLY_FOR_S, COMES_EVERY_S = 20.0, 1.5
# A back end crashes while it runs the request, which takes 20 ms.
CRASH_AFTER_S, BACK_AFTER_S = 0.01, 3.0
INTERVAL_S = 0.1
QUEUE_FILLERS = 4
# Not part of the case: with CRASH=reset a crash resets the connections.
IS_SILENT = os.environ.get("CRASH", "silent") == "silent"


class FragileUpstream(Upstream):
    """Crash under the deadly request: fall silent, and be back after some seconds."""

    def __init__(self, name: str, zone: str, store: Store, record: Record) -> None:
        super().__init__(name, SERVICE, zone, record)
        self.deadly_runs: list[tuple[float, str]] = []
        self._store = store
        self._is_down = False
        self._fillers: list[socket.socket] = []

    async def _answer(self, request: http1.Message) -> bytes:
        if is_troubled() and request.start.split()[1] == DEADLY_PATH:
            request_id = request.headers.get("x-burdockmill-request-id", "")
            self.deadly_runs.append((self._record.now_s(), request_id))
            asyncio.get_running_loop().call_later(CRASH_AFTER_S, self._crash)
        response = await super()._answer(request)
        while self._is_down:
            # Nothing leaves a machine that has crashed.
            await asyncio.sleep(BACK_AFTER_S)
        return response

    def _crash(self) -> None:
        if self._is_down or self._server is None:
            return
        self._is_down = True
        self._record.add(self.name, "crashes")
        self._server.close()
        if IS_SILENT:
            self._fillers = _fill_queue(self.address)
        else:
            self._end_connections()
        loop = asyncio.get_running_loop()
        loop.call_later(BACK_AFTER_S, lambda: loop.create_task(self._come_back()))

    async def _come_back(self) -> None:
        """Start again under the same id; the connections of before are unknown."""
        self._end_connections()
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        self.seq = 0
        self.born = int(time.time() * 1_000)
        self._free = asyncio.Semaphore(self._slots)
        self._waiting = 0
        await self.open()
        self._is_down = False
        self._store.put(self.key, self.entry())
        self._record.add(self.name, "is back")

    def _end_connections(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()


def _fill_queue(address: str) -> list[socket.socket]:
    """Let new connections to an address get no reply, as from a machine that is off."""
    listening = socket.socket()
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listening.bind(parts(address))
    listening.listen(0)
    fillers = [listening]
    for _ in range(QUEUE_FILLERS):
        filler = socket.socket()
        filler.setblocking(False)
        filler.connect_ex(parts(address))
        fillers.append(filler)
    return fillers


async def main(fleet: Fleet) -> int:
    """Return whether the deadly request is held back in time."""
    upstreams = [
        FragileUpstream(f"i-{number}", zone, fleet.store, fleet.record)
        for number, zone in enumerate(UPSTREAM_ZONES, 1)
    ]
    fleet.upstreams += upstreams
    await fleet.open()
    routes = [single_route("/goka902/", SERVICE)]
    fleet.store.put("op/config", configuration(7, routes, [SERVICE]))
    for zone in REGION_BY_ZONE:
        fleet.add_host(zone)
    await fleet.start_hosts()
    loop = asyncio.get_running_loop()
    usual: list[Answer] = []
    asking = [loop.create_task(_ask(fleet, host, usual)) for host in fleet.hosts]
    await asyncio.sleep(STEADY_S)
    if not usual or any(answer.status != 200 for answer in usual):
        raise CannotRunError("the fleet does not serve before the disruption")
    served = len(usual)

    end_s = fleet.record.now_s() + DEADLY_FOR_S
    comings = []
    while fleet.record.now_s() < end_s:
        host = fleet.hosts[len(comings) % len(fleet.hosts)]
        client = fleet.client(host, "deadly")
        comings.append(loop.create_task(client.send(HOST_NAME, DEADLY_PATH)))
        await asyncio.sleep(COMES_EVERY_S)
    await asyncio.gather(*comings)
    for task in asking:
        task.cancel()
    await asyncio.gather(*asking, return_exceptions=True)

    failed = sum(answer.status != 200 for answer in usual[served:])
    fleet.record.say(
        f"{failed} of {len(usual) - served} other requests failed meanwhile"
    )
    return _judge(fleet, upstreams, len(comings))


async def _ask(fleet: Fleet, host: Host, answers: list[Answer]) -> None:
    client = fleet.client(host)
    while True:
        answers.append(await client.send(HOST_NAME, USUAL_PATH))
        await asyncio.sleep(INTERVAL_S)


def _judge(fleet: Fleet, upstreams: list[FragileUpstream], comings: int) -> int:
    runs = sorted(run for one in upstreams for run in one.deadly_runs)
    if not is_troubled():
        fleet.record.say(f"the request came {comings} times and crashed nothing")
        return HELD
    if len(runs) < RETRIES_LIMIT:
        raise CannotRunError("the request crashed fewer than three back ends")
    third_s = runs[RETRIES_LIMIT - 1][0] + CRASH_AFTER_S
    late = [name for at_s, name in runs if at_s > third_s + STABLE_WINDOW_S]
    fleet.record.say(
        f"the request came {comings} times and reached back ends {len(runs)} times; "
        f"it had crashed the third at {third_s:.3f}, and over {STABLE_WINDOW_S:.0f} s "
        f"later it reached back ends {len(late)} times, in {len(set(late))} comings"
    )
    return BROKEN if len(set(late)) > RETRIES_LIMIT else HELD


if __name__ == "__main__":
    play(main, Path(__file__).resolve().parent)
