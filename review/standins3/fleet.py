"""Run hosts of the deploy file on loopback, with stand-ins of the outside systems.

The stand-ins are a store, backends and clients, as the users' pages describe them. They
use the standard library alone.
"""

from __future__ import annotations

import asyncio
import base64
import itertools
import json
import os
import random
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import TYPE_CHECKING, Any, Self
from urllib.parse import parse_qs, urlsplit

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from types import FrameType

    Accept = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
    Case = Callable[["Record", bool], Awaitable[list[str]]]
    Headers = dict[str, str]
    Item = dict[str, Any]
    # The id of a client attempt, its status and the headers of its answer.
    Answer = tuple[str, int, Headers]

ROOT = Path(__file__).resolve().parents[2]
READ_LIMIT = 1 << 20
READY_LIMIT_S = 40.0
# Of a backend: what runs at once, and how long work and idle connections take.
SLOTS = 2
WORK_S = 0.02
IDLE_S = 15
STABLE_S = 5.0
REGION_BY_ZONE = {"waw-a": "mazowsze", "krk-a": "malopolska", "gda-a": "pomorze"}


class Record:
    """Write what is sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_s = time.monotonic()

    @property
    def now_s(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started_s

    def add(self, *words: object) -> None:
        """Write a line."""
        self._file.write(f"{self.now_s:8.3f} {' '.join(map(str, words))}\n")
        self._file.flush()


def free_ports(ips: list[str], count: int) -> list[int]:
    """Return ports that are free on all the addresses."""
    ports = []
    while len(ports) < count:
        port = random.randrange(20_000, 30_000)
        if port not in ports and all(_is_free(ip, port) for ip in ips):
            ports.append(port)
    return ports


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as one:
        try:
            one.bind((ip, port))
        except OSError:
            return False
    return True


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Headers]:
    """Return the first line and the headers, with names in lower case."""
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:-2]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader: asyncio.StreamReader, headers: Headers) -> bytes:
    """Return a body that was sent with a length or in chunks."""
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
        return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


def response(status: int, headers: Headers, body: bytes = b"") -> bytes:
    """Return the bytes of an answer with a length."""
    lines = [f"HTTP/1.1 {status} x", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


class Server:
    """Accept connections at an address for each host, the path from that host.

    New connections of a host are refused while its path is closed.
    """

    def __init__(self, addresses: list[str]) -> None:
        self.addresses = addresses
        self._server_by_path = {}
        self._path_by_writer = {}

    async def open(self, path: int | None = None) -> None:
        """Accept connections of one host, or of all."""
        paths = range(len(self.addresses)) if path is None else [path]
        for one in paths:
            host, port = self.addresses[one].split(":")
            self._server_by_path[one] = await asyncio.start_server(
                self._acceptor(one), host, int(port), limit=READ_LIMIT
            )

    def refuse_new(self, path: int | None = None) -> None:
        """Refuse new connections of one host, or of all; the open ones live on."""
        for one in list(self._server_by_path) if path is None else [path]:
            self._server_by_path.pop(one).close()

    def reset(self, path: int | None = None) -> None:
        """Reset the open connections of one host, or of all."""
        for writer, one in list(self._path_by_writer.items()):
            if path in (None, one):
                writer.transport.abort()

    async def close(self) -> None:
        """Refuse new connections, reset the open ones and wait for their ends."""
        self.refuse_new()
        self.reset()
        async with asyncio.timeout(5.0):
            while self._path_by_writer:
                await asyncio.sleep(0.01)

    def _acceptor(self, path: int) -> Accept:
        async def accept(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            self._path_by_writer[writer] = path
            try:
                await self.serve(path, reader, writer)
            except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
                pass
            finally:
                self._path_by_writer.pop(writer, None)
                writer.close()

        return accept

    async def serve(
        self, path: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection of a host."""
        raise NotImplementedError


