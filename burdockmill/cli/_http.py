"""Send requests to hosts over HTTP."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, NamedTuple

import aiohttp
import msgspec

from burdockmill.cli._output import EXIT_FAILURE, fail

if TYPE_CHECKING:
    from collections.abc import Mapping

    from burdockmill.names import Address

OK = 200
TIMEOUT_SECONDS = 5.0


class Reply(NamedTuple):
    """Store a reply's status and decoded body; status 0 if there was no reply."""

    address: Address
    status: int
    body: Any


class Request(NamedTuple):
    """Describe a GET request, or a POST of JSON if `body` is set."""

    address: Address
    path: str
    body: object = None
    headers: Mapping[str, str] = {}
    timeout_seconds: float = TIMEOUT_SECONDS


def send_all(requests: list[Request]) -> list[Reply]:
    """Send requests concurrently and return their replies in order."""
    return asyncio.run(_send_all(requests))


def send(request: Request) -> Reply:
    """Send a request and return its reply, or exit if there is none."""
    (reply,) = send_all([request])
    if reply.status == 0:
        fail(
            f"{request.address} does not answer: {reply.body}; check the address",
            status=EXIT_FAILURE,
        )
    return reply


async def _send_all(requests: list[Request]) -> list[Reply]:
    async with aiohttp.ClientSession() as session:
        return await asyncio.gather(*(_send(session, request) for request in requests))


async def _send(session: aiohttp.ClientSession, request: Request) -> Reply:
    method = "GET" if request.body is None else "POST"
    data = None if request.body is None else msgspec.json.encode(request.body)
    try:
        async with session.request(
            method,
            f"http://{request.address}{request.path}",
            data=data,
            headers=request.headers,
            timeout=aiohttp.ClientTimeout(total=request.timeout_seconds),
            allow_redirects=False,
        ) as response:
            body = msgspec.json.decode(await response.read())
            return Reply(request.address, response.status, body)
    except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as error:
        return Reply(request.address, 0, str(error) or type(error).__name__)
