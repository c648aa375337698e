"""Send requests on kept connections as the users' clients do, and some badly."""

from __future__ import annotations

import asyncio
import itertools
import json
import random
import time
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

from soak.records import ClientAttempt, Route
from soak.upstream import WORK

OK = 200
HEAD_END = b"\r\n\r\n"
PROMISES = frozenset({408, 421, 429, 503})
TIME_LIMIT_MS_BY_ROUTE = {
    Route.SEARCH: 1_200.0,
    Route.SINGLE: 2_000.0,
    Route.ONCE: 2_000.0,
    Route.MOVED: 2_000.0,
}
WEIGHT_BY_ROUTE = {Route.SEARCH: 5, Route.SINGLE: 2, Route.ONCE: 2, Route.MOVED: 2}
WEIGHT_BY_MANNER = {"whole": 88, "slow": 4, "leaves": 5, "broken": 3}
THINK_S = 0.08
SLOW_PIECE_S = 0.05
# A client that leaves does so within this time.
LEAVE_S = 0.05
# After its time limit a client waits a little for an answer that is on its way.
GRACE_S = 0.6
RETRIES = 1
BROKEN = b"GET /overlap/x HTTP/1.1\r\nHost leave.example\r\n\r\n"


class Traffic(NamedTuple):
    """How often each route is asked, and what for.

    A request that may run once has a time limit out of `once_limits_ms`, and is worked
    on for a time out of `once_work_ms`; 0 is the usual time.
    """

    weight_by_route: Mapping[Route, float] = WEIGHT_BY_ROUTE
    once_limits_ms: Sequence[float] = (TIME_LIMIT_MS_BY_ROUTE[Route.ONCE],)
    once_work_ms: Sequence[int] = (0,)
    clients_per_host: int = 3


# Many requests that may run once, of which some are at work when a host is lost.
PROMISE_TRAFFIC = Traffic(
    {Route.ONCE: 12, Route.SINGLE: 2, Route.SEARCH: 2, Route.MOVED: 1},
    (900.0, 2_000.0),
    (0, 100, 300, 600),
    clients_per_host=6,
)


class Answer(NamedTuple):
    """A whole answer as it was read."""

    status: int
    headers: dict[str, list[str]]
    body: bytes

    @property
    def stamps(self) -> tuple[str, ...]:
        """Return the signatures of an answer or of its parts."""
        named = self.headers.get("x-burdockmill-part-stamps", [])
        named = named or self.headers.get("x-burdockmill-server-stamp", [])
        return tuple(one.strip() for line in named for one in line.split(","))

    @property
    def ran(self) -> str:
        """Return what an error says of whether its request has run, or nothing."""
        try:
            body = json.loads(self.body)
        except ValueError:
            return ""
        return str(body.get("ran", "")) if isinstance(body, dict) else ""

    def number(self, name: str) -> float:
        """Return the number in a header, 0 if there is none."""
        return float(self.headers.get(name, ["0"])[0])


class MalformedAnswerError(Exception):
    """Bytes that are no answer."""


