"""Build settings and configurations, and stand-ins of the store and upstreams."""

import asyncio
import json
from base64 import b64encode
from collections import Counter

from aiohttp import web

SETTINGS = """\
node-name=front-waw-a-1
role=host
ip=127.0.0.1
zone=waw-a
region=mazowsze
zones.waw-a=mazowsze
zones.krk-a=malopolska
listen.front=127.0.0.1:8226
listen.ready=127.0.0.1:8227
listen.control=127.0.0.1:8224
seeds=127.0.0.1:8224,127.0.0.2:8224
limits.memory-mb=300
bounds.drain-ms=3000
bounds.config-apply-ms=4000
bounds.grace-s=6
bounds.retry-ratio=0.2
bounds.retry-extra=58
bounds.retry-window-s=10
platform.address=127.0.0.1:8229
some.new-key=ignored
"""


def settings_of(ip, seeds, ingress, ready, peer, store, grace_s):
    """Return the settings of a host at some addresses."""
    replaced = {
        "ip=127.0.0.1": f"ip={ip}",
        "seeds=127.0.0.1:8224,127.0.0.2:8224": f"seeds={','.join(seeds)}",
        "127.0.0.1:8226": ingress,
        "127.0.0.1:8227": ready,
        "127.0.0.1:8224": peer,
        "127.0.0.1:8229": store,
        "grace-s=6": f"grace-s={grace_s}",
    }
    text = SETTINGS
    for before, after in replaced.items():
        text = text.replace(before, after)
    return text


def configuration_of(routes, services, version=7):
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "health-path": "/health", "max-conns": 26, "protocol": "h1"}
            for name in services
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 262144,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
    }


def search_route(services, **changes):
    return {
        "name": "r-search",
        "host": "leave.example",
        "prefix": "/overlap/",
        "type": "safe",
        "timeout-ms": 1200,
        "latency-goal-ms": 132.5,
        "priority": 1,
        "gather": services,
        "max-attempts": 2,
        "top-k": 10,
        "min-coverage": 0.5,
    } | changes


def single_route(service, **changes):
    return {
        "name": "r-single",
        "host": "leave.example",
        "prefix": "/fetch/",
        "type": "safe",
        "timeout-ms": 3000,
        "latency-goal-ms": 317,
        "priority": 2,
        "service": service,
        "max-attempts": 2,
    } | changes


def entry_of(service, address, **changes):
    return {
        "service": service,
        "address": address,
        "zone": "waw-a",
        "version": "v1",
        "slots": 2,
        "state": "ready",
        "cold-left-ms": 0,
        "seq-num": 4,
        "born": 1_784_828_135_565,
    } | changes


