"""Let users at three hosts send a request that ends the back ends that run it."""

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
# The same request comes again this often, once from a user of each host.
ROUNDS = 4
INTERVAL_S = 6.5
# Retries that the rule allows after the third crash.
RETRIES = 3
CRASHES = 3


async def run() -> int:
    """Return 1 if rule BUDGET was broken, else 0."""
    async with Site(CASE) as site:
        for service in ("clubroll", "junior"):
            for number, zone in enumerate(ZONES):
                backend = await site.add_backend(f"{service}-{number}", service, zone)
                backend.crashes = lambda target: has_trouble() and target == PATH
        site.configure(
            [
                route("roster", "/roster/", service="clubroll"),
                route("booking", "/booking/", service="junior"),
            ],
            ["clubroll", "junior"],
        )
        await site.start_hosts(HOSTS)
        # No machine has been disturbed for `stable-window-ms`.
        await asyncio.sleep(BOUNDS["stable-window-ms"] / 1_000.0)
        traffic = Traffic(site.record, lambda: site.hosts, "/booking/", RATE)
        statuses: list[int] = []
        sending = asyncio.create_task(traffic.run(ROUNDS * INTERVAL_S))
        for number in range(ROUNDS):
            site.record.add(f"round {number + 1}: {PATH} at each host")
            answers = await asyncio.gather(
                *(
                    ask(site.record, host.front, "club.example", PATH, 2_000)
                    for host in site.hosts
                )
            )
            statuses += [answer.status for answer in answers]
            site.record.add(f"round {number + 1}: answered {statuses[-HOSTS:]}")
            await asyncio.sleep(INTERVAL_S)
        await sending
        return judge(site, traffic, statuses)


def judge(site: Site, traffic: Traffic, statuses: list[int]) -> int:
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
    if served < len(traffic.answers) / 2:
        return 2
    if not has_trouble():
        return 0 if set(statuses) == {200} else 2
    if len(runs) < CRASHES:
        return 0
    end_ms = runs[CRASHES - 1][0] + BOUNDS["stable-window-ms"]
    late = [one for one in runs if one[0] > end_ms]
    site.record.add(
        f"{len(runs)} crashes; {len(late)} of them later than"
        f" stable-window-ms after the third; {RETRIES} are allowed"
    )
    return 1 if len(late) > RETRIES else 0


if __name__ == "__main__":
    run_case(run)
