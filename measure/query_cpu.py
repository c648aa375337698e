"""Measure the processor time of a query over real sockets."""

from __future__ import annotations

import argparse
import asyncio
import hashlib
import os
import pstats
import tempfile
import time
from pathlib import Path
from typing import NamedTuple

import aiohttp
import msgspec
import uvloop

from burdockmill.settings import Settings
from burdockmill.slots import SLOT_COUNT
from burdockmill.standins.platform import StandinPlatform
from measure._processes import (
    NANOSECONDS_PER_MICROSECOND,
    DaemonProcess,
    free_address,
)
from measure._profile_shares import shares_of
from measure.records import Figure, write_records

NAME = "query_cpu"
CALLER_KEY = "measure-caller-key"
PEER_KEY = "measure-key-between-hosts"
RULE_COMMENT = "# Measurements, 2026-12"
FIRST_PORT = 21_000
PLAIN_EXCHANGES = 1_000
IDLE_SECONDS = 3.0
WARM_QUERIES = 20
CONCURRENCY_BY_SHARDS = {12: 4, 120: 4, 1_200: 1}
QUERIES_BY_SHARDS = {12: 1_500, 120: 300, 1_200: 40}
PROFILED_SHARDS = 120
OWNER_SLOPE_SHARDS = 120
OWNERS = 4
READY_TIMEOUT_SECONDS = 90.0
POLL_SECONDS = 0.25
GOAL_SHARE_OF_FIRST = 0.5
FIRST_FIGURES_PATH = Path(__file__).parent / "query_cpu_first.json"
SHOWN_ANSWER_CHARACTERS = 600


class Cost(NamedTuple):
    """Store the processor time of a query in microseconds, idle work subtracted.

    `idle_owner_us_per_second` is the idle work of all owners; `plain_exchange_us` is
    the time of one plain aiohttp request on the client's side.
    """

    entry_us: float
    owner_us: float
    idle_owner_us_per_second: float
    plain_exchange_us: float


