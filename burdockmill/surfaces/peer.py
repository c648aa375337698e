"""Serve other hosts: receive their batches, return explanations of requests."""

from __future__ import annotations

import asyncio
import hmac
from collections import Counter
from typing import TYPE_CHECKING

from aiohttp import web
from loguru import logger

from burdockmill.errors import WrongPeerKeyError
from burdockmill.messages.batch import BatchReply
from burdockmill.surfaces._batch_decoder import decode_batch
from burdockmill.surfaces._http import error_middleware, json_response
from burdockmill.surfaces.body import read_json

if TYPE_CHECKING:
    from burdockmill.surfaces._batch_decoder import DecodedBatch
    from burdockmill.surfaces.host_gateway import HostGateway

PEER_KEY_HEADER = "Peer-Key"
BATCH_LIMIT_BYTES = 64 * 1024 * 1024
PUT_ASIDE = "message_put_aside"
# Messages that can't be decoded are logged together, at most this often.
LOG_INTERVAL_S = 10.0
CAUSE_LIMIT = 200


class _PutAsideLog:
    """Count the messages that could not be decoded, and log them now and then."""

    def __init__(self, gateway: HostGateway) -> None:
        self._gateway = gateway
        self._unlogged: Counter[str] = Counter()
        self._next_log_s = 0.0

    def add(self, decoded: DecodedBatch) -> None:
        """Count the messages that a batch's decoding put aside."""
        for field, indexes in decoded.put_aside.items():
            self._unlogged[field] += len(indexes)
            for _ in indexes:
                self._gateway.count_refusal("peer", PUT_ASIDE)
        now_s = asyncio.get_running_loop().time()
        if now_s < self._next_log_s:
            return
        self._next_log_s = now_s + LOG_INTERVAL_S
        logger.warning(
            "peer: put messages aside that can't be decoded: {}; the last of {}, {}.",
            dict(self._unlogged),
            decoded.batch["sender"],
            decoded.cause[:CAUSE_LIMIT],
        )
        self._unlogged.clear()


def peer_app(gateway: HostGateway) -> web.Application:
    """Return the application for other hosts, which must send the peer key."""
    app = web.Application(
        middlewares=[error_middleware(gateway, "peer")],
    )
    expected = gateway.host_settings.peer_key.encode()
    put_aside_log = _PutAsideLog(gateway)

    async def receive_batch(request: web.Request) -> web.Response:
        check_peer_key(request, expected)
        decoded = decode_batch(await read_json(request, BATCH_LIMIT_BYTES))
        reply = BatchReply(accepted=gateway.receive_batch(decoded.batch))
        if decoded.put_aside:
            put_aside_log.add(decoded)
            reply["put_aside"] = decoded.put_aside
        return json_response(reply)

    async def explain(request: web.Request) -> web.Response:
        check_peer_key(request, expected)
        return json_response(gateway.explain(request.match_info["request_id"]))

    app.add_routes(
        [
            web.post("/peer/v1/batch", receive_batch),
            web.get("/peer/v1/explain/{request_id}", explain),
        ]
    )
    return app


def check_peer_key(request: web.Request, expected: bytes) -> None:
    """Raise WrongPeerKeyError unless the request has the expected key."""
    key = request.headers.get(PEER_KEY_HEADER, "").encode(errors="surrogateescape")
    if not hmac.compare_digest(key, expected):
        raise WrongPeerKeyError("The peer key does not match.")
