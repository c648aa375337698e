"""Read and write HTTP/1.1 messages on streams."""

from __future__ import annotations

import asyncio
from typing import NamedTuple


class Message(NamedTuple):
    """Store the first line, the headers in lower case and the body of a message."""

    first: str
    headers: dict[str, str]
    body: bytes


async def read_message(
    reader: asyncio.StreamReader, *, is_answer: bool = False
) -> Message | None:
    """Return the next message, or None if the connection ends before it.

    Raise IncompleteReadError if it ends within one.
    """
    while True:
        head = await _read_head(reader)
        if head is None:
            return None
        first, headers = head
        if is_answer and first.split(" ")[1].startswith("1"):
            continue
        return Message(first, headers, await _read_body(reader, headers, is_answer))


async def _read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]] | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise
    first, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def _read_body(
    reader: asyncio.StreamReader, headers: dict[str, str], is_answer: bool
) -> bytes:
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int(await reader.readline(), 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
        return body
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if is_answer else b""
