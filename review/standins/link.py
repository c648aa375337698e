"""Carry the connections of one host to one upstream, until the link is cut."""

from __future__ import annotations

import asyncio

from standins.addresses import parts, standin_address

CHUNK_BYTES = 65_536


class Link:
    """Forward connections to a target; a cut resets them and refuses new ones."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.address = standin_address()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        """Accept connections, from the start or after a cut."""
        self._server = await asyncio.start_server(self._serve, *parts(self.address))

    def cut(self) -> None:
        """Reset all connections, and refuse new ones."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection(*parts(self.target))
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        await asyncio.gather(_copy(reader, far_writer), _copy(far_reader, writer))
        self._writers -= {writer, far_writer}


async def _copy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    try:
        while chunk := await reader.read(CHUNK_BYTES):
            writer.write(chunk)
            await writer.drain()
    except OSError:
        pass
    finally:
        writer.transport.abort()
