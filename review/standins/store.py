"""Stand in for the platform's metadata store."""

from __future__ import annotations

import asyncio
import json
from base64 import b64encode
from typing import Any
from urllib.parse import parse_qs, urlsplit

from standins import http1
from standins.addresses import parts, standin_address
from standins.record import Record

ITEMS_PER_PAGE = 500
ANSWER_DELAY_S = 0.004
JSON = {"Content-Type": "application/json"}


class Store:
    """Serve items by revision: range reads and watches, as the pages describe."""

    def __init__(self, record: Record) -> None:
        self.address = standin_address()
        self.down = False
        self.calls = 0
        self._record = record
        self._revision = 100
        self._items: dict[str, dict[str, Any]] = {}
        self._events: list[dict[str, Any]] = []
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        """Start to serve."""
        self._server = await asyncio.start_server(self._serve, *parts(self.address))

    def close(self) -> None:
        """Stop serving and close all connections."""
        if self._server is not None:
            self._server.close()
        self._reset()

    def put(self, key: str, value: bytes | dict[str, Any]) -> int:
        """Write an item; return its revision."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._revision += 1
        item = {
            "key": key,
            "value": b64encode(raw).decode(),
            "rev": self._revision,
            "created": self._items.get(key, {}).get("created", self._revision),
            "lease": 0,
        }
        self._items[key] = item
        self._tell(item)
        self._record.add("store", f"{key} written, revision {self._revision}")
        return self._revision

    def remove(self, key: str) -> None:
        """Remove an item."""
        self._revision += 1
        del self._items[key]
        self._tell({"key": key, "rev": self._revision, "removed": True})
        self._record.add("store", f"{key} removed, revision {self._revision}")

    def set_down(self, down: bool) -> None:
        """Refuse or serve all calls; waiting watches are cut."""
        self.down = down
        if down:
            self._reset()
        self._record.add("store", "down" if down else "up")

    def _reset(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    def _tell(self, event: dict[str, Any]) -> None:
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await http1.read_message(reader)) is not None:
                self.calls += 1
                status, body = await self._answer(request.start.split()[1])
                writer.write(
                    http1.encode(
                        f"HTTP/1.1 {status} -", JSON, json.dumps(body).encode()
                    )
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _answer(self, target: str) -> tuple[int, dict[str, Any]]:
        await asyncio.sleep(ANSWER_DELAY_S)
        if self.down:
            return 503, {}
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/kv-range":
            return 200, self._range(query)
        if url.path == "/kv-watch":
            return await self._watch(query)
        item = self._items.get(query.get("key", ""))
        if url.path == "/kv-key" and item is not None:
            return 200, {**item, "store-revision": self._revision}
        return 404, {}

    def _range(self, query: dict[str, str]) -> dict[str, Any]:
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(
            key for key in self._items if key.startswith(prefix) and key > after
        )
        return {
            "items": [self._items[key] for key in keys[:ITEMS_PER_PAGE]],
            "has-more": len(keys) > ITEMS_PER_PAGE,
            "store-revision": self._revision,
        }

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        prefix, after = query.get("prefix", ""), int(query["after"])
        if after > self._revision:
            return 410, {}
        loop = asyncio.get_running_loop()
        end_s = loop.time() + int(query["wait-ms"]) / 1_000
        while True:
            changed = self._changed
            events = [
                event
                for event in self._events
                if event["rev"] > after and event["key"].startswith(prefix)
            ]
            if events or loop.time() >= end_s:
                return 200, {"events": events, "store-revision": self._revision}
            try:
                async with asyncio.timeout_at(end_s):
                    await changed.wait()
            except TimeoutError:
                pass
