"""Run upstreams that end under a request, and come back as another incarnation."""

import asyncio
import itertools
import time

from tests.builders_forwarding_node import Client
from tests.builders_platform import StandinUpstream, entry_of

CRASHING = "crash"
BACK_AFTER_S = 1.5
WORK_S = 0.02


def now_ms():
    return time.monotonic() * 1_000.0


class CrashingUpstream(StandinUpstream):
    """End under each request whose target says so; be back under another id."""

    def __init__(self, store, service, domain, number, arrivals):
        super().__init__(f"u-{service}-{number}", service.encode() * 16)
        self.name = self.upstream
        self.service = service
        self.domain = domain
        self.crashes_ms = []
        self.script = self._run
        self._store = store
        self._arrivals = arrivals
        self._writers = set()
        self._starts = itertools.count(1)
        self._returning = None

    async def __aenter__(self):
        await super().__aenter__()
        self.register()
        return self

    async def __aexit__(self, *exited):
        if self._returning is not None:
            self._returning.cancel()
        await super().__aexit__(*exited)

    def register(self):
        changes = {"zone": self.domain, "born": next(self._starts)}
        entry = entry_of(self.service, self.address, **changes)
        self._store.put(f"servers/{self.upstream}", entry)

    def crash(self):
        """Close the listening socket and all connections at once."""
        if self._returning is not None and not self._returning.done():
            return
        self.crashes_ms.append(now_ms())
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        self._returning = asyncio.get_running_loop().create_task(self._return())

    async def _return(self):
        await asyncio.sleep(BACK_AFTER_S)
        host, port = self.address.split(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        self._store.remove(f"servers/{self.upstream}")
        self.upstream = f"{self.name}-{len(self.crashes_ms)}"
        self.register()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            await super()._serve(reader, writer)
        finally:
            self._writers.discard(writer)

    async def _run(self, _, request, writer):
        if request["expected"] != self.upstream:
            writer.write(self.answer(request, b"", "421 Misdirected Request"))
            return
        if CRASHING in request["target"]:
            self._arrivals.append(now_ms())
            await asyncio.sleep(WORK_S)
            self.crash()
            return
        await asyncio.sleep(WORK_S)
        writer.write(self.answer(request))


class Traffic:
    """Send requests to hosts in turn, and count the answers by status."""

    def __init__(self, addresses, target):
        self.statuses = []
        self._addresses = itertools.cycle(addresses)
        self._target = target
        self._number = itertools.count()

    async def run(self, interval_s, until_ms, retries=0):
        """Send one request after the other; each failed one again at the next host."""
        while now_ms() < until_ms():
            number = next(self._number)
            for _ in range(1 + retries):
                status = await self._ask(self._target.format(number))
                if status == 200:
                    break
            self.statuses.append(status)
            await asyncio.sleep(interval_s)

    def served(self):
        return sum(status == 200 for status in self.statuses) / len(self.statuses)

    async def _ask(self, target):
        client = Client(next(self._addresses))
        try:
            answer = await client.ask(target, deadline_ms=1_000)
            return answer.status
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            return 0
        finally:
            client.close()
