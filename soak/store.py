"""Run a stand-in of the store as a process; commands come as JSON lines."""

from __future__ import annotations

import asyncio
import json
import sys
from collections import deque
from typing import Any

from soak.child_process import LINE_LIMIT_BYTES
from tests.builders_platform import StandinStore

# The copy from which the store restarts is so old.
COPY_AGE_S = 2.0


class StoreProcess:
    """Apply commands to a store, and confirm each by its number."""

    def __init__(self, store: StandinStore) -> None:
        self._store = store
        self._copies: deque[Any] = deque()

    async def run(self) -> None:
        """Read commands until standard input ends."""
        reader = asyncio.StreamReader(limit=LINE_LIMIT_BYTES)
        await asyncio.get_running_loop().connect_read_pipe(
            lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
        )
        copying = asyncio.create_task(self._copy())
        print(json.dumps({"started": self._store.address}), flush=True)
        while line := await reader.readline():
            command = json.loads(line)
            self._apply(command)
            print(json.dumps({"done": command["number"]}), flush=True)
        copying.cancel()

    async def _copy(self) -> None:
        while True:
            self._copies.append(self._store.copy())
            if len(self._copies) > 2:
                self._copies.popleft()
            await asyncio.sleep(COPY_AGE_S)

    def _apply(self, command: dict[str, Any]) -> None:
        match command["verb"]:
            case "put":
                self._store.put(command["key"], command["value"])
            case "put_text":
                self._store.put_text(command["key"], command["value"])
            case "remove":
                if command["key"] in self._store.items:
                    self._store.remove(command["key"])
            case "restart":
                self._store.restart_from(self._copies[0])


async def main() -> None:
    """Serve until standard input ends."""
    async with StandinStore() as store:
        store.era = 1
        await StoreProcess(store).run()


if __name__ == "__main__":
    asyncio.run(main())
