"""Read the bodies of requests."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from burdockmill.errors import BodyTooLargeError
from burdockmill.surfaces._paced_handler import PacedHandler

if TYPE_CHECKING:
    from aiohttp import web

    from burdockmill.policies.json_values import JsonValueCount

# How much of a text that has arrived is counted in one iteration of the event loop.
COUNTED_BYTES = 262_144


async def read_body(
    request: web.BaseRequest, limit_bytes: int, values: JsonValueCount | None = None
) -> bytes:
    """Return a request's whole body; raise BodyTooLargeError above a limit.

    `values` counts the values of a JSON body while it arrives.
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
        if values is not None and values.exceeds_with(chunk):
            raise _too_many_values()
    return b"".join(chunks)


async def read_json(request: web.BaseRequest, limit_bytes: int) -> bytes:
    """Return a request's JSON body; raise BodyTooLargeError above a limit.

    That is also the limit for its values, which hold many times its bytes.
    """
    return await read_body(request, limit_bytes, _count_of(request))


async def check_values(request: web.BaseRequest, text: bytes) -> None:
    """Raise BodyTooLargeError if a JSON text has too many values to be decoded."""
    values = _count_of(request)
    if values is None:
        return
    for start in range(0, len(text), COUNTED_BYTES):
        if start:
            await asyncio.sleep(0)
        if values.exceeds_with(text[start : start + COUNTED_BYTES]):
            raise _too_many_values()


def _count_of(request: web.BaseRequest) -> JsonValueCount | None:
    protocol = request.protocol
    return protocol.count_values() if isinstance(protocol, PacedHandler) else None


def _too_many_values() -> BodyTooLargeError:
    return BodyTooLargeError("The body has too many values.")
