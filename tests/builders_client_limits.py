"""Send what clients outside the limits send, and observe the host's process."""

import asyncio
import os
import zlib
from contextlib import suppress
from pathlib import Path

from tests.builders_platform_processes import OPERATOR_PORT, HostProcess

BLOCK_BYTES = 65_536
KILOBYTES_PER_MEGABYTE = 1_024
POLL_S = 0.05
HEAD = (
    b"POST /fetch/x HTTP/1.1\r\nHost: leave.example\r\n"
    b"X-Burdockmill-Request-Id: id-crowd\r\nX-Burdockmill-Deadline-Ms: 1000\r\n"
)
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
GET = HEAD.replace(b"POST", b"GET")
PIPELINED = GET + b"a:\r\n" * 3_900 + b"\r\n"
DISTINCT = b"".join(b"%x:\r\n" % number for number in range(2_600))
SEARCH = GET.replace(b"/fetch/", b"/overlap/")
# Folded, without a name, with a space before the colon, with bytes outside of ASCII,
# with a carriage return inside, and with the end of a line alone.
ODD_LINES = b"a: 1\r\n 2\r\n: x\r\nb : x\r\n\xff\xfe: \xff\r\nc: x\ry\r\nd: x\n" * 400
SWITCH = b"Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n"


def blocks_of(unit):
    return unit * (BLOCK_BYTES // len(unit) + 1)


def batch_of(body, headers=b""):
    """Return a request of a peer with a body."""
    size = b"Content-Length: %d\r\n" % len(body)
    return (
        b"POST /peer/v1/batch HTTP/1.1\r\nHost: x\r\n"
        + size
        + headers
        + (b"\r\n" + body)
    )


def compressed(size_bytes):
    packer = zlib.compressobj(9, wbits=31)
    return packer.compress(bytes(size_bytes)) + packer.flush()


# By client: what it sends first, and what it then repeats without end.
CLIENTS = {
    "pipelined heads": (b"", PIPELINED * 4),
    "trailers": (HEAD + CHUNKED + b"1\r\nx\r\n0\r\n", blocks_of(b"a:\r\n")),
    "long trailers": (
        HEAD + CHUNKED + b"1\r\nx\r\n0\r\n",
        blocks_of(b"a: " + b"x" * 995 + b"\r\n"),
    ),
    "one-byte chunks": (HEAD + CHUNKED, blocks_of(b"1\r\nx\r\n")),
    "slow bodies": (HEAD + b"Content-Length: 9\r\n" + DISTINCT + b"\r\n", b""),
    "heads without end": (HEAD, blocks_of(b"a:\r\n")),
    "empty lines": (b"", blocks_of(b"\r\n")),
    "odd lines": (b"", (GET + ODD_LINES + b"\r\n") * 8),
    "short and odd lines": (b"", (GET + b"a:\r\n" * 3_000 + b" x\r\n" * 100) * 4),
    "heads over the limit": (b"", (GET + b"a: " + b"x" * 20_000 + b"\r\n\r\n") * 4),
    "far too large heads": (b"", (GET + b"a:\r\n" * 30_000 + b"\r\n") * 2),
    "a line without end": (GET + b"a: ", blocks_of(b"x" * 1_000)),
    "a path without end": (b"GET /fetch/", blocks_of(b"/" * 1_000)),
    "upgrades": (GET + SWITCH, blocks_of(b"x" * 1_000)),
    "tunnels": (HEAD.replace(b"POST", b"CONNECT") + b"\r\n", blocks_of(b"x" * 1_000)),
    "unfinished bodies": (
        HEAD + b"Content-Length: 200000\r\n\r\n" + b"x" * 190_000,
        b"",
    ),
    "whole heads": (b"", (GET + DISTINCT + b"\r\n") * 4),
    "whole searches": (b"", (SEARCH + DISTINCT + b"\r\n") * 4),
    "plain requests": (b"", (GET + b"\r\n") * 50),
    "compressed bodies": (
        b"",
        batch_of(compressed(48_000_000), b"Content-Encoding: gzip\r\n"),
    ),
    "many small messages": (
        b"",
        batch_of(b'{"sender":"x","probes":[' + b"0," * 4_000_000 + b"0]}"),
    ),
    "silent": (b"", b""),
    "one byte": (b"G", b""),
    "one empty line": (b"\r\n", b""),
    "answered": (GET + b"\r\n", b""),
    "begun body": (HEAD + b"Content-Length: 9\r\n\r\na", b""),
}
# By client: what it sends first, and what it then sends once in TRICKLE_S.
TRICKLES = {
    "a trickled head": (GET + b"a: ", b"x"),
    "trickled lines": (HEAD, b"a:\r\n"),
    "trickled empty lines": (b"", b"\r\n"),
    "a trickled body": (HEAD + b"Content-Length: 200000\r\n\r\n", b"x"),
    "an expected body": (
        HEAD + b"Content-Length: 200000\r\nExpect: 100-continue\r\n\r\n",
        b"",
    ),
}
TRICKLE_S = 0.2


class SmallHost(HostProcess):
    """Run a host whose settings state its memory and descriptors."""

    def __init__(self, number, store, folder, memory_mb, descriptors=4_096):
        super().__init__(number, store, folder)
        self.memory_mb = memory_mb
        self.descriptors = descriptors

    @property
    def operator(self):
        return f"{self.ip}:{OPERATOR_PORT}"

    def settings_text(self, seeds):
        text = super().settings_text(seeds)
        limits = f"memory-mb={self.memory_mb}\nlimits.max-fds={self.descriptors}"
        return text.replace("memory-mb=300", limits)


class Crowd:
    """Keep connections open that all send the same, whatever is answered.

    One that `returns` connects again whenever its connection has ended.
    """

    def __init__(self, address, client, size, reads=True, returns=False):
        self._address = address.split(":")
        self._first, self._block = (CLIENTS | TRICKLES)[client]
        self._pause_s = TRICKLE_S if client in TRICKLES else 0.0
        self._reads = reads
        self._returns = returns
        self._size = size
        self._tasks = []

    async def __aenter__(self):
        self._tasks = [asyncio.create_task(self._run()) for _ in range(self._size)]
        return self

    async def __aexit__(self, *_):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run(self):
        while True:
            with suppress(OSError):
                await self._send()
            if not self._returns:
                return
            await asyncio.sleep(POLL_S)

    async def _send(self):
        reader, writer = await asyncio.open_connection(*self._address)
        reading = asyncio.create_task(self._read(reader))
        try:
            writer.write(self._first)
            while self._block:
                writer.write(self._block)
                await writer.drain()
                await asyncio.sleep(self._pause_s)
            await reading
        finally:
            reading.cancel()
            writer.close()

    async def _read(self, reader):
        while self._reads and await reader.read(BLOCK_BYTES):
            pass


def resident_mb(pid):
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / KILOBYTES_PER_MEGABYTE
    return 0.0


def descriptors_open(pid):
    return len(os.listdir(f"/proc/{pid}/fd"))


async def peaks_of(pid, seconds, most_mb):
    """Return the most memory and descriptors seen; stop early above `most_mb`."""
    memory_mb, descriptors = 0.0, 0
    loop = asyncio.get_running_loop()
    end_s = loop.time() + seconds
    while loop.time() < end_s and memory_mb <= most_mb:
        memory_mb = max(memory_mb, resident_mb(pid))
        descriptors = max(descriptors, descriptors_open(pid))
        await asyncio.sleep(POLL_S)
    return memory_mb, descriptors
