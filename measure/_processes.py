"""Start daemons for a measurement and read their processor time."""

from __future__ import annotations

import socket
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING, Self

import msgspec

if TYPE_CHECKING:
    from burdockmill.settings import Settings

NANOSECONDS_PER_MICROSECOND = 1_000
STOP_TIMEOUT_SECONDS = 20


class DaemonProcess:
    """Run a module of this package or burdockmill itself as a process."""

    def __init__(self, arguments: list[str]) -> None:
        self._process = subprocess.Popen(
            [sys.executable, "-m", *arguments],
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )

    @classmethod
    def of_host(cls, settings: Settings, profile: Path | None = None) -> Self:
        """Start a host with settings; write its profile to a file if one is given."""
        directory = Path(tempfile.mkdtemp(prefix="burdockmill-"))
        settings_path = directory / "settings.json"
        settings_path.write_bytes(msgspec.json.encode(_as_json(settings)))
        daemon = (
            ["measure._profiled_host", str(profile)] if profile else ["burdockmill"]
        )
        return cls([*daemon, "serve", "--settings", str(settings_path)])

    def cpu_us(self) -> float:
        """Return the microseconds of processor time used by all threads."""
        tasks = Path(f"/proc/{self._process.pid}/task").glob("*/schedstat")
        used_ns = sum(int(task.read_text().split()[0]) for task in tasks)
        return used_ns / NANOSECONDS_PER_MICROSECOND

    def stop(self) -> int:
        """Stop the daemon by SIGTERM; return its exit status."""
        self._process.terminate()
        return self._process.wait(STOP_TIMEOUT_SECONDS)


def free_address() -> str:
    """Return a loopback address with a port that was free a moment ago."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def _as_json(settings: Settings) -> dict:
    values = settings._asdict()
    values["seeds"] = [seed._asdict() for seed in settings.seeds]
    return values
