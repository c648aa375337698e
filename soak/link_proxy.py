"""Forward connections over the loopback, and harm them."""

from __future__ import annotations

import asyncio
import random
import socket
from contextlib import suppress

from soak.garbling import GARBLED_ANSWERS, GARBLED_BATCHES, garble

CHUNK_BYTES = 65_536
GARBLED = (GARBLED_BATCHES, GARBLED_ANSWERS)
SLOW_S = 0.15
TRICKLE_BYTES, TRICKLE_S = 8, 0.02
# Connections beyond those that fill a listening socket's queue hang.
FILLING_CONNECTIONS = 4


def fill_queue(address: str) -> list[socket.socket]:
    """Let further connections to an address hang; return the sockets that do it."""
    host, port = address.split(":")
    listening = socket.socket()
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listening.bind((host, int(port)))
    listening.listen(0)
    sockets = [listening]
    for _ in range(FILLING_CONNECTIONS):
        filling = socket.socket()
        filling.setblocking(False)
        filling.connect_ex((host, int(port)))
        sockets.append(filling)
    return sockets


async def send(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Write data; raise OSError if the connection has ended."""
    if writer.is_closing():
        raise ConnectionResetError("The connection has ended.")
    writer.write(data)
    await writer.drain()


class LinkProxy:
    """Forward all connections to one address, until a fault is put in.

    Each connection carries answers at `bytes_per_s` if that is not 0.
    """

    def __init__(self, address: str, target: str, bytes_per_s: float = 0.0) -> None:
        self.address = address
        self.target = target
        self._bytes_per_s = bytes_per_s
        self._how = ""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._changed = asyncio.Event()
        # Faults that overlap are put in and taken out one after the other.
        self._changing = asyncio.Lock()
        self._sockets: list[socket.socket] = []
        self._rng = random.Random(target)

    async def open(self) -> None:
        """Listen for connections."""
        host, port = self.address.split(":")
        self._server = await asyncio.start_server(
            self._serve, host, int(port), reuse_address=True
        )

    async def close(self) -> None:
        """Close all connections."""
        self._stop_listening()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._abort_all()

    async def harm(self, how: str) -> None:
        """Put a fault in, in place of the one that was there."""
        async with self._changing:
            await self._heal()
            self._put_in(how)

    async def heal(self) -> None:
        """Take the fault out."""
        async with self._changing:
            await self._heal()

    def _put_in(self, how: str) -> None:
        self._set(how)
        if how in ("hang", "refuse", "cut"):
            self._stop_listening()
        if how == "hang":
            self._sockets += fill_queue(self.address)
        if how in ("reset", "cut"):
            self._abort_all()
        if how == "half_close":
            for writer in list(self._writers):
                with suppress(OSError, RuntimeError):
                    writer.write_eof()

    async def _heal(self) -> None:
        self._set("")
        for one in self._sockets:
            one.close()
        self._sockets.clear()
        if self._server is None:
            await self.open()

    def _set(self, how: str) -> None:
        self._how = how
        self._changed.set()
        self._changed = asyncio.Event()

    def _stop_listening(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None

    def _abort_all(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._how == "reset":
            writer.transport.abort()
            return
        host, port = self.target.split(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        writers = (writer, target_writer)
        self._writers.update(writers)
        loop = asyncio.get_running_loop()
        ways = [
            loop.create_task(self._forward(reader, target_writer, False)),
            loop.create_task(self._forward(target_reader, writer, True)),
        ]
        for way in ways:
            self._tasks.add(way)
            way.add_done_callback(self._tasks.discard)
        await asyncio.wait(ways)
        for one in writers:
            one.close()
            self._writers.discard(one)

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_answer: bool,
    ) -> None:
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                await self._wait_while_blocked(is_answer)
                if is_answer and self._bytes_per_s:
                    await asyncio.sleep(len(chunk) / self._bytes_per_s)
                is_cut = False
                if self._how in GARBLED:
                    chunk, is_cut = garble(self._how, chunk, self._rng)
                await self._write(writer, chunk)
                if is_cut:
                    raise ConnectionAbortedError
            writer.write_eof()
        except (OSError, RuntimeError):
            # One end was reset, or is cut off, so the other one is.
            writer.transport.abort()

    async def _wait_while_blocked(self, is_answer: bool) -> None:
        while self._how == "hang" or (self._how == "one_way" and is_answer):
            await self._changed.wait()

    async def _write(self, writer: asyncio.StreamWriter, chunk: bytes) -> None:
        if self._how == "slow":
            await asyncio.sleep(SLOW_S)
        while self._how == "trickle" and chunk:
            await send(writer, chunk[:TRICKLE_BYTES])
            chunk = chunk[TRICKLE_BYTES:]
            await asyncio.sleep(TRICKLE_S)
        await send(writer, chunk)
