"""Build JSON responses from results and errors."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from uuid import uuid4

import msgspec
from aiohttp import web
from loguru import logger

from burdockmill.errors import (
    BadRequestError,
    BodyTooLargeError,
    BurdockmillError,
    MethodNotAllowedError,
    Ran,
    UnknownPathError,
    free_frames,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from aiohttp.typedefs import Middleware

    from burdockmill.names import RequestId
    from burdockmill.surfaces.host_gateway import HostGateway

    Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

REQUEST_ID = web.RequestKey("request_id", str)
MILLISECONDS_PER_SECOND = 1_000


def json_response(body: object, status: int = 200) -> web.Response:
    """Return a response with `body` encoded as JSON."""
    return web.Response(
        body=msgspec.json.encode(body),
        status=status,
        content_type="application/json",
    )


def error_middleware(gateway: HostGateway, surface: str) -> Middleware:
    """Return middleware that sets request ids and turns errors into JSON."""

    @web.middleware
    async def handle_errors(
        request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        request_id = uuid4().hex
        request[REQUEST_ID] = request_id
        try:
            response = await handler(request)
        except (BurdockmillError, web.HTTPException) as raised:
            free_frames(raised)
            error = _as_burdockmill_error(request, raised)
            gateway.count_refusal(surface, error.kind)
            response = _refusal_response(raised, error, request_id)
        except Exception:
            logger.exception("request: {} failed with an internal error.", request_id)
            internal = BurdockmillError(
                "The request failed with an internal error.", ran=Ran.UNKNOWN
            )
            gateway.count_refusal(surface, internal.kind)
            response = error_response(internal, request_id)
        if gateway.stopping:
            response.force_close()
        return response

    return handle_errors


def error_response(error: BurdockmillError, request_id: RequestId) -> web.Response:
    """Return the JSON response of an error, with Retry-After in whole seconds."""
    response = json_response(error.body(request_id), error.status)
    if error.retry_after_ms is not None:
        seconds = math.ceil(error.retry_after_ms / MILLISECONDS_PER_SECOND)
        response.headers["Retry-After"] = str(seconds)
    return response


def health_routes(gateway: HostGateway) -> list[web.RouteDef]:
    """Return the routes for liveness and readiness."""

    async def livez(_: web.Request) -> web.Response:
        return json_response({"status": "live"})

    async def readyz(_: web.Request) -> web.Response:
        if gateway.ready:
            return json_response({"status": "ready"})
        return json_response({"status": "not_ready"}, status=503)

    return [web.get("/livez", livez), web.get("/readyz", readyz)]


def _refusal_response(
    raised: BurdockmillError | web.HTTPException,
    error: BurdockmillError,
    request_id: RequestId,
) -> web.Response:
    response = error_response(error, request_id)
    if isinstance(raised, web.HTTPMethodNotAllowed):
        response.headers["Allow"] = ",".join(sorted(raised.allowed_methods))
    return response


def _as_burdockmill_error(
    request: web.Request, error: BurdockmillError | web.HTTPException
) -> BurdockmillError:
    if isinstance(error, BurdockmillError):
        return error
    if isinstance(error, web.HTTPNotFound):
        return UnknownPathError(f"Nothing is served at {request.path}.")
    if isinstance(error, web.HTTPMethodNotAllowed):
        return MethodNotAllowedError(
            f"{request.path} does not accept {request.method}."
        )
    if isinstance(error, web.HTTPRequestEntityTooLarge):
        return BodyTooLargeError("The body exceeds the limit.")
    return BadRequestError(f"The request was refused: {error.reason}.")
