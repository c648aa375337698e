"""Run requests that other hosts received from their clients and handed over."""

from __future__ import annotations

import asyncio
import math
from collections import Counter
from typing import TYPE_CHECKING

from aiohttp import web
from loguru import logger

from burdockmill.errors import BadRequestError, BurdockmillError, Ran
from burdockmill.forwarding.messages import ForwardedRequest
from burdockmill.messages.actions import LogDecision
from burdockmill.policies.relay_admission import admits
from burdockmill.relay.messages import (
    RELAY_PATH,
    WAITED_HEADER,
    CatalogVersion,
    RelayReply,
    ReplyKind,
    decode_request,
    encode,
    reply_of,
)
from burdockmill.surfaces.peer import check_peer_key

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockmill.clock import Clock
    from burdockmill.forwarding.forwarder import Forwarder
    from burdockmill.relay.messages import RelayedRequest
    from burdockmill.world import World


class RelayServer:
    """Run the requests of other entries here, and never hand them on."""

    def __init__(
        self,
        forwarder: Forwarder,
        world: World,
        clock: Clock,
        peer_key: str,
        is_stopping: Callable[[], bool],
        log: Callable[[LogDecision, float], None],
    ) -> None:
        self.counts: Counter[str] = Counter()
        self.requests_in_flight = 0
        self._forwarder = forwarder
        self._world = world
        self._clock = clock
        self._peer_key = peer_key.encode()
        self._is_stopping = is_stopping
        self._log = log

    def routes(self) -> list[web.RouteDef]:
        """Return the routes to add to the application for other hosts."""
        return [web.post(RELAY_PATH, self._handle)]

    async def _handle(self, request: web.Request) -> web.Response:
        """Answer one request; its task is cancelled when its entry disconnects."""
        check_peer_key(request, self._peer_key)
        relayed, body = decode_request(await request.read())
        waited_ms = _waited_ms(request.headers.get(WAITED_HEADER, "0"))
        forwarded = _forwarded(relayed, body, waited_ms, self._clock.now_ms())
        reason = self._reason_to_decline(relayed, forwarded)
        if reason:
            return self._decline(relayed, reason)
        self.counts["accepted"] += 1
        self.requests_in_flight += 1
        try:
            reply, data = await self._run(forwarded, relayed.attempts_limit)
        finally:
            self.requests_in_flight -= 1
        return web.Response(body=encode(reply, data))

    async def _run(
        self, forwarded: ForwardedRequest, attempts_limit: int
    ) -> tuple[RelayReply, bytes]:
        try:
            result = await self._forwarder.forward(forwarded, attempts_limit)
        except BurdockmillError as error:
            return reply_of(error, self._catalog())
        except asyncio.CancelledError:
            raise
        except Exception:
            logger.exception("relay: {} failed inside.", forwarded.request_id)
            internal = BurdockmillError(
                "The request failed with an internal error.", ran=Ran.UNKNOWN
            )
            return reply_of(internal, self._catalog())
        return reply_of(result, self._catalog())

    def _reason_to_decline(
        self, relayed: RelayedRequest, forwarded: ForwardedRequest
    ) -> str:
        """Return why nothing of the request is run here, or an empty string."""
        world = self._world
        tables = world.catalog.tables
        if self._is_stopping():
            return "it is stopping"
        if world.reach.is_isolated:
            return "it reaches no upstream"
        # An older configuration may allow what the entry's no longer does.
        if tables is None or tables.version < relayed.version:
            return "its configuration is older"
        try:
            rank = self._forwarder.route_of(forwarded).rank
        except BurdockmillError:
            # The run reports it with its own error.
            return ""
        return "" if admits(rank, self.requests_in_flight) else "it is busy"

    def _decline(self, relayed: RelayedRequest, reason: str) -> web.Response:
        self.counts["declined"] += 1
        inputs = {"entry": relayed.entry, "in_flight": self.requests_in_flight}
        decision = LogDecision(
            "relay", relayed.request_id, "declined", reason, inputs=inputs
        )
        self._log(decision, self._clock.now_ms())
        reply = RelayReply(ReplyKind.DECLINED, self._catalog(), detail=reason)
        return web.Response(body=encode(reply, b""))

    def _catalog(self) -> CatalogVersion:
        catalog = self._world.catalog
        return CatalogVersion(catalog.version, catalog.era, catalog.revision)


def _forwarded(
    relayed: RelayedRequest, body: bytes, waited_ms: float, now_ms: float
) -> ForwardedRequest:
    return ForwardedRequest(
        relayed.request_id,
        relayed.method,
        relayed.host,
        relayed.target,
        relayed.headers,
        body,
        now_ms,
        now_ms + max(0.0, relayed.remaining_ms - waited_ms),
        relayed.spent_ms + waited_ms,
        relayed.caller,
        relayed.entry,
        relayed.is_counted,
    )


def _waited_ms(text: str) -> float:
    try:
        waited_ms = float(text)
    except ValueError as error:
        raise BadRequestError(f"The header {WAITED_HEADER} is not a number.") from error
    if not math.isfinite(waited_ms):
        raise BadRequestError(f"The header {WAITED_HEADER} is not finite.")
    return max(0.0, waited_ms)
