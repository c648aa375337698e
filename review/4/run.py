"""A bound that is written as a fraction keeps restarted hosts from starting."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from standins.fleet import (
    BROKEN,
    HELD,
    HOST_NAME,
    CannotRunError,
    Fleet,
    configuration,
    is_troubled,
    play,
    single_route,
)
from standins.host import Host

SERVICE = "clubroll"
ZONES = ("jhb-a", "jhb-a", "cpt-a", "dbn-a", "dbn-a")
# hup: share 0.6 of five hosts; roll_term: share 0.45 of five hosts.
CHANGED_HOSTS, ROLLED_HOSTS = 3, 2
GAP_S = 1.3
GRACE_S = 6.0
STEADY_S = 6.0
WATCHED_S = 20.0
# Ends within a second of the SIGTERM are excused, and the planned one itself.
EXCUSED_S = GRACE_S + 1.0
ENDS_LIMIT = 3
BOUND_BEFORE, BOUND_AFTER = "bounds.drain-ms=4000", "bounds.drain-ms=3999.5"


async def main(fleet: Fleet) -> int:
    """Return whether the hosts that are stopped and started run again."""
    fleet.add_upstreams(SERVICE)
    await fleet.open()
    routes = [single_route("/goka902/", SERVICE)]
    fleet.store.put("op/config", configuration(7, routes, [SERVICE]))
    for zone in ZONES:
        fleet.add_host(zone)
    await fleet.start_hosts()
    await asyncio.sleep(STEADY_S)
    for host in fleet.hosts:
        answer = await fleet.client(host).send(HOST_NAME, "/goka902/2f")
        if answer.status != 200:
            raise CannotRunError("the fleet does not serve before the disruption")

    changed = fleet.hosts[:CHANGED_HOSTS]
    for host in changed:
        if is_troubled():
            host.change_settings(BOUND_BEFORE, BOUND_AFTER)
        host.send(signal.SIGHUP)
    await asyncio.sleep(STEADY_S)
    rolled = fleet.hosts[:ROLLED_HOSTS]
    stopped_s = {}
    for host in rolled:
        stopped_s[host.name] = fleet.record.now_s()
        host.send(signal.SIGTERM)
        await _until_ended(host)
        await asyncio.sleep(GAP_S)
    await asyncio.sleep(WATCHED_S)

    failed = 0
    for host in rolled:
        since_s = stopped_s[host.name] + EXCUSED_S
        own_ends = [code for ended_s, code in host.ends if ended_s > since_s]
        serves = await _serves(fleet, host)
        fleet.record.say(
            f"{host.name} ended by itself {len(own_ends)} times "
            f"(codes {sorted(set(own_ends))}); it serves: {serves}"
        )
        failed += len(own_ends) >= ENDS_LIMIT and not serves
    return BROKEN if failed >= 2 else HELD


async def _until_ended(host: Host) -> None:
    ends = len(host.ends)
    async with asyncio.timeout(GRACE_S + 2.0):
        while len(host.ends) == ends:
            await asyncio.sleep(0.05)


async def _serves(fleet: Fleet, host: Host) -> bool:
    answer = await fleet.client(host).send(HOST_NAME, "/goka902/2f")
    return answer.status == 200


if __name__ == "__main__":
    play(main, Path(__file__).resolve().parent)
