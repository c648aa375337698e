"""Set a stand-in's faults over a separate control address."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypedDict, TypeVar

import msgspec
from aiohttp import web

from burdockmill.messages.platform import HostList
from burdockmill.standins.faults import Faults
from burdockmill.standins.platform import StandinPlatform
from burdockmill.standins.server import StandinServer, json_response
from burdockmill.standins.upstream import StandinUpstream

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

BAD_REQUEST = 400
NOT_FOUND = 404

SwitchesT = TypeVar("SwitchesT", "UpstreamSwitches", "PlatformSwitches")


class UpstreamSwitches(TypedDict, total=False):
    """Set an upstream's faults; omitted faults are off."""

    garbage: bool
    truncated: bool
    cut_hits: bool
    crossed: bool
    wrong_snapshot: bool
    drop_before_running: bool
    drop_after_running: bool
    slow_factor: float
    draining: bool
    drain_is_hard: bool
    shed_all: bool
    refuse_connections: bool


class PlatformSwitches(TypedDict, total=False):
    """Set the platform's faults; omitted faults are off."""

    absent: bool
    stale_revision: int
    stale_hosts: int


class StandinControl(StandinServer):
    """Serve a stand-in's control API.

    POST /standin/faults sets faults. GET /standin/log lists the attempts that an
    upstream ran. POST /standin/rules and /standin/hosts publish at a platform.
    """

    def __init__(self, server: StandinServer, port: int = 0) -> None:
        super().__init__(port)
        self._server = server

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        try:
            match (request.method, request.path):
                case ("POST", "/standin/faults"):
                    return await self._set_faults(request)
                case ("POST", "/standin/rules"):
                    return await self._update_platform(request, _publish)
                case ("POST", "/standin/hosts"):
                    return await self._update_platform(request, _set_hosts)
                case ("GET", "/standin/log"):
                    return self._log()
        except (msgspec.MsgspecError, UnicodeError, ValueError) as error:
            return json_response({"error": str(error)}, BAD_REQUEST)
        return web.Response(status=NOT_FOUND)

    async def _set_faults(self, request: web.BaseRequest) -> web.Response:
        body = await request.read()
        server = self._server
        if isinstance(server, StandinUpstream):
            set_upstream(server, _switches(body, UpstreamSwitches))
        elif isinstance(server, StandinPlatform):
            switches = _switches(body, PlatformSwitches)
            server.set_unavailable(switches.get("absent", False))
            server.serve_stale_config(switches.get("stale_revision"))
            server.serve_stale_hosts(switches.get("stale_hosts"))
        return json_response({"set": True})

    async def _update_platform(
        self,
        request: web.BaseRequest,
        update: Callable[[StandinPlatform, web.BaseRequest], Awaitable[None]],
    ) -> web.Response:
        if not isinstance(self._server, StandinPlatform):
            return web.Response(status=NOT_FOUND)
        await update(self._server, request)
        return json_response({"set": True})

    def _log(self) -> web.Response:
        if not isinstance(self._server, StandinUpstream):
            return web.Response(status=NOT_FOUND)
        return json_response([row._asdict() for row in self._server.log])


def set_upstream(server: StandinUpstream, switches: UpstreamSwitches) -> None:
    """Replace all faults; `refuse_connections` also aborts the open connections."""
    faults = {name: switches[name] for name in Faults._fields if name in switches}  # type: ignore[literal-required]
    server.faults = Faults(**faults)
    server.draining = switches.get("draining", False)
    server.drain_is_hard = switches.get("drain_is_hard", False)
    server.shed_all = switches.get("shed_all", False)
    server.connections.refuse_all = switches.get("refuse_connections", False)
    if server.connections.refuse_all:
        server.connections.abort_all()


def _switches(body: bytes, shape: type[SwitchesT]) -> SwitchesT:
    decoded = msgspec.json.decode(body, type=dict[str, Any])
    if unknown := sorted(decoded.keys() - shape.__annotations__.keys()):
        raise ValueError(f"unknown faults: {', '.join(unknown)}")
    return msgspec.convert(decoded, shape)


async def _publish(platform: StandinPlatform, request: web.BaseRequest) -> None:
    text = (await request.read()).decode()
    platform.publish(text, int(request.query.get("revision", "")))


async def _set_hosts(platform: StandinPlatform, request: web.BaseRequest) -> None:
    listed = msgspec.json.decode(await request.read(), type=HostList)
    platform.set_hosts(listed["hosts"], listed["leaving_upstreams"], listed["version"])
