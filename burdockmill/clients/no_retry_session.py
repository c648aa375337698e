"""Send HTTP requests to one address over pooled connections, without retries."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple, cast

from aiohttp import (
    ClientError,
    ClientPayloadError,
    ClientRequest,
    ClientResponse,
    hdrs,
)
from aiohttp.http import HttpProcessingError, StreamWriter
from multidict import CIMultiDict
from yarl import URL

from burdockmill.clients._reuse_checking_connector import NO_TIMEOUT
from burdockmill.clients._reuse_checking_handler import (
    RESPONSE_LIMIT_BYTES,
    ReuseCheckingHandler,
    discard_unread,
)
from burdockmill.clients._upstream_codec import WrongAnswerError
from burdockmill.clients.receive_budget import ReceiveBudget
from burdockmill.errors import free_frames
from burdockmill.forwarding.messages import Ownership

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from aiohttp.http import RawResponseMessage
    from aiohttp.streams import StreamReader

    from burdockmill.clients._reuse_checking_connector import ReuseCheckingConnector
    from burdockmill.names import Address

# Limits of a response's head; its whole size is bounded as overhead of the body.
FIELD_LIMIT_BYTES = 64 * 1024
HEADERS_LIMIT = 1_024
JSON = "application/json"
HEAD = "HEAD"
INTERIM_STATUSES = range(100, 200)
# No other status is an answer: the server that sends one is in trouble.
FINAL_STATUSES = range(200, 600)
NO_CONTENT_STATUSES = frozenset({204, 304})
KEEP_ALIVE = "Keep-Alive"
TIMEOUT_PREFIX = "timeout="
# All others are faults of this host, whose tracebacks are logged.
EXPECTED_ERRORS = (
    ClientError,
    HttpProcessingError,
    OSError,
    WrongAnswerError,
    asyncio.CancelledError,
)


class HttpResponse(NamedTuple):
    """Store the status, whole body and headers of a response."""

    status: int
    body: bytes
    headers: Mapping[str, str]


class NoRetrySession:
    """Write each request once; aiohttp's own session may resend it on an error."""

    def __init__(self, address: Address, connector: ReuseCheckingConnector) -> None:
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
        self,
        path: str,
        body: bytes,
        start_write: Callable[[], dict[str, str]],
        on_interim: Callable[[], None] | None = None,
        budget: ReceiveBudget | None = None,
    ) -> HttpResponse:
        """Post with headers from `start_write`; raise its errors or those of `get`.

        `on_interim` is called for each interim response. `budget` is as in `exchange`.
        """
        return await self.exchange(
            "POST",
            path,
            body,
            lambda: self._headers(body, start_write()),
            budget=budget,
            on_interim=on_interim,
        )

    async def get(
        self, path: str, headers: dict[str, str] | None = None
    ) -> HttpResponse:
        """Send a GET request; raise ClientError, OSError or WrongAnswerError."""
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
        start_write: Callable[[], CIMultiDict[str]],
        ownership: Callable[[Mapping[str, str]], Ownership] | None = None,
        budget: ReceiveBudget | None = None,
        needs_new_connection: bool = False,
        on_interim: Callable[[], None] | None = None,
    ) -> HttpResponse:
        """Send a request and return its response.

        `start_write` is called once a connection is available. It returns the request's
        headers, or raises to stop the request before anything is written. Responses
        that `ownership` assigns to another request are skipped. One that states no
        request is accepted unless earlier ones on its connection stated theirs.
        `budget` bounds the received bytes of all exchanges that share it.
        Raise ClientError, OSError, WrongAnswerError or the errors of `start_write`.
        """
        if needs_new_connection:
            connection = await self._connector.connect_new(self.route)
        else:
            connection = await self._connector.connect(self.route, [], NO_TIMEOUT)
        try:
            headers = start_write()
        except BaseException:
            connection.release()
            raise
        # The connector only creates handlers of this class.
        protocol = cast("ReuseCheckingHandler", connection.protocol)
        _expect_response(protocol, method)
        protocol.start_exchange(budget or ReceiveBudget())
        try:
            await self._write(protocol, method, target, headers, body)
            response = await self._read(protocol, ownership, on_interim)
            self._connector.record_idle_timeout(protocol.idle_timeout_s)
        except BaseException as error:
            connection.close()
            protocol.free_frames()
            failure = protocol.failure
            if failure is not None or isinstance(error, EXPECTED_ERRORS):
                free_frames(error)
            if failure is None or failure is error or not isinstance(error, Exception):
                raise
            # Once this host has closed the connection, other calls fail as well.
            raise failure from error
        finally:
            protocol.end_exchange()
        protocol.expects_response = False
        connection.release()
        return response

    def _headers(self, body: bytes, extra: dict[str, str]) -> CIMultiDict[str]:
        headers = CIMultiDict({hdrs.HOST: self._address, **extra})
        if body:
            headers[hdrs.CONTENT_TYPE] = JSON
            headers[hdrs.CONTENT_LENGTH] = str(len(body))
        return headers

    async def _write(
        self,
        protocol: ReuseCheckingHandler,
        method: str,
        target: str,
        headers: CIMultiDict[str],
        body: bytes,
    ) -> None:
        writer = StreamWriter(protocol, self._loop)
        await writer.write_headers(f"{method} {target} HTTP/1.1", headers)
        await writer.write_eof(body)

    async def _read(
        self,
        protocol: ReuseCheckingHandler,
        ownership: Callable[[Mapping[str, str]], Ownership] | None,
        on_interim: Callable[[], None] | None,
    ) -> HttpResponse:
        while True:
            try:
                message, payload = await protocol.read()
            except HttpProcessingError as error:
                raise ClientPayloadError(f"Malformed response: {error}.") from error
            if message.code in INTERIM_STATUSES:
                if on_interim is not None:
                    on_interim()
                continue
            if message.code not in FINAL_STATUSES:
                raise WrongAnswerError("status")
            body = await _read_body(protocol, message, payload)
            stated = Ownership.UNSTATED
            if ownership is not None:
                stated = ownership(message.headers)
            if stated is Ownership.UNSTATED and protocol.states_requests:
                raise WrongAnswerError("request id")
            protocol.states_requests = stated is not Ownership.UNSTATED
            if stated is not Ownership.OTHER:
                protocol.idle_timeout_s = _idle_timeout_s(message.headers)
                return HttpResponse(message.code, body, message.headers)


