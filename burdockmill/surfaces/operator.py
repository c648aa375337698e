"""Serve operators: metrics, health, status and explanations."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypedDict

import msgspec
from aiohttp import web

from burdockmill.errors import BadRequestError
from burdockmill.surfaces._http import error_middleware, health_routes, json_response
from burdockmill.surfaces.body import read_json

if TYPE_CHECKING:
    from burdockmill.surfaces.host_gateway import HostGateway


BODY_LIMIT_BYTES = 1024 * 1024


class BlockedHosts(TypedDict):
    """List the hosts to partition from this one; an empty list ends the partition."""

    blocked_hosts: list[str]


def operator_app(gateway: HostGateway) -> web.Application:
    """Return the application for operators, to be served on its own address."""
    app = web.Application(middlewares=[error_middleware(gateway, "operator")])

    async def metrics(request: web.Request) -> web.Response:
        accept = tuple(request.headers.getall("Accept", []))
        body, content_type = gateway.metrics_text(accept)
        return web.Response(body=body, headers={"Content-Type": content_type})

    async def explain(request: web.Request) -> web.Response:
        request_id = request.match_info["request_id"]
        return json_response(await gateway.explain_with_owners(request_id))

    async def status(_: web.Request) -> web.Response:
        return json_response(gateway.status())

    async def block(request: web.Request) -> web.Response:
        blocked = _decode_blocked(await read_json(request, BODY_LIMIT_BYTES))
        gateway.block_hosts(frozenset(blocked["blocked_hosts"]))
        return json_response(blocked)

    if gateway.host_settings.fault_switch:
        app.router.add_post("/v1/faults", block)
    app.add_routes(
        [
            web.get("/metrics", metrics),
            web.get("/v1/explain/{request_id}", explain),
            web.get("/v1/status", status),
            *health_routes(gateway),
        ]
    )
    return app


def _decode_blocked(body: bytes) -> BlockedHosts:
    try:
        return msgspec.json.decode(body, type=BlockedHosts)
    except (msgspec.MsgspecError, UnicodeError) as error:
        raise BadRequestError(f"The body is malformed: {error}.") from error
