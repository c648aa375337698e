"""Stand in for a back end: answer requests, and register in the store."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from collections.abc import Callable
from typing import NamedTuple

from review.standins2.addresses import free_port
from review.standins2.http1 import Message, read_message
from review.standins2.record import Record
from review.standins2.store import Store

HEARTBEAT_S = 1.2
# An entry is removed after three heartbeat intervals of silence.
SILENCE_S = 3.0 * HEARTBEAT_S
FILLING_CONNECTIONS = 8


class Arrival(NamedTuple):
    """Describe a request that reached a back end; `at_ms` is of the record."""

    at_ms: float
    backend: str
    service: str
    request_id: str
    target: str
    method: str
    body: bytes
    has_run: bool


class Backend:
    """Answer each request after its work; `answer` may be replaced by a case."""

    def __init__(
        self, name: str, service: str, zone: str, ip: str, store: Store, record: Record
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.ip = ip
        self.port = free_port(ip)
        self.work_s = 0.01
        self.slots = 16
        self.state = "ready"
        self.arrivals: list[Arrival] = []
        # When it ended, in milliseconds of the record.
        self.ends_ms: list[float] = []
        self.born = int(time.time() * 1_000)
        self.extra_headers: Callable[[], str] = lambda: ""
        # Whether a request is shed, as if all slots and the queue were taken.
        self.sheds: Callable[[], bool] = lambda: False
        # Whether a request ends the back end that begins to run it.
        self.crashes: Callable[[str], bool] = lambda target: False
        self.restart_s = 3.0
        # How long it runs such a request before it ends.
        self.crash_after_s = 0.0
        # Whether its machine loses power when it ends: its connections fall silent.
        self.ends_silently = False
        self._held_sockets: list[socket.socket] = []
        self._store = store
        self._record = record
        self._server: asyncio.Server | None = None
        self._beating: asyncio.Task[None] | None = None
        self._seq = 0
        self._boots = 1
        self._name = name
        self._writers: set[asyncio.StreamWriter] = set()
        self._restarting: asyncio.Task[None] | None = None
        self.answered = 0

    @property
    def address(self) -> str:
        """Return the address on which it listens."""
        return f"{self.ip}:{self.port}"

    @property
    def key(self) -> str:
        """Return the key of its entry in the store."""
        return f"servers/{self.name}"

    def entry(self) -> dict[str, object]:
        """Return its entry in the store."""
        self._seq += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold-left-ms": 0,
            "seq-num": self._seq,
            "born": self.born,
        }

    async def start(self) -> None:
        """Listen, register and begin to write heartbeats."""
        self._server = await asyncio.start_server(self._serve, self.ip, self.port)
        self._store.put(self.key, self.entry())
        self._beating = asyncio.create_task(self._beat())

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self._store.put(self.key, self.entry())

    def crash(self) -> None:
        """End at once; start again after `restart_s` as a new boot with a new id."""
        assert self._server is not None
        assert self._beating is not None
        self._record.add(f"{self.name} ends")
        self.ends_ms.append(self._record.now_ms)
        self._beating.cancel()
        self._server.close()
        if self.ends_silently:
            self._fall_silent()
        else:
            self._abort_connections()
        self._restarting = asyncio.create_task(self._restart())

    def _abort_connections(self) -> None:
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()

    def _fall_silent(self) -> None:
        """Keep connections open without a word; let new ones get no reply."""
        for writer in self._writers:
            writer.transport.pause_reading()
        listening = socket.socket()
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.bind((self.ip, self.port))
        listening.listen(0)
        self._held_sockets.append(listening)
        # The kernel accepts a few connections; beyond these it does not reply.
        for _ in range(FILLING_CONNECTIONS):
            filling = socket.socket()
            filling.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filling.connect((self.ip, self.port))
            self._held_sockets.append(filling)

    async def _restart(self) -> None:
        ended_key = self.key
        await asyncio.sleep(self.restart_s)
        self._abort_connections()
        for held in self._held_sockets:
            held.close()
        self._held_sockets.clear()
        self._boots += 1
        self.name = f"{self._name}-{self._boots}"
        self.born = int(time.time() * 1_000)
        self._seq = 0
        await self.start()
        self._record.add(f"{self.name} has started")
        await asyncio.sleep(max(0.0, SILENCE_S - self.restart_s))
        self._store.remove(ended_key)

    def report(self, state: str) -> None:
        """Write a changed state to the store now."""
        self.state = state
        self._store.put(self.key, self.entry())
        self._record.add(f"store confirms {self.name} {state}")

    def deregister(self) -> None:
        """Remove the entry, and write no more heartbeats."""
        if self._beating is not None:
            self._beating.cancel()
        self._store.remove(self.key)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while request := await read_message(reader):
                await self._answer(request, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request: Message, writer: asyncio.StreamWriter) -> None:
        assert self._server is not None
        method, target, _ = request.first.split(" ")
        headers = request.headers
        request_id = headers.get("x-burdockmill-request-id", "")
        if target == "/health":
            status = "200 OK" if self.state == "ready" else "503 Unavailable"
            self._write(writer, status, f"X-Burdockmill-Instance-Id: {self.name}\r\n")
            return
        expected = headers.get("x-burdockmill-expect-instance", self.name)
        at_ms = self._record.now_ms
        runs = expected == self.name and not self.sheds()
        self.arrivals.append(
            Arrival(
                at_ms,
                self.name,
                self.service,
                request_id,
                target,
                method,
                request.body,
                runs,
            )
        )
        own = f"X-Burdockmill-Request-Id: {request_id}\r\n"
        if expected != self.name:
            self._write(writer, "421 Misdirected Request", own)
            return
        if not runs:
            own += "X-Burdockmill-Not-Executed: 1\r\n"
            self._write(writer, "503 Service Unavailable", own)
            return
        if self.crashes(target):
            name = self.name
            self._record.add(f"{name} begins to run {request_id} {target}")
            await asyncio.sleep(self.crash_after_s)
            if name == self.name and self._server.is_serving():
                self.crash()
            return
        await asyncio.sleep(self.work_s)
        self.answered += 1
        stamp = f"{self.name}.{request_id}.{self.answered}"
        own += f"X-Burdockmill-Server-Stamp: {stamp}\r\n{self.extra_headers()}"
        self._write(writer, "200 OK", own, self.name.ljust(16).encode()[:16])
        await writer.drain()

    def _write(
        self, writer: asyncio.StreamWriter, status: str, own: str, body: bytes = b""
    ) -> None:
        head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n{own}\r\n"
        writer.write(head.encode() + body)
