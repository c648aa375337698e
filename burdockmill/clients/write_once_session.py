"""Exchange requests with one address over pooled connections."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple, cast

from aiohttp import (
    ClientPayloadError,
    ClientRequest,
    ClientResponse,
    hdrs,
)
from aiohttp.http import HttpProcessingError, StreamWriter
from multidict import CIMultiDict
from yarl import URL

from burdockmill.clients._recent_first_connector import NO_TIMEOUT
from burdockmill.clients._upstream_codec import WrongAnswerError
from burdockmill.clients._watchful_handler import WatchfulHandler

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from aiohttp.http import RawResponseMessage
    from aiohttp.streams import StreamReader

    from burdockmill.clients._watchful_connector import WatchfulConnector
    from burdockmill.names import Address

ANSWER_LIMIT_BYTES = 8 * 1024 * 1024
JSON = "application/json"
HEAD = "HEAD"
FIRST_FINAL_STATUS = 200
NO_CONTENT_STATUSES = frozenset({204, 304})
KEEP_ALIVE = "Keep-Alive"
TIMEOUT_PREFIX = "timeout="


class Exchanged(NamedTuple):
    """Hold a response's status, whole body and headers."""

    status: int
    body: bytes
    headers: Mapping[str, str]


class WriteOnceSession:
    """Write each request once, without aiohttp's session, which may repeat it."""

    def __init__(self, address: Address, connector: WatchfulConnector) -> None:
        self._connector = connector
        self._address = address
        self._loop = asyncio.get_running_loop()
        self.route = ClientRequest(
            "POST",
            URL(f"http://{address}/"),
            loop=self._loop,
            response_class=ClientResponse,
        )

    async def post(
        self, path: str, body: bytes, allow: Callable[[], dict[str, str]]
    ) -> Exchanged:
        """Post once `allow` gives headers; raise what it does, or as `get` does."""
        return await self.exchange(
            "POST", path, body, lambda: self._headers(body, allow())
        )

    async def get(self, path: str, headers: dict[str, str] | None = None) -> Exchanged:
        """Get a path; raise ClientError, OSError or WrongAnswerError."""
        return await self.exchange(
            "GET", path, b"", lambda: self._headers(b"", headers or {})
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._connector.close()

    async def exchange(
        self,
        method: str,
        target: str,
        body: bytes,
        allow: Callable[[], CIMultiDict[str]],
        is_own: Callable[[Mapping[str, str]], bool] | None = None,
    ) -> Exchanged:
        """Write a request with the headers that `allow` gives; return its response.

        A response whose headers `is_own` rejects belongs to another request and is
        skipped. Raise ClientError, OSError, WrongAnswerError or what `allow` does.
        """
        connection = await self._connector.connect(self.route, [], NO_TIMEOUT)
        try:
            headers = allow()
        except BaseException:
            connection.release()
            raise
        # The connector makes no other kind of handler.
        protocol = cast("WatchfulHandler", connection.protocol)
        try:
            await self._write(protocol, method, target, headers, body)
            exchanged = await self._read(protocol, is_own)
            self._connector.learn_idle_limit(protocol.idle_limit_s)
        except BaseException:
            connection.close()
            raise
        protocol.expects_answer = False
        connection.release()
        return exchanged

    def _headers(self, body: bytes, allowed: dict[str, str]) -> CIMultiDict[str]:
        headers = CIMultiDict({hdrs.HOST: self._address, **allowed})
        if body:
            headers[hdrs.CONTENT_TYPE] = JSON
            headers[hdrs.CONTENT_LENGTH] = str(len(body))
        return headers

    async def _write(
        self,
        protocol: WatchfulHandler,
        method: str,
        target: str,
        headers: CIMultiDict[str],
        body: bytes,
    ) -> None:
        protocol.expects_answer = True
        protocol.set_response_params(
            skip_payload=method == HEAD, read_until_eof=True, auto_decompress=False
        )
        writer = StreamWriter(protocol, self._loop)
        await writer.write_headers(f"{method} {target} HTTP/1.1", headers)
        await writer.write_eof(body)

    async def _read(
        self,
        protocol: WatchfulHandler,
        is_own: Callable[[Mapping[str, str]], bool] | None,
    ) -> Exchanged:
        while True:
            try:
                message, payload = await protocol.read()
            except HttpProcessingError as error:
                raise ClientPayloadError(f"Malformed response: {error}.") from error
            if message.code < FIRST_FINAL_STATUS:
                continue
            body = await _whole_body(protocol, message, payload)
            if is_own is None or is_own(message.headers):
                protocol.idle_limit_s = _idle_limit_s(message.headers)
                return Exchanged(message.code, body, message.headers)


async def _whole_body(
    protocol: WatchfulHandler, message: RawResponseMessage, payload: StreamReader
) -> bytes:
    body = bytearray()
    while chunk := await payload.readany():
        body += chunk
        if len(body) > ANSWER_LIMIT_BYTES:
            raise WrongAnswerError("size")
    if protocol.was_reset and _ends_with_connection(message):
        raise ClientPayloadError("The connection was reset before the body's end.")
    return bytes(body)


def _ends_with_connection(message: RawResponseMessage) -> bool:
    has_length = hdrs.CONTENT_LENGTH in message.headers or message.chunked
    return not has_length and message.code not in NO_CONTENT_STATUSES


def _idle_limit_s(headers: Mapping[str, str]) -> float | None:
    """Return the idle timeout that a response states, in seconds."""
    for part in headers.get(KEEP_ALIVE, "").split(","):
        name = part.strip().lower()
        if name.startswith(TIMEOUT_PREFIX):
            try:
                return float(name.removeprefix(TIMEOUT_PREFIX))
            except ValueError:
                return None
    return None
