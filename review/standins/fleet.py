"""Build a small deployment: a store, upstreams and hosts in three zones."""

from __future__ import annotations

import asyncio
import os
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from standins.client import Client
from standins.host import Host
from standins.record import Record
from standins.store import Store
from standins.upstream import Upstream

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
RUN_LIMIT_S = 115.0
REGION_BY_ZONE = {"jhb-a": "gauteng", "cpt-a": "western-cape", "dbn-a": "kzn"}
HOST_NAME = "hufi27.example"


class CannotRunError(Exception):
    """Report that the case could not be played."""


def is_troubled() -> bool:
    """Return whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def single_route(prefix: str, service: str, **changes: Any) -> dict[str, Any]:  # noqa: ANN401
    """Return a route to one service."""
    return {
        "name": f"r-{prefix.strip('/')}",
        "host": HOST_NAME,
        "prefix": prefix,
        "type": "safe",
        "timeout-ms": 2000,
        "latency-goal-ms": 396,
        "priority": 2,
        "service": service,
        "max-attempts": 2,
    } | changes


def configuration(
    version: int, routes: list[dict[str, Any]], services: list[str]
) -> dict[str, Any]:
    """Return a version of the configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "health-path": "/health",
                "max-conns": 49,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 262144,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
    }


class Fleet:
    """Hold what a case starts, and end it."""

    def __init__(self, record: Record, folder: Path) -> None:
        self.record = record
        self.folder = folder
        self.store = Store(record)
        self.upstreams: list[Upstream] = []
        self.hosts: list[Host] = []
        self.clients: list[Client] = []

    def add_upstreams(self, service: str, **options: Any) -> list[Upstream]:  # noqa: ANN401
        """Add an upstream of a service in each zone."""
        added = [
            Upstream(f"i-{service}-{zone}", service, zone, self.record, **options)
            for zone in REGION_BY_ZONE
        ]
        self.upstreams += added
        return added

    def add_host(self, zone: str, store_address: str = "") -> Host:
        """Add a host; by default it reads the fleet's store."""
        address = store_address or self.store.address
        number = len(self.hosts) + 1
        host = Host(number, zone, REGION_BY_ZONE, address, self.folder, self.record)
        self.hosts.append(host)
        return host

    def client(self, host: Host, name: str = "") -> Client:
        """Add a client that is connected to one host."""
        name = name or f"client-{len(self.clients) + 1}"
        client = Client(name, host.ingress, self.record)
        self.clients.append(client)
        return client

    async def open(self) -> None:
        """Open the store and the upstreams, and register these."""
        await self.store.open()
        for upstream in self.upstreams:
            await upstream.open()
            self.store.put(upstream.key, upstream.entry())

    async def start_hosts(self) -> None:
        """Start all hosts at once."""
        seeds = [host.control for host in self.hosts[:3]]
        await asyncio.gather(*(host.start(seeds) for host in self.hosts))

    async def close(self) -> None:
        """End all processes and close all connections."""
        for client in self.clients:
            client.close()
        await asyncio.gather(*(host.stop() for host in self.hosts))
        for upstream in self.upstreams:
            upstream.close()
        self.store.close()


def play(case: Callable[[Fleet], Awaitable[int]], folder: Path) -> None:
    """Play a case within its time limit, and exit with its result."""
    sys.exit(asyncio.run(_play(case, folder)))


async def _play(case: Callable[[Fleet], Awaitable[int]], folder: Path) -> int:
    record = Record(folder / "record.txt")
    record.say(f"TROUBLE={int(is_troubled())}")
    with tempfile.TemporaryDirectory(prefix="review-") as scratch:
        fleet = Fleet(record, Path(os.environ.get("KEEP_LOGS", scratch)))
        try:
            async with asyncio.timeout(RUN_LIMIT_S):
                result = await case(fleet)
        except Exception:
            record.say(f"the case could not run: {traceback.format_exc()}")
            result = COULD_NOT_RUN
        finally:
            await fleet.close()
    record.say(f"result: {result}")
    return result
