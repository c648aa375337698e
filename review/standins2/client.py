"""Stand in for clients: each request is one attempt with an id of its own."""

from __future__ import annotations

import asyncio
import uuid
from typing import NamedTuple

from review.standins2.http1 import read_message
from review.standins2.record import Record


class Answer(NamedTuple):
    """Describe how a client attempt ended; status 0 is a connection without answer."""

    request_id: str
    sent_ms: float
    ended_ms: float
    status: int
    headers: dict[str, str]
    body: bytes


async def ask(
    record: Record,
    address: str,
    host: str,
    path: str,
    deadline_ms: int = 3_000,
    method: str = "GET",
    body: bytes = b"",
) -> Answer:
    """Send one request on a new connection and return its answer."""
    ip, _, port = address.rpartition(":")
    request_id = uuid.uuid4().hex[:16]
    sent_ms = record.now_ms
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {host}",
        f"X-Burdockmill-Request-Id: {request_id}",
        f"X-Burdockmill-Deadline-Ms: {deadline_ms}",
    ]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    head = "\r\n".join([*lines, "", ""]).encode()
    writer = None
    status, headers, received = 0, {}, b""
    try:
        async with asyncio.timeout(deadline_ms / 1_000.0):
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write(head + body)
            answer = await read_message(reader, is_answer=True)
            if answer is not None:
                status = int(answer.first.split(" ")[1])
                headers, received = answer.headers, answer.body
    except (TimeoutError, OSError, asyncio.IncompleteReadError):
        pass
    finally:
        if writer is not None:
            writer.close()
    return Answer(request_id, sent_ms, record.now_ms, status, headers, received)
