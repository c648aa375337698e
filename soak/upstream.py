"""Run a stand-in of an upstream as a process; it writes what arrives, line by line.

A line `leave` on its standard input makes it say that it is leaving; `limit 5` makes it
name a limit of five requests a second, and reject those beyond it; `limit 0` ends that.
A request whose target contains DEADLY ends the process. WORK and a number at the end of
a target are the milliseconds that the request takes; few of these are taken at once.
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import os
import sys
import time
from collections import deque
from http import HTTPStatus
from typing import NamedTuple

OK = HTTPStatus.OK
# An upstream rejects what is far beyond its limit in one second.
LIMIT_FACTOR = 3
RECORDS, RECORD_BYTES = 12, 16
HEAD_END = b"\r\n\r\n"
DEADLY = "deadly"
WORK = "-work-"
# How many requests that state their work run at once; others are rejected meanwhile.
WORK_SLOTS = 24
MILLISECONDS_PER_SECOND = 1_000


class Request(NamedTuple):
    """One request as it was read."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def id(self) -> str:
        """Return the id that its client gave it."""
        return self.headers.get("x-burdockmill-request-id", "")

    @property
    def work_ms(self) -> int | None:
        """Return how long the request states that it takes, None if it does not."""
        _, _, stated = self.target.partition(WORK)
        return int(stated) if stated.isdigit() else None


def answer_of(service: str, method: str, target: str, body: bytes) -> bytes:
    """Return the records of a service for a request; the same at each upstream."""
    seed = b"|".join([service.encode(), method.encode(), target.encode(), body])
    digests = (hashlib.sha256(seed + bytes([one])).digest() for one in range(RECORDS))
    return b"".join(digest[:RECORD_BYTES] for digest in digests)


class Upstream:
    """Serve one service at one address."""

    def __init__(self, name: str, service: str, work_ms: float) -> None:
        self._name = name
        self._service = service
        self._work_ms = work_ms
        self._is_leaving = False
        self._limit_per_s = 0
        self._taken_ms: deque[float] = deque()
        self._working = 0

    async def run(self, address: str) -> None:
        """Serve until the process ends."""
        host, port = address.split(":")
        server = await asyncio.start_server(
            self._serve, host, int(port), reuse_address=True
        )
        asyncio.get_running_loop().add_reader(sys.stdin, self._read_command)
        print(json.dumps({"started": self._name}), flush=True)
        async with server:
            await server.serve_forever()

    def _read_command(self) -> None:
        line = sys.stdin.readline()
        if not line:
            asyncio.get_running_loop().remove_reader(sys.stdin)
        match line.split():
            case ["leave"]:
                self._is_leaving = True
            case ["limit", limit_per_s]:
                self._limit_per_s = int(limit_per_s)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while request := await _read(reader):
                status = self._status_of(request)
                self._write_line(request, status is OK)
                if DEADLY in request.target and status is OK:
                    os._exit(1)
                if status is OK:
                    await self._work(request)
                writer.write(self._answer(request, status))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _work(self, request: Request) -> None:
        stated_ms = request.work_ms
        self._working += stated_ms is not None
        try:
            work_ms = self._work_ms if stated_ms is None else stated_ms
            await asyncio.sleep(work_ms / MILLISECONDS_PER_SECOND)
        finally:
            self._working -= stated_ms is not None

    def _status_of(self, request: Request) -> HTTPStatus:
        expected = request.headers.get("x-burdockmill-expect-instance", self._name)
        if expected != self._name:
            return HTTPStatus.MISDIRECTED_REQUEST
        if request.work_ms is not None and self._working >= WORK_SLOTS:
            return HTTPStatus.SERVICE_UNAVAILABLE
        return OK if self._takes_one_more() else HTTPStatus.TOO_MANY_REQUESTS

    def _takes_one_more(self) -> bool:
        """Return whether a request is within the limit of the last second."""
        if not self._limit_per_s:
            return True
        now_ms = time.monotonic() * MILLISECONDS_PER_SECOND
        while self._taken_ms and self._taken_ms[0] < now_ms - MILLISECONDS_PER_SECOND:
            self._taken_ms.popleft()
        self._taken_ms.append(now_ms)
        return len(self._taken_ms) <= LIMIT_FACTOR * self._limit_per_s

    def _answer(self, request: Request, status: HTTPStatus) -> bytes:
        body = b""
        if status is OK:
            body = answer_of(
                self._service, request.method, request.target, request.body
            )
        lines = [
            f"HTTP/1.1 {status.value} {status.phrase}",
            f"Content-Length: {len(body)}",
            f"X-Burdockmill-Request-Id: {request.id}",
            f"X-Burdockmill-Server-Stamp: {self._name}.{request.id}",
        ]
        if status is not OK:
            lines.append("X-Burdockmill-Not-Executed: 1")
        if self._is_leaving:
            lines.append("Server-Leaving: 1")
        if self._limit_per_s:
            lines.append(f"Server-Limit: {self._limit_per_s}")
        return "\r\n".join(lines).encode() + HEAD_END + body

    def _write_line(self, request: Request, ran: bool) -> None:
        line = {
            "at_ms": time.monotonic() * 1_000,
            "upstream": self._name,
            "service": self._service,
            "id": request.id,
            "method": request.method,
            "target": request.target,
            "body": request.body.decode("latin-1"),
            "left_ms": float(request.headers.get("x-burdockmill-deadline-ms", -1)),
            "ran": ran,
        }
        print(json.dumps(line), flush=True)


async def _read(reader: asyncio.StreamReader) -> Request | None:
    try:
        head = (await reader.readuntil(HEAD_END)).decode("latin-1")
    except asyncio.IncompleteReadError:
        return None
    first, *rest = head.rstrip().split("\r\n")
    headers = {}
    for line in rest:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    method, target, _ = first.split(" ")
    return Request(method, target, headers, body)


if __name__ == "__main__":
    asyncio.run(Upstream(sys.argv[1], sys.argv[2], float(sys.argv[4])).run(sys.argv[3]))
