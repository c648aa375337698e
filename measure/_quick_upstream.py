"""Serve many upstreams in one process with as little work as possible."""

from __future__ import annotations

import argparse
import asyncio
from typing import Any

import msgspec
import uvloop
from aiohttp import web

from burdockmill.slots import slot_of

HITS_PER_SHARD = 5
RECORD = msgspec.Raw(
    b'{"team":"packing-2","employee":"employee-1454","first_day":"2026-08-03",'
    b'"last_day":"2026-08-07","days":5,"status":"approved"}'
)


class QuickUpstream:
    """Answer every search with a few fixed hits of the requested slots."""

    def __init__(self) -> None:
        self._hits_by_slots: dict[tuple[int, int], msgspec.Raw] = {}

    def app(self) -> web.Application:
        """Return the application that all addresses share."""
        app = web.Application()
        app.add_routes(
            [
                web.post("/v1/search", self.search),
                web.post("/v1/cancel", self.cancel),
                web.get("/v1/health", self.health),
            ]
        )
        return app

    async def search(self, request: web.Request) -> web.Response:
        """Answer a search at once, with the hits of its slots."""
        search: dict[str, Any] = msgspec.json.decode(await request.read())
        answer = {
            "request_id": search["request_id"],
            "attempt": search["attempt"],
            "shard": search["shard"],
            "snapshot": search["snapshot"],
            "slots": [search["slots"]],
            "total": HITS_PER_SHARD,
            "hit_count": HITS_PER_SHARD,
            "hits": self._hits((search["slots"][0], search["slots"][1])),
            "snapshots": [1],
        }
        return _json(answer)

    async def cancel(self, request: web.Request) -> web.Response:
        """Ignore a cancellation."""
        return _json({"cancelled": False})

    async def health(self, request: web.Request) -> web.Response:
        """Report a healthy upstream with one snapshot."""
        return _json(
            {"status": "ok", "draining": False, "incarnation": "1", "snapshots": [1]}
        )

    def _hits(self, slots: tuple[int, int]) -> msgspec.Raw:
        hits = self._hits_by_slots.get(slots)
        if hits is None:
            hits = self._hits_by_slots[slots] = _make_hits(*slots)
        return hits


def _make_hits(first: int, last: int) -> msgspec.Raw:
    hits: list[tuple[float, str, msgspec.Raw]] = []
    number = 0
    while len(hits) < HITS_PER_SHARD:
        key = f"LR-{number:06}"
        if first <= slot_of(key) <= last:
            hits.append((float(number), key, RECORD))
        number += 1
    return msgspec.Raw(msgspec.json.encode(hits))


def _json(body: object) -> web.Response:
    encoded = msgspec.json.encode(body)
    return web.Response(body=encoded, content_type="application/json")


async def _serve(first_port: int, count: int) -> None:
    runner = web.AppRunner(QuickUpstream().app(), access_log=None)
    await runner.setup()
    for port in range(first_port, first_port + count):
        await web.TCPSite(runner, "127.0.0.1", port, backlog=16).start()
    await asyncio.Event().wait()


def main() -> None:
    """Serve until stopped."""
    parser = argparse.ArgumentParser()
    parser.add_argument("first_port", type=int)
    parser.add_argument("count", type=int)
    arguments = parser.parse_args()
    uvloop.run(_serve(arguments.first_port, arguments.count))


if __name__ == "__main__":
    main()
