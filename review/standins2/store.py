"""Stand in for the platform's store: range reads and watches over HTTP."""

from __future__ import annotations

import asyncio
import json
from base64 import b64encode
from typing import Any
from urllib.parse import parse_qs, urlsplit

from review.standins2.http1 import read_message


class Store:
    """Keep items by key, and every change since the start."""

    def __init__(self) -> None:
        self.address = ""
        self.revision = 1
        self._items: dict[str, dict[str, Any]] = {}
        self._events: list[dict[str, Any]] = []
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self, ip: str) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, ip, 0)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname()[:2])

    def put(self, key: str, value: object) -> None:
        """Write an item."""
        self.revision += 1
        text = b64encode(json.dumps(value).encode()).decode()
        created = self._items.get(key, {}).get("created", self.revision)
        item = {"key": key, "value": text, "rev": self.revision, "lease": 0}
        self._items[key] = item | {"created": created}
        self._publish(self._items[key])

    def remove(self, key: str) -> None:
        """Remove an item."""
        self.revision += 1
        del self._items[key]
        self._publish({"key": key, "rev": self.revision, "removed": True})

    def _publish(self, event: dict[str, Any]) -> None:
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while request := await read_message(reader):
                url = urlsplit(request.first.split(" ")[1])
                query = {name: one[0] for name, one in parse_qs(url.query).items()}
                status, answer = await self._answer(url.path, query)
                body = json.dumps(answer).encode()
                head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n"
                writer.write(f"{head}Content-Type: application/json\r\n\r\n".encode())
                writer.write(body)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, path: str, query: dict[str, str]) -> tuple[str, object]:
        if path == "/kv-key":
            item = self._items.get(query["key"])
            if item is None:
                return "404 Not Found", {"store-revision": self.revision}
            return "200 OK", item | {"store-revision": self.revision}
        if path == "/kv-range":
            return "200 OK", self._range(query)
        if path == "/kv-watch":
            return "200 OK", await self._watch(query)
        return "404 Not Found", {}

    def _range(self, query: dict[str, str]) -> object:
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(
            key for key in self._items if key.startswith(prefix) and key > after
        )
        return {
            "items": [self._items[key] for key in keys],
            "has-more": False,
            "store-revision": self.revision,
        }

    async def _watch(self, query: dict[str, str]) -> object:
        after, prefix = int(query["after"]), query.get("prefix", "")
        wait_s = int(query.get("wait-ms", "0")) / 1_000.0
        end_s = asyncio.get_running_loop().time() + wait_s
        while True:
            changed = self._changed
            events = [
                one
                for one in self._events
                if one["rev"] > after and one["key"].startswith(prefix)
            ]
            left_s = end_s - asyncio.get_running_loop().time()
            if events or left_s <= 0.0:
                return {"events": events, "store-revision": self.revision}
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                continue