def _expect_response(protocol: ReuseCheckingHandler, method: str) -> None:
    protocol.set_response_params(
        skip_payload=method == HEAD,
        read_until_eof=True,
        auto_decompress=False,
        max_line_size=FIELD_LIMIT_BYTES,
        max_field_size=FIELD_LIMIT_BYTES,
        max_headers=HEADERS_LIMIT,
    )


async def _read_body(
    protocol: ReuseCheckingHandler,
    message: RawResponseMessage,
    payload: StreamReader,
) -> bytes:
    # Chunks are joined once, since a buffer that grows is copied time and again.
    chunks: list[bytes] = []
    try:
        while chunk := await payload.readany():
            chunks.append(chunk)
            protocol.body_bytes += len(chunk)
            if protocol.body_bytes > RESPONSE_LIMIT_BYTES:
                discard_unread(payload)
                raise WrongAnswerError("size")
        if protocol.was_reset and _is_close_delimited(message):
            raise ClientPayloadError("The connection was reset before the body's end.")
        return b"".join(chunks)
    finally:
        # The traceback of an error would keep the bytes in memory.
        chunks.clear()


def _is_close_delimited(message: RawResponseMessage) -> bool:
    has_length = hdrs.CONTENT_LENGTH in message.headers or message.chunked
    return not has_length and message.code not in NO_CONTENT_STATUSES


def _idle_timeout_s(headers: Mapping[str, str]) -> float | None:
    """Return the timeout of the Keep-Alive header, in seconds, or None."""
    for part in headers.get(KEEP_ALIVE, "").split(","):
        parameter = part.strip().lower()
        if parameter.startswith(TIMEOUT_PREFIX):
            try:
                return float(parameter.removeprefix(TIMEOUT_PREFIX))
            except ValueError:
                return None
    return None
