"""Serve forwarded requests of clients and the load balancer's readiness checks."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiohttp import web
from loguru import logger

from burdockmill.errors import BurdockmillError, Ran

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockmill.clock import Clock
    from burdockmill.forwarding.codecs import IngressCodec
    from burdockmill.forwarding.forwarder import Forwarder

READY_PATH = "/ready"
UNKNOWN_REQUEST_ID = ""


class Ingress:
    """Answer requests of clients by forwarding them."""

    def __init__(
        self,
        forwarder: Forwarder,
        codec: IngressCodec,
        clock: Clock,
        is_stopping: Callable[[], bool],
        count_refusal: Callable[[str], None],
    ) -> None:
        self.requests_in_flight = 0
        self._forwarder = forwarder
        self._codec = codec
        self._clock = clock
        self._is_stopping = is_stopping
        self._count_refusal = count_refusal

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request; its task is cancelled when the client disconnects."""
        self.requests_in_flight += 1
        try:
            response = await self._answer(request)
        finally:
            self.requests_in_flight -= 1
        if self._is_stopping():
            response.force_close()
        return response

    async def _answer(self, request: web.BaseRequest) -> web.Response:
        request_id = UNKNOWN_REQUEST_ID
        try:
            forwarded = await self._codec.read(request, self._clock.now_ms())
            request_id = forwarded.request_id
            result = await self._forwarder.forward(forwarded)
        except BurdockmillError as error:
            return self._refusal_response(error, request_id)
        except asyncio.CancelledError:
            raise
        except Exception:
            logger.exception("request: {} failed with an internal error.", request_id)
            internal = BurdockmillError(
                "The request failed with an internal error.", ran=Ran.UNKNOWN
            )
            return self._refusal_response(internal, request_id)
        return self._codec.response(result)

    def _refusal_response(
        self, error: BurdockmillError, request_id: str
    ) -> web.Response:
        self._count_refusal(error.kind)
        return self._codec.error_response(error, request_id)


def ready_app(is_ready: Callable[[], bool]) -> web.Application:
    """Return the application for the load balancer's readiness checks."""

    async def ready(_: web.Request) -> web.Response:
        return web.Response(status=200 if is_ready() else 503)

    app = web.Application()
    app.router.add_get(READY_PATH, ready)
    return app
