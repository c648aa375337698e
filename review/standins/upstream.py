"""Stand in for an upstream (a back end) of one service."""

from __future__ import annotations

import asyncio
import time
from typing import Any

from standins import http1
from standins.addresses import parts, standin_address
from standins.record import Record

QUEUE = 24
KEEP_ALIVE_S = 30
RECORD_BYTES = 16


class Upstream:
    """Run requests in a few slots, and register in the store as the pages describe."""

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        record: Record,
        *,
        slots: int = 6,
        work_s: float = 0.02,
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.address = standin_address()
        self.work_s = work_s
        self.leaving = False
        self.runs: list[tuple[float, str]] = []
        self.seq = 0
        self.born = int(time.time() * 1_000)
        self._record = record
        self._slots = slots
        self._free = asyncio.Semaphore(slots)
        self._waiting = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def key(self) -> str:
        """Return the key of the registration in the store."""
        return f"servers/{self.name}"

    def entry(self, state: str = "ready", **changes: Any) -> dict[str, Any]:  # noqa: ANN401
        """Return the registration."""
        self.seq += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self._slots,
            "state": state,
            "cold-left-ms": 0,
            "seq-num": self.seq,
            "born": self.born,
        } | changes

    async def open(self) -> None:
        """Start to serve."""
        self._server = await asyncio.start_server(self._serve, *parts(self.address))

    def close(self) -> None:
        """Stop serving and close all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await http1.read_message(reader)) is not None:
                response = await self._answer(request)
                writer.write(response)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _answer(self, request: http1.Message) -> bytes:
        method, target, _ = request.start.split()
        own = {"Keep-Alive": f"timeout={KEEP_ALIVE_S}"}
        if self.leaving:
            own["Server-Leaving"] = "1"
        request_id = request.headers.get("x-burdockmill-request-id", "")
        if target == "/health":
            own["X-Burdockmill-Instance-Id"] = self.name
            status = 503 if self.leaving else 200
            return http1.encode(f"HTTP/1.1 {status} -", own)
        expected = request.headers.get("x-burdockmill-expect-instance", self.name)
        if expected != self.name:
            self._record.add(self.name, f"421 for {request_id}, meant for {expected}")
            own["X-Burdockmill-Instance-Id"] = self.name
            return http1.encode("HTTP/1.1 421 -", own)
        if not request_id:
            own["X-Burdockmill-Not-Executed"] = "1"
            return http1.encode("HTTP/1.1 400 -", own)
        own["X-Burdockmill-Request-Id"] = request_id
        if self._waiting >= QUEUE:
            own["X-Burdockmill-Not-Executed"] = "1"
            return http1.encode("HTTP/1.1 503 -", own)
        self._waiting += 1
        async with self._free:
            self._waiting -= 1
            now_s = self._record.now_s()
            self.runs.append((now_s, request_id))
            self._record.add(self.name, f"runs {request_id} ({method} {target})")
            await asyncio.sleep(self.work_s)
        own["X-Burdockmill-Server-Stamp"] = f"{self.name}.{len(self.runs)}"
        body = f"{self.name} ran {request_id}".ljust(2 * RECORD_BYTES).encode()
        return http1.encode("HTTP/1.1 200 OK", own, body)
