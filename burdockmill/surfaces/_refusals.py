"""Build responses for requests that are refused before a handler sees them."""

from __future__ import annotations

from http import HTTPStatus

import msgspec
from aiohttp import web

from burdockmill.errors import BurdockmillError, HeaderTooLargeError


def header_too_large(limit: int) -> HeaderTooLargeError:
    """Return the error for a path, headers or trailers above a limit."""
    return HeaderTooLargeError(f"The path or the headers exceed {limit} bytes.")


def refusal_response(error: BurdockmillError) -> web.Response:
    """Return the JSON response of an error."""
    return web.Response(
        body=msgspec.json.encode(error.body()),
        status=error.status,
        content_type="application/json",
    )


def raw_refusal(error: BurdockmillError) -> bytes:
    """Return an error's response as bytes; it ends the connection."""
    body = msgspec.json.encode(error.body())
    head = (
        f"HTTP/1.1 {error.status} {HTTPStatus(error.status).phrase}\r\n"
        "Content-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n"
        "Connection: close\r\n\r\n"
    )
    return head.encode() + body