class Store(Server):
    """Serve items by range and watch; nothing is lost and nothing is slow.

    Each host is told the address at which it reaches a backend.
    """

    def __init__(self, addresses: list[str]) -> None:
        super().__init__(addresses)
        self.revision = 10
        self.items = {}
        self.events = []
        self._changed = asyncio.Event()

    def put(self, key: str, value: dict) -> None:
        """Write an item."""
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        item = {"key": key, "value": value, "rev": self.revision, "lease": 0}
        self.items[key] = item | {"created": created}
        self._publish(self.items[key])

    def remove(self, key: str) -> None:
        """Remove an item."""
        self.revision += 1
        del self.items[key]
        self._publish({"key": key, "rev": self.revision, "removed": True})

    def _publish(self, event: Item) -> None:
        self.events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve(
        self, path: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection of a host."""
        while True:
            line, _ = await read_head(reader)
            url = urlsplit(line.split(" ")[1])
            query = {name: one[-1] for name, one in parse_qs(url.query).items()}
            if url.path == "/kv-range":
                status, body = 200, self._range(path, query)
            elif url.path == "/kv-watch":
                status, body = 200, await self._watch(path, query)
            else:
                found = self.items.get(query.get("key", ""))
                status = 404 if found is None else 200
                body = self._seen(path, found) if found else {}
                body["store-revision"] = self.revision
            writer.write(
                response(
                    status,
                    {"Content-Type": "application/json", "Store-Era": "1"},
                    json.dumps(body).encode(),
                )
            )
            await writer.drain()

    def _seen(self, path: int, item: Item) -> Item:
        """Return an item as one host reads it."""
        if "value" not in item:
            return item
        value = item["value"]
        if isinstance(value, dict) and "addresses" in value:
            value = {"address": value["addresses"][path]} | value
            del value["addresses"]
        text = base64.b64encode(json.dumps(value).encode()).decode()
        return item | {"value": text}

    def _range(self, path: int, query: dict[str, str]) -> Item:
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(
            key for key in self.items if key.startswith(prefix) and key > after
        )
        return {
            "items": [self._seen(path, self.items[key]) for key in keys],
            "has-more": False,
            "store-revision": self.revision,
        }

    async def _watch(self, path: int, query: dict[str, str]) -> Item:
        prefix, after = query.get("prefix", ""), int(query.get("after", "0"))
        end_s = time.monotonic() + int(query.get("wait-ms", "0")) / 1_000
        while True:
            events = [
                self._seen(path, one)
                for one in self.events
                if one["rev"] > after and one["key"].startswith(prefix)
            ]
            left_s = end_s - time.monotonic()
            if events or left_s <= 0:
                return {"events": events, "store-revision": self.revision}
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                pass


class Backend(Server):
    """Run requests in slots; refuse those that are for another instance."""

    numbers = itertools.count(1)

    def __init__(self, fleet: Fleet, service: str, zone: str) -> None:
        number = next(self.numbers)
        super().__init__(fleet.addresses_of_backend(number))
        self.id = f"i-{random.getrandbits(32):08x}"
        self.service = service
        self.zone = zone
        self.slots = SLOTS
        self.work_s = WORK_S
        self.idle_s = IDLE_S
        self.arrived = []
        self.began = []
        self.tag = number.to_bytes(1) * 16
        self._fleet = fleet
        self._running = asyncio.Semaphore(SLOTS)
        self._waiting = 0

    def entry(self, state: str = "ready") -> Item:
        """Return the entry in the store."""
        return {
            "service": self.service,
            "addresses": self.addresses,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "cold-left-ms": 0,
            "seq-num": 1,
            "born": self._fleet.born,
        }

    def register(self, state: str = "ready") -> None:
        """Write the entry."""
        self._fleet.store.put(f"servers/{self.id}", self.entry(state))

    async def serve(
        self, path: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection of a host."""
        while True:
            try:
                async with asyncio.timeout(self.idle_s):
                    line, headers = await read_head(reader)
            except TimeoutError:
                return
            body = await read_body(reader, headers)
            method, target, _ = line.split(" ")
            name = headers.get("x-burdockmill-request-id")
            self._fleet.path_by_request[name] = path
            await self._answer(reader, writer, method, target, headers, body)

    async def _answer(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
    ) -> None:
        name = headers.get("x-burdockmill-request-id")
        common = {"Keep-Alive": f"timeout={self.idle_s}"}
        if target == "/health":
            common["X-Burdockmill-Instance-Id"] = self.id
            writer.write(response(200, common))
            return
        self.arrived.append((self._fleet.record.now_s, name))
        if name is None:
            refused = common | {"X-Burdockmill-Not-Executed": "1"}
            writer.write(response(400, refused))
            return
        common["X-Burdockmill-Request-Id"] = name
        refused = common | {"X-Burdockmill-Not-Executed": "1"}
        if headers.get("x-burdockmill-expect-instance", self.id) != self.id:
            writer.write(response(421, refused))
            return
        if self._waiting >= 4 * self.slots:
            writer.write(response(503, refused))
            return
        self._waiting += 1
        try:
            async with self._running:
                await self._run(reader, writer, method, target, common, body)
        finally:
            self._waiting -= 1

    async def _run(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
    ) -> None:
        name = headers["X-Burdockmill-Request-Id"]
        record = self._fleet.record
        self.began.append(name)
        if self._fleet.is_recorded(target):
            record.add("backend", self.id, "begins", name, method, target, len(body))
        work_s = self._fleet.work_s(target, self.work_s)
        # A request whose connection closes is dropped; it has run all the same.
        closed = asyncio.create_task(reader.read(1))
        done, _ = await asyncio.wait({closed}, timeout=work_s)
        if done:
            record.add("backend", self.id, "drops", name, "as its connection closed")
            raise ConnectionResetError
        closed.cancel()
        await asyncio.gather(closed, return_exceptions=True)
        headers["X-Burdockmill-Server-Stamp"] = f"{self.id}.{name}"
        writer.write(response(200, headers, self.tag))
        await writer.drain()
        if self._fleet.is_recorded(target):
            record.add("backend", self.id, "answers", name, 200)


class Host:
    """Run one host as the deploy file says, with a settings file of its own."""

    def __init__(self, fleet: Fleet, number: int, zone: str) -> None:
        self.fleet = fleet
        self.number = number
        self.name = f"host-{number}"
        self.zone = zone
        self.ip = fleet.host_ips[number]
        self.front, self.ready, self.control = (
            f"{self.ip}:{port}" for port in fleet.host_ports
        )
        self.process = None

    def settings(self, seeds: list[str]) -> str:
        """Return the text of the settings file."""
        fleet = self.fleet
        lines = [
            f"node-name={self.name}",
            "role=host",
            "machine-class=front",
            "serves=front,control",
            f"ip={self.ip}",
            f"zone={self.zone}",
            f"region={fleet.region_by_zone[self.zone]}",
            *(f"zones.{zone}={one}" for zone, one in fleet.region_by_zone.items()),
            f"listen.front={self.front}",
            f"listen.ready={self.ready}",
            f"listen.control={self.control}",
            f"internal-ports={fleet.spare_port},{fleet.spare_port}",
            f"seeds={','.join(seeds)}",
            "bootstrap=true",
            "limits.cpu-share=0.537",
            "limits.cores=2",
            "limits.memory-mb=300",
            "limits.max-fds=4100",
            "limits.link-mbps=1000.0",
            "limits.disk-mb=0",
            "discovery=platform",
            "entry=vip",
            "heartbeat-interval-ms=1200",
            "bounds.stable-window-ms=5000",
            "bounds.drain-ms=3000",
            "bounds.grace-s=6",
            "bounds.loss-slack-ms=200",
            "bounds.config-apply-ms=3000",
            "bounds.retry-ratio=0.2",
            "bounds.retry-window-s=10",
            "bounds.retry-extra=58",
            "bounds.recovery-s=12",
            f"platform.address={fleet.store.addresses[self.number]}",
            "platform.form=read",
            "platform.reads-per-s=2000",
            "platform.history-s=20",
        ]
        return "\n".join(lines) + "\n"

    def write_settings(self, seeds: list[str]) -> Path:
        """Write the settings file; return its path."""
        path = self.fleet.folder / f"{self.name}.conf"
        path.write_text(self.settings(seeds))
        return path

    async def start(self) -> None:
        """Start the process."""
        path = self.write_settings([self.control])
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["host"]
        kept = {
            name: os.environ[name] for name in ("HOME", "LANG") if name in os.environ
        }
        environment = kept | role.get("env", {})
        environment |= {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "BURDOCKMILL_CONFIG": str(path),
        }
        log = (self.fleet.folder / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            *shlex.split(role["run"]),
            cwd=ROOT,
            env=environment,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.fleet.record.add(self.name, "starts in", self.zone)

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.fleet.record.add(self.name, "gets", signal.Signals(number).name)
        self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the process if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class Fleet:
    """Run a store, backends and hosts; end all that was started."""

    def __init__(self, record: Record, zones: list[str]) -> None:
        self.record = record
        self.region_by_zone = dict(REGION_BY_ZONE)
        self.born = int(time.time() * 1_000)
        self._net = f"127.{random.randrange(64, 120)}.{random.randrange(1, 250)}"
        self.host_ips = [f"{self._net}.{number + 1}" for number in range(len(zones))]
        *self.host_ports, self.spare_port = free_ports(self.host_ips, 4)
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self._temporary.name)
        self.store = Store(self.addresses_of_backend(0))
        self.backends = []
        self.hosts = []
        for number, zone in enumerate(zones):
            self.hosts.append(Host(self, number, zone))
        self.work_by_prefix = {}
        self.quiet_prefixes = set()
        # The host from which a backend got each request last.
        self.path_by_request = {}
        self._ids = itertools.count(1)

    def addresses_of_backend(self, number: int) -> list[str]:
        """Return an address for each host, with one IP address."""
        ip = f"{self._net}.{100 + number}"
        return [f"{ip}:{port}" for port in free_ports([ip], len(self.host_ips))]

    def work_s(self, target: str, usual_s: float) -> float:
        """Return how long a backend works on a request."""
        for prefix, work_s in self.work_by_prefix.items():
            if target.startswith(prefix):
                return work_s
        return usual_s

    def is_recorded(self, target: str) -> bool:
        """Return whether requests for a target are recorded one by one."""
        return not any(target.startswith(one) for one in self.quiet_prefixes)

    async def __aenter__(self) -> Self:
        await self.store.open()
        return self

    async def __aexit__(self, *_: object) -> None:
        for host in self.hosts:
            await host.end()
        for server in (self.store, *self.backends):
            await server.close()
        if keep := os.environ.get("KEEP_LOGS"):
            for path in self.folder.iterdir():
                (Path(keep) / path.name).write_bytes(path.read_bytes())
        self._temporary.cleanup()

    async def add_backend(self, service: str, zone: str) -> None:
        """Start a backend and register it."""
        backend = Backend(self, service, zone)
        await backend.open()
        backend.register()
        self.backends.append(backend)

    def configure(self, version: int, routes: list[Item], services: list[str]) -> None:
        """Write a configuration."""
        self.store.put(
            "op/config",
            {
                "version": version,
                "routes": routes,
                "services": [
                    {"name": name, "health-path": "/health", "max-conns": 110}
                    for name in services
                ],
                "limits": {
                    "max-header-bytes": 16384,
                    "max-body-bytes": 262144,
                    "header-timeout-ms": 3000,
                    "idle-timeout-ms": 15000,
                },
            },
        )

    async def start_hosts(self) -> None:
        """Start all hosts, and return once each is ready and in touch.

        Each reads the store on its own path before it is told of the others.
        """
        await asyncio.gather(*(host.start() for host in self.hosts))
        for host in self.hosts:
            await self.until_ready(host)
        seeds = [host.control for host in self.hosts[:3]]
        for host in self.hosts:
            host.write_settings(seeds)
            host.signal(signal.SIGHUP)
        await asyncio.sleep(STABLE_S + 1.0)

    async def until_ready(self, host: Host) -> None:
        """Wait until a host is ready."""
        async with asyncio.timeout(READY_LIMIT_S):
            while not await self._is_ready(host):
                await asyncio.sleep(0.1)
        self.record.add(host.name, "is ready")

    async def _is_ready(self, host: Host) -> bool:
        try:
            status, _, _ = await ask(host.ready, "GET", "/ready", {"Host": "x"}, 2.0)
        except OSError:
            return False
        return status == 200

    def new_id(self) -> str:
        """Return an id for a client attempt."""
        return f"{random.getrandbits(48):012x}{next(self._ids):04x}"

    async def request(
        self,
        host: Host,
        target: str,
        limit_ms: int,
        method: str = "GET",
        body: bytes = b"",
        name: str | None = None,
    ) -> Answer:
        """Send one client attempt; return its id, status (0: closed) and headers."""
        name = name or self.new_id()
        headers = {
            "Host": "leave.example",
            "X-Burdockmill-Request-Id": name,
            "X-Burdockmill-Deadline-Ms": str(limit_ms),
        }
        is_recorded = self.is_recorded(target)
        if is_recorded:
            self.record.add("client sends", name, "to", host.name, method, target)
        try:
            status, given, data = await ask(
                host.front, method, target, headers, limit_ms / 1_000 + 1.0, body
            )
        except OSError:
            status, given, data = 0, {}, b""
        if is_recorded:
            after = given.get("retry-after", "-")
            self.record.add("client gets", name, status, f"retry-after={after}", data)
        return name, status, given


async def ask(
    address: str,
    method: str,
    target: str,
    headers: Headers,
    limit_s: float,
    body: bytes = b"",
) -> tuple[int, Headers, bytes]:
    """Send a request on a new connection; return status, headers and body.

    Raise OSError if the connection ends without a whole answer, or none comes in time.
    """
    host, port = address.split(":")
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(
                host, int(port), limit=READ_LIMIT
            )
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if body or method != "GET":
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            line, given = await read_head(reader)
            data = await read_body(reader, given)
            return int(line.split(" ")[1]), given, data
    except (TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
        raise OSError(str(error)) from error
    finally:
        if writer is not None:
            writer.close()


def route(name: str, prefix: str, kind: str, service: str) -> Item:
    """Return a route to one service."""
    return {
        "name": name,
        "host": "leave.example",
        "prefix": prefix,
        "type": kind,
        "timeout-ms": 5000,
        "latency-goal-ms": 300,
        "priority": 1,
        "service": service,
        "max-attempts": 2,
    }


def gather_route(name: str, prefix: str, services: list[str]) -> Item:
    """Return a route to all shards of an index."""
    return {
        "name": name,
        "host": "leave.example",
        "prefix": prefix,
        "type": "safe",
        "timeout-ms": 1200,
        "latency-goal-ms": 130,
        "priority": 1,
        "gather": services,
        "max-attempts": 2,
        "top-k": 10,
        "min-coverage": 0.75,
    }


def _interrupt(_number: int, _frame: FrameType | None) -> None:
    """Let a case that is told to stop end what it started."""
    raise KeyboardInterrupt


def main(case: Case, folder: Path) -> None:
    """Run a case and exit with 1 if it reports broken rules, 0 if not, else 2."""
    record = Record(Path(folder) / "record.txt")
    signal.signal(signal.SIGTERM, _interrupt)
    is_troubled = os.environ.get("TROUBLE", "1") != "0"
    record.add("with trouble" if is_troubled else "without trouble")
    try:
        broken = asyncio.run(asyncio.wait_for(case(record, is_troubled), 100.0))
    except (Exception, KeyboardInterrupt) as error:
        record.add("the case could not run:", repr(error))
        raise SystemExit(2) from error
    for line in broken:
        record.add("BROKEN", line)
    record.add("the rule was", "broken" if broken else "kept")
    sys.exit(1 if broken else 0)
