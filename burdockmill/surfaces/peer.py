"""Serve other hosts: receive their batches, return explanations of requests."""

from __future__ import annotations

import hmac
from typing import TYPE_CHECKING

import msgspec
from aiohttp import web

from burdockmill.errors import BadRequestError, WrongPeerKeyError
from burdockmill.messages.peer import PeerBatch
from burdockmill.surfaces._http import error_middleware, json_response

if TYPE_CHECKING:
    from burdockmill.surfaces.host_gateway import HostGateway

PEER_KEY_HEADER = "Peer-Key"
BATCH_LIMIT_BYTES = 64 * 1024 * 1024

_BATCH_DECODER = msgspec.json.Decoder(PeerBatch)


def peer_app(gateway: HostGateway) -> web.Application:
    """Return the application for other hosts, which must send the peer key."""
    app = web.Application(
        middlewares=[error_middleware(gateway, "peer")],
        client_max_size=BATCH_LIMIT_BYTES,
    )
    expected = gateway.host_settings.peer_key.encode()

    async def receive_batch(request: web.Request) -> web.Response:
        check_peer_key(request, expected)
        batch = _decode(await request.read())
        return json_response({"accepted": gateway.receive_batch(batch)})

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


def _decode(body: bytes) -> PeerBatch:
    try:
        batch = _BATCH_DECODER.decode(body)
    except (msgspec.MsgspecError, UnicodeError, RecursionError) as error:
        raise BadRequestError(f"The batch is malformed: {error}.") from error
    if not batch.get("sender"):
        raise BadRequestError("The batch has no sender.")
    return batch