class Bench:
    """Run an entry, its owners and the upstreams as processes."""

    def __init__(
        self, shards: int, owners: int = 1, profile: Path | None = None
    ) -> None:
        self._shards = shards
        self._owner_names = [f"owner-{number}" for number in range(owners)]
        self._profile = profile
        self._entry_address = free_address()
        self._last_answer = ""

    async def run(self, queries: int) -> Cost:
        """Return the cost of a query; raise RuntimeError for an incomplete answer."""
        async with StandinPlatform() as platform:
            platform.publish(self._rules_text(), 1)
            await self._start(platform)
            try:
                return await self._measure(queries)
            finally:
                for process in (self._entry, *self._owners, self._upstreams):
                    process.stop()

    async def _start(self, platform: StandinPlatform) -> None:
        peer_by_host = {name: free_address() for name in ("entry", *self._owner_names)}
        arguments = ["measure._quick_upstream", str(FIRST_PORT), str(self._shards)]
        self._upstreams = DaemonProcess(arguments)
        platform.set_hosts(
            [
                {
                    "host": name,
                    "domain": name.partition("-")[0],
                    "region": "r",
                    "peer_address": address,
                    "leaving": False,
                }
                for name, address in peer_by_host.items()
            ]
        )
        base = Settings(
            host="entry",
            domain="entry",
            region="r",
            caller_address=self._entry_address,
            peer_address=peer_by_host["entry"],
            operator_address=free_address(),
            platform_addresses=(platform.address,),
            seeds=(),
            peer_key=PEER_KEY,
        )
        self._entry = DaemonProcess.of_host(base, self._profile_of("entry"))
        await self._wait_until_ready()
        self._owners = [
            DaemonProcess.of_host(
                base._replace(
                    host=name,
                    domain="owner",
                    caller_address=free_address(),
                    peer_address=peer_by_host[name],
                    operator_address=free_address(),
                ),
                self._profile_of("owner"),
            )
            for name in self._owner_names
        ]

    async def _measure(self, queries: int) -> Cost:
        headers = {"Authorization": f"Bearer {CALLER_KEY}", "Deadline-Ms": "30000"}
        async with aiohttp.ClientSession(headers=headers) as session:
            await self._wait_until_complete(session)
            await self._run_queries(session, WARM_QUERIES)
            idle = self._cpu_us()
            await asyncio.sleep(IDLE_SECONDS)
            idle_us = [
                (after - before) / IDLE_SECONDS
                for before, after in zip(idle, self._cpu_us(), strict=True)
            ]
            loop = asyncio.get_running_loop()
            before, started = self._cpu_us(), loop.time()
            await self._run_queries(session, queries)
            elapsed_seconds, after = loop.time() - started, self._cpu_us()
            plain_us = await self._plain_exchange_us(session)
        entry_us, owner_us = (
            (end - begin - elapsed_seconds * rate) / queries
            for begin, end, rate in zip(before, after, idle_us, strict=True)
        )
        return Cost(entry_us, owner_us, idle_us[1], plain_us)

    def _cpu_us(self) -> tuple[float, float]:
        return self._entry.cpu_us(), sum(one.cpu_us() for one in self._owners)

    async def _run_queries(self, session: aiohttp.ClientSession, queries: int) -> None:
        remaining_queries = iter(range(queries))

        async def worker() -> None:
            for _ in remaining_queries:
                if not await self._is_complete(session):
                    raise RuntimeError(
                        f"No complete answer; last answer received: {self._last_answer}"
                    )

        await asyncio.gather(
            *(worker() for _ in range(CONCURRENCY_BY_SHARDS[self._shards]))
        )

    async def _is_complete(self, session: aiohttp.ClientSession) -> bool:
        url = f"http://{self._entry_address}/v1/services/bench/search"
        body = {"query": {"off_in": "2026-08"}, "limit": 20}
        try:
            async with session.post(url, json=body) as response:
                answer = await response.json()
        except aiohttp.ClientError:
            return False
        self._last_answer = str(answer.get("coverage", answer))[
            :SHOWN_ANSWER_CHARACTERS
        ]
        return response.status == 200 and answer["coverage"]["complete"]

    async def _plain_exchange_us(self, session: aiohttp.ClientSession) -> float:
        url = f"http://127.0.0.1:{FIRST_PORT}/v1/search"
        search = {
            "request_id": "plain",
            "attempt": 1,
            "shard": "s0",
            "snapshot": 1,
            "slots": [0, SLOT_COUNT - 1],
        }
        started = time.process_time_ns()
        for _ in range(PLAIN_EXCHANGES):
            async with session.post(url, json=search) as response:
                await response.json()
        used_ns = time.process_time_ns() - started
        return used_ns / PLAIN_EXCHANGES / NANOSECONDS_PER_MICROSECOND

    async def _wait_until_ready(self) -> None:
        url = f"http://{self._entry_address}/readyz"
        async with (
            asyncio.timeout(READY_TIMEOUT_SECONDS),
            aiohttp.ClientSession() as session,
        ):
            while not await _answers_ok(session, url):
                await asyncio.sleep(POLL_SECONDS)

    async def _wait_until_complete(self, session: aiohttp.ClientSession) -> None:
        async with asyncio.timeout(READY_TIMEOUT_SECONDS):
            while not await self._is_complete(session):
                await asyncio.sleep(POLL_SECONDS)

    def _profile_of(self, role: str) -> Path | None:
        return self._profile / role if self._profile else None

    def _rules_text(self) -> str:
        digest = hashlib.sha256(CALLER_KEY.encode()).hexdigest()
        lines = [
            f"service bench deadline=30000ms {RULE_COMMENT}",
            f"caller bench key=sha256:{digest} {RULE_COMMENT}",
            f"allow bench service=bench kinds=search {RULE_COMMENT}",
        ]
        for shard in range(self._shards):
            first = shard * SLOT_COUNT // self._shards
            last = (shard + 1) * SLOT_COUNT // self._shards - 1
            lines.append(
                f"upstream u{shard} domain=owner"
                f" address=127.0.0.1:{FIRST_PORT + shard} slots=2 connections=25"
                f" {RULE_COMMENT}"
            )
            lines.append(
                f"shard s{shard} service=bench slots={first}-{last}"
                f" replicas=u{shard} {RULE_COMMENT}"
            )
        return "\n".join(lines) + "\n"


async def _answers_ok(session: aiohttp.ClientSession, url: str) -> bool:
    try:
        async with session.get(url) as response:
            return response.status == 200
    except aiohttp.ClientError:
        return False