class SoakClient:
    """Send one request after the other, each on the connection of the last one."""

    def __init__(
        self,
        name: str,
        seed: int,
        addresses: Sequence[str],
        record: Callable[[ClientAttempt], None],
        record_stray: Callable[[str], None],
        traffic: Traffic | None = None,
    ) -> None:
        self._name = name
        self._traffic = traffic or Traffic()
        self._rng = random.Random(f"{seed} {name}")
        # Drawn apart, so that the requests of a seed stay the same.
        self._once_rng = random.Random(f"once {seed} {name}")
        self._addresses = addresses
        self._record = record
        self._record_stray = record_stray
        self._numbers = itertools.count()
        self._host = 0
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def run(self, until_ms: float) -> None:
        """Send requests until a time."""
        while now_ms() < until_ms:
            await self._ask()
            await asyncio.sleep(self._rng.uniform(0.5, 1.5) * THINK_S)
        self._close()

    async def send_once(self, route: Route, target: str) -> None:
        """Send one request on a new connection, and record it."""
        self._close()
        limit_ms = TIME_LIMIT_MS_BY_ROUTE[route]
        attempt, _ = await self._attempt(route, target, "whole", True, limit_ms)
        if attempt is not None:
            self._record(attempt)

    async def _ask(self) -> None:
        weights = self._traffic.weight_by_route
        route = self._rng.choices(list(weights), list(weights.values()))[0]
        manners = list(WEIGHT_BY_MANNER)
        manner = self._rng.choices(manners, list(WEIGHT_BY_MANNER.values()))[0]
        target = f"{route.value}{self._name}-{next(self._numbers)}"
        limit_ms = TIME_LIMIT_MS_BY_ROUTE[route]
        if route is Route.ONCE:
            limit_ms = self._once_rng.choice(self._traffic.once_limits_ms)
            work_ms = self._once_rng.choice(self._traffic.once_work_ms)
            target += f"{WORK}{work_ms}" if work_ms else ""
        for number in range(1 + RETRIES):
            attempt, pause_s = await self._attempt(
                route, target, manner, number == 0, limit_ms
            )
            if attempt is None:
                return
            self._record(attempt)
            is_done = attempt.status == 200 or attempt.left or manner == "broken"
            may_repeat = route is not Route.ONCE or attempt.status in PROMISES
            if is_done or not may_repeat:
                return
            self._close()
            await asyncio.sleep(min(pause_s, attempt.time_limit_ms / 3_000))

    async def _attempt(
        self,
        route: Route,
        target: str,
        manner: str,
        is_first: bool,
        limit_ms: float,
    ) -> tuple[ClientAttempt | None, float]:
        try:
            reader, writer = await self._connection()
        except (OSError, TimeoutError):
            return None, 0.0
        is_once = route is Route.ONCE
        attempt = ClientAttempt(
            id=f"{self._name}-{next(self._numbers)}",
            route=route,
            method="POST" if is_once else "GET",
            target=target,
            body=target.encode() * 3 if is_once else b"",
            host=self._host,
            time_limit_ms=limit_ms,
            sent_ms=now_ms(),
            ended_ms=0.0,
            is_first=is_first,
            is_proper=manner != "broken",
        )
        pause_s = 0.0
        try:
            async with asyncio.timeout(attempt.time_limit_ms / 1_000 + GRACE_S):
                await self._write(writer, attempt, manner)
                attempt = attempt._replace(sent_ms=now_ms())
                if manner == "leaves":
                    await asyncio.sleep(self._rng.uniform(0, LEAVE_S))
                    raise ConnectionAbortedError
                answer = await _read(reader)
            attempt = attempt._replace(
                status=answer.status,
                answer=answer.body,
                stamps=answer.stamps,
                missing=int(answer.number("x-burdockmill-parts-missing")),
                ran=answer.ran if answer.status != OK else "",
            )
            pause_s = answer.number("retry-after")
            if "close" in answer.headers.get("connection", []):
                self._close()
        except MalformedAnswerError as error:
            self._record_stray(f"{attempt.id} at host {attempt.host}: {error}")
            self._close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            attempt = attempt._replace(
                left=manner == "leaves", detail=type(error).__name__
            )
            self._close()
        return attempt._replace(ended_ms=now_ms()), pause_s

    async def _connection(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        if self._streams is not None and not self._streams[0].at_eof():
            return self._streams
        self._host = self._rng.randrange(len(self._addresses))
        host, port = self._addresses[self._host].split(":")
        async with asyncio.timeout(1.0):
            self._streams = await asyncio.open_connection(host, int(port))
        return self._streams

    async def _write(
        self, writer: asyncio.StreamWriter, attempt: ClientAttempt, manner: str
    ) -> None:
        data = BROKEN if manner == "broken" else _encode(attempt)
        pieces = [data]
        if manner == "slow":
            third = len(data) // 3
            pieces = [data[:third], data[third : 2 * third], data[2 * third :]]
        for number, piece in enumerate(pieces):
            if number:
                await asyncio.sleep(SLOW_PIECE_S)
            writer.write(piece)
            await writer.drain()

    def _close(self) -> None:
        if self._streams is not None:
            self._streams[1].transport.abort()
        self._streams = None


def now_ms() -> float:
    """Return the steady clock of the machine, which all its processes share."""
    return time.monotonic() * 1_000


def _encode(attempt: ClientAttempt) -> bytes:
    lines = [
        f"{attempt.method} {attempt.target} HTTP/1.1",
        "Host: leave.example",
        f"X-Burdockmill-Request-Id: {attempt.id}",
        f"X-Burdockmill-Deadline-Ms: {attempt.time_limit_ms:.0f}",
    ]
    if attempt.body:
        lines.append(f"Content-Length: {len(attempt.body)}")
    return "\r\n".join(lines).encode() + HEAD_END + attempt.body


async def _read(reader: asyncio.StreamReader) -> Answer:
    head = (await reader.readuntil(HEAD_END)).decode("latin-1")
    first, *rest = head.rstrip().split("\r\n")
    version, _, status = first.partition(" ")
    if not version.startswith("HTTP/1.") or not status[:3].isdigit():
        raise MalformedAnswerError(first[:80])
    headers: dict[str, list[str]] = {}
    for line in rest:
        name, _, value = line.partition(":")
        headers.setdefault(name.lower(), []).append(value.strip())
    if "content-length" not in headers:
        raise MalformedAnswerError("an answer without a length")
    body = await reader.readexactly(int(headers["content-length"][0]))
    return Answer(int(status[:3]), headers, body)
