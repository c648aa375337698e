"""Simulate the platform: serve the configuration and host list to read and watch."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING, Generic, TypeVar

from aiohttp import web

from burdockmill.messages.platform import HostList, ListedHost, Manifest
from burdockmill.rules.chunks import make_manifest
from burdockmill.standins.server import (
    StandinServer,
    json_response,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from burdockmill.names import Revision, UpstreamId

MANIFEST_PATH = "/v1/config/manifest"
WATCH_PATH = "/v1/config/watch"
CHUNKS_PATH = "/v1/config/chunks"
HOSTS_PATH = "/v1/hosts"
HOSTS_WATCH_PATH = "/v1/hosts/watch"
NO_CONTENT = 204
BAD_REQUEST = 400
NOT_FOUND = 404
METHOD_NOT_ALLOWED = 405

ValueT = TypeVar("ValueT", Manifest, HostList)


class Published(Generic[ValueT]):
    """Store published values by number; serve the newest, or a stale one if set."""

    def __init__(self) -> None:
        self._value_by_number: dict[int, ValueT] = {}
        self._number = 0
        self._pinned: int | None = None
        self._changed = asyncio.Event()

    @property
    def newest(self) -> int:
        """Return the number published last; 0 before the first."""
        return self._number

    @property
    def number(self) -> int:
        """Return the number that is served; 0 before the first."""
        return self._number if self._pinned is None else self._pinned

    @property
    def value(self) -> ValueT | None:
        """Return the value that is served, or None if there is none."""
        return self._value_by_number.get(self.number)

    def put(self, number: int, value: ValueT) -> None:
        """Publish a value under its number and wake all watches."""
        self._value_by_number[number] = value
        self._number = number
        self._notify()

    def pin(self, number: int | None) -> None:
        """Serve an older number, or the newest if None."""
        self._pinned = number
        self._notify()

    async def wait_for_other(self, number: int, wait_ms: int) -> ValueT | None:
        """Return the value once its number is not `number`; None after `wait_ms`."""
        try:
            async with asyncio.timeout(wait_ms / 1000):
                while self.value is None or self.number == number:
                    await self._changed.wait()
        except TimeoutError:
            return None
        return self.value

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


class StandinPlatform(StandinServer):
    """Serve the platform API; `calls_by_path` counts requests, a watch as one."""

    def __init__(self, port: int = 0, delay_ms: float = 0.0) -> None:
        super().__init__(port)
        self.delay_ms = delay_ms
        self.calls_by_path: Counter[str] = Counter()
        self._config: Published[Manifest] = Published()
        self._hosts: Published[HostList] = Published()
        self._chunk_by_digest: dict[str, bytes] = {}

    def publish(self, text: str, revision: Revision) -> None:
        """Publish a rules text as the manifest and chunks of a revision."""
        manifest, chunk_by_digest = make_manifest(text, revision)
        self._chunk_by_digest |= chunk_by_digest
        self._config.put(revision, manifest)

    def set_hosts(
        self,
        hosts: Iterable[ListedHost],
        leaving_upstreams: Iterable[UpstreamId] = (),
        version: int | None = None,
    ) -> None:
        """Publish a host list; without a version, its version is the last plus one."""
        number = self._hosts.newest + 1 if version is None else version
        listed = HostList(
            version=number,
            hosts=list(hosts),
            leaving_upstreams=list(leaving_upstreams),
        )
        self._hosts.put(number, listed)

    def serve_stale_config(self, revision: Revision | None) -> None:
        """Serve an older revision, or the newest if None."""
        self._config.pin(revision)

    def serve_stale_hosts(self, version: int | None) -> None:
        """Serve an older host list, or the newest if None."""
        self._hosts.pin(version)

    def set_unavailable(self, absent: bool) -> None:
        """Refuse new connections and abort open ones, or serve again."""
        self.connections.refuse_all = absent
        if absent:
            self.connections.abort_all()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        path = request.path
        is_chunk = path.startswith(CHUNKS_PATH + "/")
        self.calls_by_path[CHUNKS_PATH if is_chunk else path] += 1
        if self.delay_ms > 0:
            await asyncio.sleep(self.delay_ms / 1000)
        if request.method != "GET":
            return web.Response(status=METHOD_NOT_ALLOWED)
        if is_chunk:
            return self._chunk(path.removeprefix(CHUNKS_PATH + "/"))
        if path == MANIFEST_PATH:
            return _read(self._config)
        if path == WATCH_PATH:
            return await _watch(request, self._config)
        if path == HOSTS_PATH:
            return _read(self._hosts)
        if path == HOSTS_WATCH_PATH:
            return await _watch(request, self._hosts)
        return web.Response(status=NOT_FOUND)

    def _chunk(self, digest: str) -> web.Response:
        chunk = self._chunk_by_digest.get(digest)
        if chunk is None:
            return web.Response(status=NOT_FOUND)
        return web.Response(body=chunk, content_type="text/plain", charset="utf-8")


def _read(published: Published[ValueT]) -> web.Response:
    if published.value is None:
        return web.Response(status=NOT_FOUND)
    return json_response(published.value)


async def _watch(
    request: web.BaseRequest, published: Published[ValueT]
) -> web.Response:
    try:
        after = int(request.query["after"])
        wait_ms = int(request.query["wait_ms"])
    except (KeyError, ValueError):
        return web.Response(status=BAD_REQUEST)
    value = await published.wait_for_other(after, wait_ms)
    return web.Response(status=NO_CONTENT) if value is None else json_response(value)
