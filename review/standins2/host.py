"""Start the project's program with the command of the deploy file."""

from __future__ import annotations

import asyncio
import os
import signal
import tomllib
from pathlib import Path

from review.standins2.addresses import free_port, loopback_ip
from review.standins2.store import Store

ROOT = Path(__file__).parents[2]
ROLE = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["host"]
FIRST_INDEX = 20
GRACE_S = 6


class Host:
    """Run one host as a process on a loopback address of its own."""

    def __init__(
        self,
        number: int,
        zone: str,
        zones: dict[str, str],
        folder: Path,
        bounds: dict[str, float],
    ) -> None:
        self.number = number
        self.name = f"front-{zone}-{number}"
        self.zone = zone
        self.ip = loopback_ip(FIRST_INDEX + number)
        self.front, self.ready, self.control = (
            f"{self.ip}:{free_port(self.ip)}" for _ in range(3)
        )
        self.process: asyncio.subprocess.Process | None = None
        self._zones = zones
        self._folder = folder
        self._bounds = bounds
        self._log = (folder / f"{self.name}.log").open("ab")

    @property
    def pid(self) -> int:
        """Return the id of the process."""
        assert self.process is not None
        return self.process.pid

    async def start(self, store: Store, seeds: list[str]) -> None:
        """Start the process; return once it is ready."""
        path = self._folder / f"{self.name}.conf"
        path.write_text(self._settings(store, seeds))
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment |= ROLE.get("env", {})
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["BURDOCKMILL_CONFIG"] = str(path)
        self.process = await asyncio.create_subprocess_exec(
            *ROLE["run"].split(" "),
            cwd=ROOT,
            env=environment,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=self._log,
            stderr=self._log,
        )
        async with asyncio.timeout(20.0):
            while not await self.is_ready():
                await asyncio.sleep(0.05)

    async def is_ready(self) -> bool:
        """Return whether it answers the balancer's question with 200."""
        ip, _, port = self.ready.rpartition(":")
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(ip, int(port))
                writer.write(f"GET /ready HTTP/1.1\r\nHost: {ip}\r\n\r\n".encode())
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    def _settings(self, store: Store, seeds: list[str]) -> str:
        lines = {
            "node-name": self.name,
            "role": "host",
            "machine-class": "front",
            "serves": "front,control",
            "ip": self.ip,
            "zone": self.zone,
            "region": self._zones[self.zone],
            **{f"zones.{zone}": region for zone, region in self._zones.items()},
            "listen.front": self.front,
            "listen.ready": self.ready,
            "listen.control": self.control,
            "seeds": ",".join(seeds),
            "bootstrap": "true",
            "limits.cpu-share": "0.537",
            "limits.cores": "2",
            "limits.memory-mb": "300",
            "limits.max-fds": "4100",
            "limits.link-mbps": "1000.0",
            "discovery": "platform",
            "entry": "vip",
            "heartbeat-interval-ms": "1200",
            **{f"bounds.{name}": f"{one:g}" for name, one in self._bounds.items()},
            "platform.address": store.address,
            "platform.form": "read",
            "platform.reads-per-s": "2000",
            "platform.history-s": "20",
            "platform.value-bytes": "1048576",
        }
        return "".join(f"{name}={value}\n" for name, value in lines.items())
