"""Kill all hosts after they have held back a request that ends back ends."""

from __future__ import annotations

import asyncio
from pathlib import Path

from review.standins2.client import ask
from review.standins2.site import BOUNDS, ZONES, Site, has_trouble, route, run_case
from review.standins2.traffic import Traffic

CASE = Path(__file__).parent
HOSTS = 3
RATE = 20.0
PATH = "/roster/deadly"
# The same request comes again this often, before the kill and after it.
ROUNDS = 5
INTERVAL_S = 4.0
RESTART_DELAY_S = 0.6
# Back ends are all back, and hosts in touch again, this long after their start.
SETTLE_S = 6.0
# Retries that the rule allows after the third crash.
RETRIES = 3
CRASHES = 3


async def send_rounds(site: Site) -> None:
    """Let one user send the request to the same host several times."""
    for _ in range(ROUNDS):
        site.record.add(f"{PATH} is sent to {site.hosts[0].name}")
        front = site.hosts[0].front
        answer = await ask(site.record, front, "club.example", PATH, 2_000)
        site.record.add(f"answered {answer.status}")
        await asyncio.sleep(INTERVAL_S)


async def run() -> int:
    """Return 1 if rule BUDGET was broken, else 0."""
    async with Site(CASE) as site:
        for service in ("clubroll", "junior"):
            for number, zone in enumerate(ZONES):
                backend = await site.add_backend(f"{service}-{number}", service, zone)
                backend.crashes = lambda target: target == PATH
        site.configure(
            [
                route("roster", "/roster/", service="clubroll"),
                route("booking", "/booking/", service="junior"),
            ],
            ["clubroll", "junior"],
        )
        await site.start_hosts(HOSTS)
        await asyncio.sleep(BOUNDS["stable-window-ms"] / 1_000.0)
        traffic = Traffic(site.record, lambda: site.hosts, "/booking/", RATE)
        sending = asyncio.create_task(
            traffic.run(2 * ROUNDS * INTERVAL_S + SETTLE_S + 2.0)
        )
        await send_rounds(site)
        if has_trouble():
            site.record.add("all hosts are killed")
            await asyncio.gather(*(host.kill() for host in site.hosts))
            await asyncio.sleep(RESTART_DELAY_S)
            await asyncio.gather(*(site.start_host(host) for host in site.hosts))
        await asyncio.sleep(SETTLE_S)
        await send_rounds(site)
        await sending
        return judge(site, traffic)


def judge(site: Site, traffic: Traffic) -> int:
    """Return 1 if the request reached back ends too often after its third crash."""
    runs = sorted(
        (one.at_ms, one.backend, one.request_id)
        for backend in site.backends
        for one in backend.arrivals
        if one.target == PATH and one.has_run
    )
    for at_ms, backend, request_id in runs:
        site.record.add(f"{request_id} reached {backend} at {at_ms:.0f}")
    served = sum(one.status == 200 for one in traffic.answers)
    site.record.add(f"{served} of {len(traffic.answers)} ordinary requests served")
    if served < len(traffic.answers) / 2 or len(runs) < CRASHES:
        return 2
    end_ms = runs[CRASHES - 1][0] + BOUNDS["stable-window-ms"]
    late = [one for one in runs if one[0] > end_ms]
    site.record.add(
        f"{len(runs)} crashes; {len(late)} of them later than"
        f" stable-window-ms after the third; {RETRIES} are allowed"
    )
    return 1 if len(late) > RETRIES else 0


if __name__ == "__main__":
    run_case(run)