class StandinStore:
    """Store items by revision and serve range reads and watches over HTTP."""

    def __init__(self):
        self.revision = 1
        self.items = {}
        self.events = []
        self.kept_since = 0
        self.page = 500
        self.page_bytes = 1_000_000
        self.calls = 0
        self.refusal = None
        # None: answers state no era, as those of a store that never lost writes.
        self.era = None
        self.era_header = "Store-Era"
        self.calls_by_path = Counter()
        # None: answers are sent at once, else in pieces of this size.
        self.chunk_bytes = None
        self.chunk_interval_s = 0.0
        self._changed = asyncio.Event()
        self._runner = None
        self.address = ""

    def put(self, key, value):
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.put_text(key, b64encode(raw).decode())

    def put_text(self, key, text):
        self.revision += 1
        item = {"key": key, "value": text, "rev": self.revision, "lease": 0}
        self.items[key] = item | {"created": self.revision}
        self._publish(self.items[key])

    def remove(self, key):
        self.revision += 1
        del self.items[key]
        self._publish({"key": key, "rev": self.revision, "removed": True})

    def compact(self):
        self.kept_since = self.revision
        self.events.clear()
        self._notify_watches()

    def copy(self):
        """Return a copy of the state, to restart from with `restart_from`."""
        return self.revision, dict(self.items), list(self.events)

    def restart_from(self, copied):
        """Restart from a copy: later writes are lost, and the era rises."""
        self.revision, items, events = copied
        self.items, self.events = dict(items), list(events)
        self.era = (self.era or 0) + 1
        self._notify_watches()

    def _publish(self, event):
        self.events.append(event)
        self._notify_watches()

    def _notify_watches(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def __aenter__(self):
        self._runner = web.ServerRunner(web.Server(self._serve), shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        self.address = f"127.0.0.1:{self._runner.addresses[0][1]}"
        return self

    async def __aexit__(self, *_):
        self._notify_watches()
        await self._runner.cleanup()

    async def _serve(self, request):
        self.calls += 1
        self.calls_by_path[request.path] += 1
        if self.refusal == "reset":
            request.transport.abort()
            return web.Response()
        if self.refusal == "silent":
            await asyncio.sleep(60)
        if self.refusal is not None:
            return web.Response(status=self.refusal)
        if request.path == "/kv-range":
            response = self._range(request.query)
        else:
            response = await self._watch(request.query)
        if self.era is not None:
            response.headers[self.era_header] = str(self.era)
        if self.chunk_bytes is not None:
            return await self._send_in_pieces(request, response)
        return response

    async def _send_in_pieces(self, request, response):
        body = response.body
        slow = web.StreamResponse(headers=response.headers)
        slow.content_length = len(body)
        await slow.prepare(request)
        for start in range(0, len(body), self.chunk_bytes):
            await slow.write(body[start : start + self.chunk_bytes])
            await asyncio.sleep(self.chunk_interval_s)
        return slow

    def _range(self, query):
        keys = sorted(
            key
            for key in self.items
            if key.startswith(query["prefix"]) and key > query.get("after", "")
        )
        page = self._page_of(keys)
        return web.json_response(
            {
                "items": [self.items[key] for key in page],
                "has-more": len(keys) > len(page),
                "store-revision": self.revision,
            }
        )

    def _page_of(self, keys):
        """Return the first keys, as many as the pages of the store hold."""
        page, size = [], 0
        for key in keys[: self.page]:
            size += len(self.items[key]["value"])
            if page and size > self.page_bytes:
                break
            page.append(key)
        return page

    async def _watch(self, query):
        after = int(query["after"])
        if self.era is not None and after > self.revision:
            return web.Response(status=410)
        changed = self._changed
        if not self._after(after, query["prefix"]) and after >= self.kept_since:
            wait_s = int(query["wait-ms"]) / 1_000
            try:
                async with asyncio.timeout(wait_s):
                    await changed.wait()
            except TimeoutError:
                pass
        if after < self.kept_since or (self.era is not None and after > self.revision):
            return web.Response(status=410)
        return web.json_response(
            {
                "events": self._after(after, query["prefix"]),
                "store-revision": self.revision,
            }
        )

    def _after(self, after, prefix):
        return [
            one
            for one in self.events
            if one["rev"] > after and one["key"].startswith(prefix)
        ]


class StandinUpstream:
    """Answer on raw sockets; `script` may answer requests instead."""

    def __init__(self, upstream, body=b"body"):
        self.upstream = upstream
        self.body = body
        self.requests = []
        self.connections = 0
        self.closed = 0
        self.delay_s = 0.0
        self.script = None
        self._server = None
        self.address = ""

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self

    async def __aexit__(self, *_):
        self._server.close()

    def answer(self, request, body=None, status="200 OK", extra=""):
        body = self.body if body is None else body
        return (
            f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n"
            f"X-Burdockmill-Request-Id: {request['id']}\r\n"
            f"X-Burdockmill-Server-Stamp: st.{self.upstream}.{request['id']}\r\n"
            f"{extra}\r\n"
        ).encode() + body

    async def _serve(self, reader, writer):
        self.connections += 1
        try:
            while request := await self._read(reader):
                self.requests.append(request)
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if self.script is not None:
                    done = await self.script(self, request, writer)
                    if done:
                        return
                    continue
                if request["expected"] != self.upstream:
                    writer.write(self.answer(request, b"", "421 Misdirected Request"))
                    continue
                writer.write(self.answer(request))
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.closed += 1
            writer.close()

    async def _read(self, reader):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
        except asyncio.IncompleteReadError:
            return None
        line, *rest = head.rstrip().split("\r\n")
        headers = {}
        for one in rest:
            name, _, value = one.partition(": ")
            headers[name.lower()] = value
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        method, target, _ = line.split(" ")
        return {
            "method": method,
            "target": target,
            "headers": headers,
            "body": body,
            "id": headers.get("x-burdockmill-request-id"),
            "left_ms": int(headers.get("x-burdockmill-deadline-ms", "0")),
            "expected": headers.get("x-burdockmill-expect-instance"),
        }
