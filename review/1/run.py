"""An entry that cannot be read stops every host from following the store."""

from __future__ import annotations

import asyncio
from pathlib import Path

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

OLD, NEW = "clubroll", "junior-booking"
CONFIG_APPLY_S = 4.0
STEADY_S = 6.0
# Longer than stable-window-ms, so that all hosts are in touch when the configuration
# changes: the disruption touches neither them nor the store.
SETTLE_S = 7.0
WATCHED_S = 16.0
INTERVAL_S = 0.1
# Bytes that can't be read: the document breaks off inside its brackets.
UNREADABLE = b'{"labels":' + b"[" * 4_000


async def main(fleet: Fleet) -> int:
    """Return whether the new configuration is in force in time."""
    for service in (OLD, NEW):
        fleet.add_upstreams(service)
    await fleet.open()
    services = [OLD, NEW]
    fleet.store.put(
        "op/config", configuration(7, [single_route("/goka902/", OLD)], services)
    )
    for zone in REGION_BY_ZONE:
        fleet.add_host(zone)
    await fleet.start_hosts()
    await asyncio.sleep(STEADY_S)
    answers = await _ask_all(fleet, 1.0)
    if any(answer.status != 200 for answer in answers):
        raise CannotRunError("the fleet does not serve before the disruption")

    if is_troubled():
        fleet.store.put("servers/i-of-another-writer", UNREADABLE)
        fleet.record.say("another writer has written an entry that can't be read")
    await asyncio.sleep(SETTLE_S)

    fleet.store.put(
        "op/config", configuration(11, [single_route("/goka902/", NEW)], services)
    )
    confirmed_s = fleet.record.now_s()
    fleet.record.say(f"version 11 is confirmed: /goka902/ goes to {NEW} alone")
    answers = await _ask_all(fleet, WATCHED_S)

    late = [one for one in answers if one.sent_s > confirmed_s + CONFIG_APPLY_S]
    sent = {one.request_id for one in late}
    stale = {
        request_id
        for upstream in fleet.upstreams
        if upstream.service == OLD
        for _, request_id in upstream.runs
        if request_id in sent
    }
    fleet.record.say(
        f"{len(late)} requests were sent later than {CONFIG_APPLY_S:.0f} s after the "
        f"confirmation; {len(stale)} of them were run by {OLD}"
    )
    if not late:
        raise CannotRunError("no requests were sent after the bound")
    return BROKEN if stale else HELD


async def _ask_all(fleet: Fleet, for_s: float) -> list[Answer]:
    """Ask every host again and again."""
    answers = await asyncio.gather(*(_ask(fleet, host, for_s) for host in fleet.hosts))
    return [one for some in answers for one in some]


async def _ask(fleet: Fleet, host: Host, for_s: float) -> list[Answer]:
    client = fleet.client(host)
    end_s = fleet.record.now_s() + for_s
    answers = []
    while fleet.record.now_s() < end_s:
        answers.append(await client.send(HOST_NAME, "/goka902/2f"))
        await asyncio.sleep(INTERVAL_S)
    client.close()
    return answers


if __name__ == "__main__":
    play(main, Path(__file__).resolve().parent)
