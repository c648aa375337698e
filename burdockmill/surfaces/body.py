"""Read the bodies of requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.errors import BodyTooLargeError

if TYPE_CHECKING:
    from aiohttp import web


async def read_body(request: web.BaseRequest, limit_bytes: int) -> bytes:
    """Return a request's whole body; raise BodyTooLargeError above a limit.

    `web.Request.read` would decompress a body up to its limit in one step, before the
    connection's guard counts any of it.
    """
    body = bytearray()
    async for chunk in request.content.iter_any():
        body += chunk
        if len(body) > limit_bytes:
            raise BodyTooLargeError(f"The body exceeds {limit_bytes} bytes.")
    return bytes(body)
