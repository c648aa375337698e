"""Serve forwarded requests of clients and the load balancer's readiness checks."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, cast

from aiohttp import web
from loguru import logger

from burdockmill.errors import BurdockmillError, Ran, StoppingError, free_frames
from burdockmill.policies.late_admission import RETRY_AFTER_MS

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockmill.clock import Clock
    from burdockmill.forwarding.codecs import IngressCodec
    from burdockmill.forwarding.forwarder import Forwarder
    from burdockmill.forwarding.messages import ForwardedRequest
    from burdockmill.surfaces._bounded_handler import BoundedHandler

MILLISECONDS_PER_SECOND = 1_000
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
        self._read_until_ms: float | None = None
        self._reading: set[asyncio.Timeout] = set()

    def read_until(self, end_ms: float) -> None:
        """Refuse the requests whose bodies have not arrived by a clock time."""
        self._read_until_ms = end_ms
        for limit in self._reading:
            limit.reschedule(self._loop_time_s(end_ms))

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request; its task is cancelled when the client disconnects."""
        self.requests_in_flight += 1
        try:
            response = await self._answer(request)
        finally:
            self.requests_in_flight -= 1
        protocol = cast("BoundedHandler", request.protocol)
        if self._is_stopping() and not protocol.has_next:
            response.force_close()
        return response

    async def _answer(self, request: web.BaseRequest) -> web.Response:
        request_id = UNKNOWN_REQUEST_ID
        try:
            forwarded = await self._read(request)
            request_id = forwarded.request_id
            result = await self._forwarder.forward(forwarded)
            return self._codec.response(result)
        except BurdockmillError as error:
            free_frames(error)
            return self._refusal_response(error, request_id)
        except asyncio.CancelledError:
            raise
        except Exception:
            logger.exception("request: {} failed with an internal error.", request_id)
            internal = BurdockmillError(
                "The request failed with an internal error.", ran=Ran.UNKNOWN
            )
            return self._refusal_response(internal, request_id)

    async def _read(self, request: web.BaseRequest) -> ForwardedRequest:
        now_ms = self._clock.now_ms()
        if not request.body_exists:
            return await self._codec.read(request, now_ms)
        end_ms = self._read_until_ms
        limit = asyncio.timeout_at(
            None if end_ms is None else self._loop_time_s(end_ms)
        )
        try:
            async with limit:
                self._reading.add(limit)
                return await self._codec.read(request, now_ms)
        except TimeoutError as error:
            raise StoppingError(
                "This host stopped before the whole request had arrived.",
                retry_after_ms=RETRY_AFTER_MS,
            ) from error
        finally:
            self._reading.discard(limit)

    def _loop_time_s(self, clock_ms: float) -> float:
        """Return a time of the host's clock as one of the event loop's."""
        in_ms = clock_ms - self._clock.now_ms()
        return asyncio.get_running_loop().time() + in_ms / MILLISECONDS_PER_SECOND

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
