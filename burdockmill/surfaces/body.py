"""Read the bodies of requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.errors import BodyTooLargeError
from burdockmill.surfaces._paced_handler import PacedHandler

if TYPE_CHECKING:
    from aiohttp import web


async def read_body(request: web.BaseRequest, limit_bytes: int) -> bytes:
    """Return a request's whole body; raise BodyTooLargeError above a limit.

    `web.Request.read` would decompress a body up to its limit in one step, before the
    connection's guard counts any of it.
    """
    # Chunks are joined once, since a buffer that grows is copied time and again.
    chunks: list[bytes] = []
    size_bytes = 0
    async for chunk in request.content.iter_any():
        chunks.append(chunk)
        size_bytes += len(chunk)
        if size_bytes > limit_bytes:
            raise BodyTooLargeError(f"The body exceeds {limit_bytes} bytes.")
    return b"".join(chunks)


async def read_json(request: web.BaseRequest, limit_bytes: int) -> bytes:
    """Return a request's JSON body; raise BodyTooLargeError above a limit."""
    body = await read_body(request, limit_bytes)
    check_values(request, body)
    return body


def check_values(request: web.BaseRequest, text: bytes) -> None:
    """Raise BodyTooLargeError if a JSON text has too many values to be decoded.

    They hold many times its bytes, so the connection's guard limits them.
    """
    protocol = request.protocol
    if isinstance(protocol, PacedHandler) and not protocol.can_decode(text):
        raise BodyTooLargeError("The body has too many values.")
