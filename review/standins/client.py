"""Stand in for clients: each attempt has its own id."""

from __future__ import annotations

import asyncio
import itertools
from typing import NamedTuple

from standins import http1
from standins.addresses import parts
from standins.record import Record

_numbers = itertools.count(1)


class Answer(NamedTuple):
    """Store how an attempt ended; `status` is 0 without an answer."""

    request_id: str
    sent_s: float
    status: int
    headers: dict[str, str]
    body: bytes
    took_s: float


class Client:
    """Send requests to one host over a connection that is kept open."""

    def __init__(self, name: str, address: str, record: Record) -> None:
        self.name = name
        self._address = address
        self._record = record
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def send(
        self,
        host: str,
        path: str,
        *,
        method: str = "GET",
        body: bytes = b"",
        deadline_ms: int = 2_000,
    ) -> Answer:
        """Send one attempt and wait for its answer until its deadline."""
        request_id = f"{self.name}-{next(_numbers):05d}"
        sent_s = self._record.now_s()
        message: http1.Message | None = None
        headers = {
            "Host": host,
            "X-Burdockmill-Request-Id": request_id,
            "X-Burdockmill-Deadline-Ms": str(deadline_ms),
        }
        detail = ""
        try:
            async with asyncio.timeout(deadline_ms / 1_000 + 0.5):
                if self._streams is None:
                    self._streams = await asyncio.open_connection(*parts(self._address))
                reader, writer = self._streams
                writer.write(http1.encode(f"{method} {path} HTTP/1.1", headers, body))
                message = await http1.read_message(reader)
        except (OSError, TimeoutError) as error:
            detail = f" ({type(error).__name__})"
        took_s = self._record.now_s() - sent_s
        status = 0 if message is None else int(message.start.split()[1])
        if message is None or message.headers.get("connection") == "close":
            self.close()
        self._record.add(
            self.name,
            f"{request_id} sent at {sent_s:.3f} to {self._address} {method} {path}: "
            f"{status}{detail} after {took_s * 1_000:.0f} ms "
            f"{'' if message is None else message.body[:60]!r}",
        )
        if message is None:
            return Answer(request_id, sent_s, 0, {}, b"", took_s)
        return Answer(request_id, sent_s, status, message.headers, message.body, took_s)

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].transport.abort()
            self._streams = None
