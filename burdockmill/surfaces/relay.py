"""Run requests that other hosts received from their clients and handed over."""

from __future__ import annotations

import asyncio
import math
from collections import Counter
from typing import TYPE_CHECKING

from aiohttp import web
from loguru import logger

from burdockmill.errors import BadRequestError, BurdockmillError, Ran, free_frames
from burdockmill.forwarding.messages import ForwardedRequest
from burdockmill.messages.actions import LogDecision
from burdockmill.policies.relay_admission import reason_to_decline
from burdockmill.relay.messages import (
    CONFIRMATION,
    RELAY_PATH,
    WAITED_HEADER,
    CatalogVersion,
    RelayReply,
    ReplyKind,
    decode_request,
    encode,
    reply_of,
)
from burdockmill.relay.upstream_facts import FACTS_HEADER, encode_facts
from burdockmill.surfaces.body import check_values, read_body
from burdockmill.surfaces.peer import BATCH_LIMIT_BYTES, check_peer_key

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockmill.clock import Clock
    from burdockmill.forwarding.forwarder import Forwarder
    from burdockmill.relay.messages import RelayedRequest
    from burdockmill.relay.upstream_facts import UpstreamFact
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
        data = await read_body(request, BATCH_LIMIT_BYTES)
        # What follows the first line is the client's body, as it was sent.
        await check_values(request, data[: data.find(b"\n")])
        relayed, body = decode_request(data)
        waited_ms = _waited_ms(request.headers.get(WAITED_HEADER, "0"))
        forwarded = _forwarded(relayed, body, waited_ms, self._clock.now_ms())
        reason = reason_to_decline(
            self._world,
            self._is_stopping(),
            relayed.version,
            self._rank_of(forwarded),
            self.requests_in_flight,
        )
        if reason:
            return web.Response(body=encode(self._declined(relayed, reason), b""))
        self.counts["accepted"] += 1
        if relayed.confirms:
            await self._confirm(request)
        self.requests_in_flight += 1
        facts: list[UpstreamFact] = []
        try:
            reply, data = await self._run(forwarded, relayed, facts)
        finally:
            self.requests_in_flight -= 1
        headers = {FACTS_HEADER: encode_facts(facts)} if facts else {}
        return web.Response(body=encode(reply, data), headers=headers)

    async def _confirm(self, request: web.Request) -> None:
        """Tell the entry that its request was taken over, before it is answered."""
        await request.writer.write(CONFIRMATION)
        # The answer's head has not been written yet.
        request.writer.output_size = 0

    async def _run(
        self,
        forwarded: ForwardedRequest,
        relayed: RelayedRequest,
        facts: list[UpstreamFact],
    ) -> tuple[RelayReply, bytes]:
        try:
            result = await self._forwarder.forward(
                forwarded, relayed.attempts_limit, facts
            )
        except BurdockmillError as error:
            free_frames(error)
            if error.ran is Ran.NO and self._world.reach.is_isolated:
                reason = "it has lost its upstreams"
                return self._declined(relayed, reason), b""
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

    def _rank_of(self, forwarded: ForwardedRequest) -> int:
        try:
            return self._forwarder.route_of(forwarded).rank
        except BurdockmillError:
            # The run reports that there is no route.
            return 0

    def _declined(self, relayed: RelayedRequest, reason: str) -> RelayReply:
        """Return the reply that nothing of a request has run here; log why."""
        self.counts["declined"] += 1
        inputs = {"entry": relayed.entry, "in_flight": self.requests_in_flight}
        decision = LogDecision(
            "relay", relayed.request_id, "declined", reason, inputs=inputs
        )
        self._log(decision, self._clock.now_ms())
        return RelayReply(ReplyKind.DECLINED, self._catalog(), detail=reason)

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
