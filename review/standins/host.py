"""Start the project's own program as the platform does, by the deploy file."""

from __future__ import annotations

import asyncio
import os
import signal
import tomllib
from pathlib import Path

from standins.addresses import free_address, host_ip
from standins.record import Record

ROOT = Path(__file__).resolve().parents[2]
RESTART_DELAY_S = 0.3
START_LIMIT_S = 15.0
SERVES = "serves clients"

SETTINGS = """\
node-name=front-{zone}-{number}
role=host
machine-class=front
serves=front,control
ip={ip}
zone={zone}
region={region}
{zones}
listen.front={ingress}
listen.ready={ready}
listen.control={control}
internal-ports=7740,7755
seeds={seeds}
bootstrap={bootstrap}
tolerance-member=false
limits.cpu-share=0.537
limits.cores=2
limits.memory-mb=300
limits.max-fds=4100
limits.link-mbps=1000.0
limits.disk-mb=0
discovery=platform
entry=vip
heartbeat-interval-ms=1200
contracts=base,drain,config,cost,retry,recover,scatter,platform
bounds.seed-lag-s=3
bounds.reuse-after-s=2
bounds.stable-window-ms=5000
bounds.ack-timeout-ms=6000
bounds.catch-up-s=4
bounds.drain-ms=4000
bounds.grace-s=6
bounds.loss-slack-ms=200
bounds.config-apply-ms=4000
bounds.downgrade-ms=250
bounds.max-stretch-ms=15000
bounds.retry-ratio=0.2
bounds.retry-window-s=10
bounds.retry-extra=54
bounds.recovery-s=12
platform.address={store}
platform.form=read
platform.writes-per-s=400
platform.reads-per-s=2000
platform.history-s=20
platform.value-bytes=1048576
platform.min-ttl-ms=1000
"""


class Host:
    """Run one host, and restart it after it ended, until `stop`."""

    def __init__(
        self,
        number: int,
        zone: str,
        region_by_zone: dict[str, str],
        store_address: str,
        folder: Path,
        record: Record,
    ) -> None:
        self.name = f"host-{number}"
        self.zone = zone
        self.ip = host_ip(number)
        self.ingress = free_address(self.ip)
        self.ready = free_address(self.ip)
        self.control = free_address(self.ip)
        self.starts = 0
        self.served = 0
        self.ends: list[tuple[float, int]] = []
        self.bootstrap = True
        self.process: asyncio.subprocess.Process | None = None
        self._number = number
        self._region_by_zone = region_by_zone
        self._store_address = store_address
        self._path = folder / f"{self.name}.conf"
        self._log = (folder / f"{self.name}.log").open("ab")
        self._record = record
        self._task: asyncio.Task[None] | None = None
        self._stopping = False
        self._serving = asyncio.Event()

    def write_settings(self, seeds: list[str]) -> None:
        """Write the settings file."""
        zones = "\n".join(
            f"zones.{zone}={region}" for zone, region in self._region_by_zone.items()
        )
        text = SETTINGS.format(
            zone=self.zone,
            number=self._number,
            ip=self.ip,
            region=self._region_by_zone[self.zone],
            zones=zones,
            ingress=self.ingress,
            ready=self.ready,
            control=self.control,
            seeds=",".join(seeds),
            bootstrap=str(self.bootstrap).lower(),
            store=self._store_address,
        )
        part = self._path.with_suffix(".part")
        part.write_text(text, encoding="utf-8")
        part.replace(self._path)

    def change_settings(self, before: str, after: str) -> None:
        """Replace a line of the settings file, at once for all readers."""
        text = self._path.read_text(encoding="utf-8")
        if f"{before}\n" not in text:
            raise ValueError(f"the settings have no line {before}")
        part = self._path.with_suffix(".part")
        part.write_text(text.replace(f"{before}\n", f"{after}\n"), encoding="utf-8")
        part.replace(self._path)
        self._record.add(self.name, f"settings file changed: {before} -> {after}")

    async def start(self, seeds: list[str]) -> None:
        """Start the process, and wait until it serves clients."""
        self.write_settings(seeds)
        self._task = asyncio.create_task(self._run())
        async with asyncio.timeout(START_LIMIT_S):
            await self._serving.wait()
        self.bootstrap = False

    async def until_serving(self, limit_s: float = START_LIMIT_S) -> None:
        """Wait until the current process serves clients."""
        async with asyncio.timeout(limit_s):
            await self._serving.wait()

    def send(self, signal_number: signal.Signals) -> None:
        """Send a signal to the current process."""
        if self.process is not None and self.process.returncode is None:
            self._record.say(f"{self.name} gets {signal_number.name}")
            self.process.send_signal(signal_number)
            if signal_number in (signal.SIGKILL, signal.SIGTERM):
                self._serving.clear()

    def hang_up(self) -> None:
        """Tell the process that its settings have changed."""
        self.send(signal.SIGHUP)

    async def stop(self) -> None:
        """End the process for good."""
        self._stopping = True
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
        if self._task is not None:
            await self._task
        self._log.close()

    async def _run(self) -> None:
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))
        role = deploy["roles"]["host"]
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment |= role.get("env", {})
        environment["BURDOCKMILL_CONFIG"] = str(self._path)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        while not self._stopping:
            self.process = await asyncio.create_subprocess_exec(
                *role["run"].split(),
                env=environment,
                cwd=ROOT,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=asyncio.subprocess.PIPE,
                stderr=asyncio.subprocess.STDOUT,
            )
            self.starts += 1
            self._record.add(self.name, f"started, process {self.process.pid}")
            await self._read_log(self.process)
            code = await self.process.wait()
            self._serving.clear()
            self.ends.append((self._record.now_s(), code))
            self._record.add(self.name, f"ended with {code}")
            if not self._stopping:
                await asyncio.sleep(RESTART_DELAY_S)

    async def _read_log(self, process: asyncio.subprocess.Process) -> None:
        assert process.stdout is not None
        while line := await process.stdout.readline():
            self._log.write(line)
            self._log.flush()
            if SERVES.encode() in line:
                self.served += 1
                self._serving.set()
                self._record.add(self.name, SERVES)
