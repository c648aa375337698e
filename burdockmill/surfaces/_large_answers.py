"""Write large answers without a second copy of them."""

from __future__ import annotations

from contextlib import suppress

from aiohttp import web

LARGE_BODY_BYTES = 64 * 1024


async def send_large_head(
    request: web.BaseRequest, response: web.StreamResponse
) -> None:
    """Send the head of a response with a large body on its own.

    aiohttp joins a head that was not sent yet with the body, and the transport holds
    the result until the client has read it, beside the body of the response.
    """
    body = response.body if isinstance(response, web.Response) else None
    if not isinstance(body, bytes) or len(body) < LARGE_BODY_BYTES:
        return
    await response.prepare(request)
    # Writing the body meets the same error, which aiohttp handles.
    with suppress(ConnectionError):
        request.writer.send_headers()
