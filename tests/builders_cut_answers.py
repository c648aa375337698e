"""Build answers in each framing, and break them off at any byte."""

import asyncio
import socket
import struct
from enum import Enum
from typing import NamedTuple

from tests.builders_platform import StandinUpstream

# Closing a socket that lingers for no time resets its connection.
RESETTING = struct.pack("ii", 1, 0)


class Framing(Enum):
    """Enumerate how an answer states where its body ends."""

    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"
    HTTP_1_0 = "http 1.0"
    INTERIM = "interim"

    @property
    def ends_with_connection(self):
        return self in (Framing.CLOSE, Framing.HTTP_1_0)


class CutEnd(Enum):
    """Enumerate how a connection ends."""

    ORDERLY = "orderly"
    RESET = "reset"


class FramedAnswer(NamedTuple):
    """Store the bytes of an answer, where its body begins, and its body."""

    data: bytes
    body_start: int
    body: bytes

    def body_until(self, framing, cut, end):
        """Return the whole body if an answer cut off here is complete, else None."""
        if not framing.ends_with_connection:
            return self.body if cut >= len(self.data) else None
        if end is CutEnd.RESET or cut < self.body_start:
            return None
        return self.data[self.body_start : cut]


def framed(framing, body, headers):
    """Return a successful answer; `headers` are lines that end in CRLF."""
    version, head, tail, interim = "1.1", headers, body, b""
    match framing:
        case Framing.LENGTH:
            head += f"Content-Length: {len(body)}\r\n"
        case Framing.CHUNKED:
            head += "Transfer-Encoding: chunked\r\nTrailer: Odd\r\n"
            half = len(body) // 2
            tail = b"".join(
                b"%x\r\n%b\r\n" % (len(piece), piece)
                for piece in (body[:half], body[half:])
            )
            tail += b"0\r\nOdd: 1\r\n\r\n"
        case Framing.CLOSE:
            head += "Connection: close\r\n"
        case Framing.HTTP_1_0:
            version = "1.0"
        case Framing.INTERIM:
            interim = b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
            interim += b"HTTP/1.1 100 Continue\r\n\r\n"
            head += f"Content-Length: {len(body)}\r\n"
    start = interim + f"HTTP/{version} 200 OK\r\n{head}\r\n".encode()
    return FramedAnswer(start + tail, len(start), body)


def platform_answer(framing, request, body):
    """Return an upstream's answer to a request; its length does not vary."""
    headers = (
        f"X-Burdockmill-Request-Id: {request['id']}\r\n"
        "X-Burdockmill-Server-Stamp: st.1\r\n"
    )
    return framed(framing, body, headers)


async def break_off(writer, data, end):
    """Write bytes, then end the connection."""
    if end is CutEnd.RESET:
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESETTING)
    writer.write(data)
    await writer.drain()
    if end is CutEnd.RESET:
        writer.transport.abort()
    else:
        writer.close()


class CutServer:
    """Break off one answer on each connection, whatever was asked for.

    `earlier` whole answers precede it on the connection.
    """

    def __init__(self, data, cut, end, earlier=()):
        self._data = data
        self._cut = cut
        self._end = end
        self._earlier = earlier
        self._server = None
        self.requests = 0
        self.address = ""

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self

    async def __aexit__(self, *_):
        self._server.close()

    async def _serve(self, reader, writer):
        try:
            for data in self._earlier:
                await self._read(reader)
                writer.write(data)
            await self._read(reader)
            await break_off(writer, self._data[: self._cut], self._end)
        finally:
            writer.close()

    async def _read(self, reader):
        head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        self.requests += 1
        _, _, length = head.partition("content-length: ")
        await reader.readexactly(int(length.partition("\r\n")[0] or 0))


class CuttingUpstream(StandinUpstream):
    """Break off the first answer to each request whose target names a cut.

    Such a target ends in `/FRAMING/CUT/END`. A cut after which an answer counts as
    complete is moved into its head. `seen` are the ids of the requests that
    arrived; upstreams may share them.
    """

    def __init__(self, upstream, body, seen):
        super().__init__(upstream, body)
        self.seen = seen
        self.script = self._cut

    async def _cut(self, _, request, writer):
        *_, framing, cut, end = request["target"].split("/")
        framing = Framing(framing.replace("%20", " "))
        whole = platform_answer(framing, request, self.body)
        is_first = request["id"] not in self.seen
        self.seen[request["id"]] += 1
        if is_first and int(cut) < len(whole.data):
            kept = int(cut)
            if whole.body_until(framing, kept, CutEnd(end)) is not None:
                kept = whole.body_start - 1
            await break_off(writer, whole.data[:kept], CutEnd(end))
            return True
        writer.write(whole.data)
        if framing.ends_with_connection:
            await writer.drain()
            return True
        return False
