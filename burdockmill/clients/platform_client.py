"""Read and watch the configuration and host list that the platform publishes."""

from __future__ import annotations

import asyncio
import hashlib
import re
from collections import Counter
from typing import TYPE_CHECKING, TypeVar

import msgspec
from aiohttp import ClientError, TCPConnector

from burdockmill.clients._session import open_session
from burdockmill.errors import PlatformAnswerError, PlatformUnreachableError
from burdockmill.messages.platform import HostList, Manifest

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from aiohttp import ClientResponse, ClientSession

    from burdockmill.clock import Clock
    from burdockmill.names import Address, Revision

    Reply = TypeVar("Reply")

READ_TIMEOUT_MS = 2_000
MILLISECONDS_PER_SECOND = 1_000
VALUE_LIMIT_BYTES = 1024 * 1024
OK = 200
NO_CONTENT = 204
DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")

_MANIFEST_DECODER = msgspec.json.Decoder(Manifest)
_HOSTS_DECODER = msgspec.json.Decoder(HostList)


class PlatformClient:
    """Read from one platform address, or the next after a failure; count reads."""

    def __init__(self, addresses: Sequence[Address], clock: Clock) -> None:
        self.counts: Counter[str] = Counter()
        self.last_read_ms: float | None = None
        self._addresses = tuple(addresses)
        self._clock = clock
        self._address_index = 0
        self._session: ClientSession | None = None

    async def read_manifest(self) -> Manifest:
        """Return the manifest; raise PlatformUnreachableError."""
        return await self._read("/v1/config/manifest", _parse_manifest)

    async def watch_manifest(self, after: Revision, wait_ms: int) -> Manifest | None:
        """Return a manifest of a revision other than `after`; None after `wait_ms`."""
        path = f"/v1/config/watch?after={after}&wait_ms={wait_ms}"
        return await self._read(path, _or_none(_parse_manifest), wait_ms)

    async def read_chunk(self, digest: str) -> str:
        """Return the chunk with this digest; raise PlatformUnreachableError."""
        if not DIGEST_PATTERN.fullmatch(digest):
            raise PlatformAnswerError(f"'{digest}' is not a SHA-256 digest.")

        def parse(body: bytes) -> str:
            return _parse_chunk(digest, body)

        return await self._read(f"/v1/config/chunks/{digest}", parse)

    async def read_hosts(self) -> HostList:
        """Return the host list; raise PlatformUnreachableError."""
        return await self._read("/v1/hosts", _parse_hosts)

    async def watch_hosts(self, after: int, wait_ms: int) -> HostList | None:
        """Return a host list of a version other than `after`; None after `wait_ms`."""
        path = f"/v1/hosts/watch?after={after}&wait_ms={wait_ms}"
        return await self._read(path, _or_none(_parse_hosts), wait_ms)

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def _read(
        self, path: str, parse: Callable[[bytes], Reply], wait_ms: int = 0
    ) -> Reply:
        failures = []
        for _ in range(len(self._addresses)):
            address = self._addresses[self._address_index]
            try:
                return parse(await self._read_from(address, path, wait_ms))
            except (TimeoutError, ClientError, OSError, PlatformAnswerError) as error:
                self.counts["failed_reads"] += 1
                failures.append(f"{address}: {error or type(error).__name__}")
                self._address_index = (self._address_index + 1) % len(self._addresses)
        detail = "; ".join(failures) or "no address is configured"
        raise PlatformUnreachableError(
            f"No platform address answered: {detail.rstrip('.')}."
        )

    async def _read_from(self, address: Address, path: str, wait_ms: int) -> bytes:
        self.counts["reads"] += 1
        timeout_s = (READ_TIMEOUT_MS + wait_ms) / MILLISECONDS_PER_SECOND
        async with (
            asyncio.timeout(timeout_s),
            self._get_session().get(
                f"http://{address}{path}", allow_redirects=False
            ) as response,
        ):
            body = await _read_bounded(response)
        self.last_read_ms = self._clock.now_ms()
        return body

    def _get_session(self) -> ClientSession:
        if self._session is None:
            self._session = open_session(TCPConnector(use_dns_cache=False))
        return self._session


async def _read_bounded(response: ClientResponse) -> bytes:
    if response.status == NO_CONTENT:
        return b""
    if response.status != OK:
        raise PlatformAnswerError(f"The platform answered {response.status}.")
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > VALUE_LIMIT_BYTES:
            raise PlatformAnswerError("The platform's value exceeds 1 MiB.")
    return bytes(body)


def _parse_manifest(body: bytes) -> Manifest:
    return _decode(_MANIFEST_DECODER, body)


def _parse_hosts(body: bytes) -> HostList:
    return _decode(_HOSTS_DECODER, body)


def _parse_chunk(digest: str, body: bytes) -> str:
    if hashlib.sha256(body).hexdigest() != digest:
        raise PlatformAnswerError(
            f"The content of chunk {digest} does not match its digest."
        )
    try:
        return body.decode()
    except UnicodeDecodeError as error:
        raise PlatformAnswerError(f"Chunk {digest} is not UTF-8.") from error


def _or_none(parse: Callable[[bytes], Reply]) -> Callable[[bytes], Reply | None]:
    return lambda body: parse(body) if body else None


def _decode(decoder: msgspec.json.Decoder[Reply], body: bytes) -> Reply:
    try:
        return decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeError) as error:
        raise PlatformAnswerError(
            f"The platform's value is malformed: {error}."
        ) from error
