"""Start a Python module as a process, and read the JSON lines that it writes."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

LineReader = Callable[[dict[str, Any]], None]
# Lines of a host may hold whole decisions.
LINE_LIMIT_BYTES = 1024 * 1024


class ChildProcess:
    """Run one process; only processes that this class started are ended."""

    def __init__(self, on_line: LineReader) -> None:
        self._on_line = on_line
        self._process: asyncio.subprocess.Process | None = None
        self._reading: asyncio.Task[None] | None = None
        self.is_end_expected = False

    async def start(
        self, module: str, *words: str, code: Path | None = None, **environment: str
    ) -> None:
        """Start a module with words and additional environment variables.

        `code` is a folder with another build of the code, in place of the current one.
        """
        if code is not None:
            environment["PYTHONPATH"] = str(code)
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            module,
            *words,
            cwd=code,
            env={**os.environ, **environment},
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=LINE_LIMIT_BYTES,
        )
        # Until then the process is the former one, whose end was expected.
        self.is_end_expected = False
        self._reading = asyncio.create_task(self._read(self._process))

    @property
    def pid(self) -> int | None:
        """Return the id of the process, None if it does not run."""
        process = self._process
        if process is None or process.returncode is not None:
            return None
        return process.pid

    @property
    def has_ended_by_itself(self) -> bool:
        """Return whether the process ended without having been told to."""
        return self.pid is None and not self.is_end_expected

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process runs."""
        if self._process is not None and self.pid is not None:
            self._process.send_signal(number)

    def write_line(self, text: str) -> None:
        """Write a line to the process's standard input."""
        if self._process is not None and self._process.stdin is not None:
            self._process.stdin.write(text.encode() + b"\n")

    async def wait(self, limit_s: float) -> bool:
        """Wait for the process's end; return whether it came in time."""
        if self._process is None:
            return True
        try:
            async with asyncio.timeout(limit_s):
                await self._process.wait()
        except TimeoutError:
            return False
        return True

    async def kill(self) -> None:
        """Kill the process, and read what it wrote."""
        self.is_end_expected = True
        self.signal(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()
        if self._reading is not None:
            await self._reading

    async def _read(self, process: asyncio.subprocess.Process) -> None:
        assert process.stdout is not None
        async for line in process.stdout:
            # Only the end of a process that was killed while it wrote has no newline.
            if line.endswith(b"\n"):
                self._on_line(json.loads(line))