def _first_recorded(cost_by_shards: dict[int, Cost]) -> dict[str, float]:
    if not FIRST_FIGURES_PATH.exists():
        first = {str(n): sum(cost[:2]) for n, cost in cost_by_shards.items()}
        FIRST_FIGURES_PATH.write_bytes(msgspec.json.encode(first))
    return msgspec.json.decode(FIRST_FIGURES_PATH.read_bytes())


def _figures(cost_by_shards: dict[int, Cost]) -> list[Figure]:
    figures: list[Figure] = []
    first = _first_recorded(cost_by_shards)
    for shards, cost in cost_by_shards.items():
        name = f"query.cpu_us_{shards}"
        total = cost.entry_us + cost.owner_us
        baseline = first.get(str(shards), total)
        goal = f"<= {round(baseline * GOAL_SHARE_OF_FIRST, 4)}"
        figures += [
            Figure(name, total, "us", baseline, goal),
            Figure(f"query.entry_us_{shards}", cost.entry_us, "us"),
            Figure(f"query.owner_us_{shards}", cost.owner_us, "us"),
            Figure(f"query.cpu_us_per_part_{shards}", total / shards, "us"),
            Figure(
                f"query.part_per_plain_exchange_{shards}",
                total / shards / cost.plain_exchange_us,
                "of a plain aiohttp exchange",
                baseline=1.0,
            ),
            Figure(
                f"query.idle_owner_us_per_second_{shards}",
                cost.idle_owner_us_per_second,
                "us",
            ),
        ]
    return figures


def _slopes(cost_by_shards: dict[int, Cost]) -> list[Figure]:
    """Derive costs per part, per owner and per idle upstream from runs of two sizes."""
    few, many = min(cost_by_shards), max(cost_by_shards)
    figures: list[Figure] = []
    for role in ("entry", "owner"):
        low: float = getattr(cost_by_shards[few], f"{role}_us")
        high: float = getattr(cost_by_shards[many], f"{role}_us")
        slope = (high - low) / (many - few)
        figures += [
            Figure(f"slope.{role}_us_per_part", slope, "us"),
            Figure(f"slope.{role}_us_fixed", low - slope * few, "us"),
        ]
    many_owners = uvloop.run(
        Bench(OWNER_SLOPE_SHARDS, OWNERS).run(QUERIES_BY_SHARDS[OWNER_SLOPE_SHARDS])
    )
    one = cost_by_shards[OWNER_SLOPE_SHARDS]
    for role in ("entry", "owner"):
        more: float = getattr(many_owners, f"{role}_us") - getattr(one, f"{role}_us")
        slope = max(0.0, more / (OWNERS - 1))
        figures.append(Figure(f"slope.{role}_us_per_owner", slope, "us"))
    idle_us = cost_by_shards[many].idle_owner_us_per_second / many
    figures.append(Figure("slope.idle_us_per_owned_upstream", idle_us, "us/s"))
    return figures


def _profile() -> list[Figure]:
    directory = Path(tempfile.mkdtemp(prefix="burdockmill-profile-"))
    bench = Bench(PROFILED_SHARDS, profile=directory)
    uvloop.run(bench.run(QUERIES_BY_SHARDS[PROFILED_SHARDS]))
    figures: list[Figure] = []
    for role in ("entry", "owner"):
        stats = pstats.Stats(str(directory / role))
        if "SHOW_PROFILE" in os.environ:
            stats.sort_stats("tottime").print_stats(40)
        for part, share in shares_of(stats).items():
            figures.append(Figure(f"query.share_{role}_{part}", share, "of 1"))
    return figures


def main() -> None:
    """Measure and record all sizes, or only print those given by `--shards`."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--shards", type=int, nargs="*")
    arguments, _ = parser.parse_known_args()
    sizes = arguments.shards or list(QUERIES_BY_SHARDS)
    costs = {n: uvloop.run(Bench(n).run(QUERIES_BY_SHARDS[n])) for n in sizes}
    figures = _figures(costs)
    if not arguments.shards:
        figures += _slopes(costs)
    if arguments.shards:
        for figure in figures:
            print(f"{figure.name}: {figure.value:.0f} {figure.unit}")
        return
    write_records(NAME, figures + _profile())


if __name__ == "__main__":
    main()
