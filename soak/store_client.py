"""Run the store as a process, and write to it as the operator and upstreams do."""

from __future__ import annotations

import asyncio
import itertools
import json
import signal
from base64 import b64encode
from typing import Any, NamedTuple

from soak.child_process import ChildProcess

START_LIMIT_S = 10.0
# A store that has not confirmed a command by then has ended; pauses are shorter.
COMMAND_LIMIT_S = 20.0


class Command(NamedTuple):
    """What the store's process is to do."""

    verb: str
    key: str = ""
    value: object = None


class StoreClient:
    """Send commands to the store's process; each returns once it is confirmed."""

    def __init__(self) -> None:
        self.address = ""
        self._process = ChildProcess(self._read)
        self._numbers = itertools.count()
        self._done_by_number: dict[int, asyncio.Future[None]] = {}
        self._started = asyncio.Event()

    async def start(self) -> None:
        """Start the store and learn its address."""
        await self._process.start("soak.store")
        async with asyncio.timeout(START_LIMIT_S):
            await self._started.wait()

    async def put(self, key: str, value: object) -> None:
        """Write an item."""
        await self._ask(Command("put", key, value))

    async def put_bytes(self, key: str, data: bytes) -> None:
        """Write an item whose value is any bytes."""
        await self._ask(Command("put_text", key, b64encode(data).decode()))

    async def remove(self, key: str) -> None:
        """Remove an item."""
        await self._ask(Command("remove", key))

    async def restart_from_copy(self) -> None:
        """Let the store lose what was written in the last seconds."""
        await self._ask(Command("restart"))

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self._process.signal(number)

    async def kill(self) -> None:
        """Kill the process."""
        await self._process.kill()

    async def _ask(self, command: Command) -> None:
        number = next(self._numbers)
        done = asyncio.get_running_loop().create_future()
        self._done_by_number[number] = done
        self._process.write_line(json.dumps({"number": number, **command._asdict()}))
        async with asyncio.timeout(COMMAND_LIMIT_S):
            await done

    def _read(self, line: dict[str, Any]) -> None:
        if "started" in line:
            self.address = line["started"]
            self._started.set()
        else:
            self._done_by_number.pop(line["done"]).set_result(None)
