"""Run a stand-in as a process of its own."""

from __future__ import annotations

import asyncio
import signal
import sys
from typing import TYPE_CHECKING

import msgspec
import uvloop

from burdockmill.standins.control import StandinControl

if TYPE_CHECKING:
    from burdockmill.standins.server import StandinServer


def run_standin(server: StandinServer, control_port: int) -> None:
    """Run until SIGTERM or SIGINT; print both addresses in JSON once listening."""
    uvloop.run(_run(server, control_port))


async def _run(server: StandinServer, control_port: int) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    async with server, StandinControl(server, control_port) as control:
        addresses = {"address": server.address, "control": control.address}
        sys.stdout.write(msgspec.json.encode(addresses).decode() + "\n")
        sys.stdout.flush()
        await stopped.wait()
