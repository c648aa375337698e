"""Read and write HTTP/1.1 messages over asyncio streams."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

HEAD_LIMIT_BYTES = 65_536


class Message(NamedTuple):
    """Store a request or response; header names are in lower case."""

    start: str
    headers: dict[str, str]
    body: bytes


async def read_message(
    reader: asyncio.StreamReader, *, until_eof: bool = False
) -> Message | None:
    """Return the next message, or None if the connection ended before it.

    `until_eof` is whether a message without a length ends with its connection.
    Raise ConnectionError if it ends within a message.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionError("the head is incomplete") from error
        return None
    start, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers: dict[str, str] = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    try:
        body = await _read_body(reader, headers, until_eof=until_eof)
    except asyncio.IncompleteReadError as error:
        raise ConnectionError("the body is incomplete") from error
    return Message(start, headers, body)


async def _read_body(
    reader: asyncio.StreamReader, headers: dict[str, str], *, until_eof: bool
) -> bytes:
    if "chunked" in headers.get("transfer-encoding", "").lower():
        pieces = []
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            pieces.append(await reader.readexactly(size))
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
        return b"".join(pieces)
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if until_eof else b""


def encode(start: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a message with a Content-Length."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body
