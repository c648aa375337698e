"""Small fakes at the interfaces of the surfaces and clients."""

from __future__ import annotations

import asyncio

from burdockmill.clock import VirtualClock
from burdockmill.decision import Decision
from burdockmill.explanation import explain_local
from burdockmill.settings import Settings
from burdockmill.surfaces.gateway import Gateway


class FakeGateway(Gateway):
    """Return a preset answer and record all calls."""

    def __init__(self, rules, answer=None, **settings):
        self.settings = Settings(
            host="entry-1",
            domain="waw-a",
            region="pl",
            caller_address="127.0.0.1:0",
            peer_address="127.0.0.1:0",
            operator_address="127.0.0.1:0",
            platform_addresses=(),
            seeds=(),
            peer_key="secret",
            **settings,
        )
        self.clock = VirtualClock(1000.0)
        self.rules_now = rules
        self.ready_now = True
        self.stopping_now = False
        self.refused = []
        self.answer = answer
        self.asked = []
        self.disconnected = []
        self.batches = []
        self.request_received = asyncio.Event()
        self.gone = asyncio.Event()

    @property
    def rules(self):
        return self.rules_now

    @property
    def ready(self):
        return self.ready_now

    @property
    def stopping(self):
        return self.stopping_now

    def count_refusal(self, surface, kind):
        self.refused.append((surface, kind))

    async def handle_request(self, request):
        self.asked.append(request)
        self.request_received.set()
        if self.answer is None:
            await asyncio.Event().wait()
        if isinstance(self.answer, Exception):
            raise self.answer
        return self.answer

    def leave(self, request_id):
        self.disconnected.append(request_id)
        self.gone.set()

    def receive_batch(self, batch):
        self.batches.append(batch)
        return sum(len(field) for name, field in batch.items() if name != "sender")

    def explain(self, request_id):
        decision = Decision(1.0, "route", request_id, "owner", "nearest", ())
        return explain_local("entry-1", request_id, [decision], 2.0)

    async def explain_with_owners(self, request_id):
        return self.explain(request_id)

    def block_hosts(self, hosts):
        self.blocked = hosts

    def status(self):
        return {"host": "entry-1", "state": "ready"}

    def metrics_text(self, accept):
        return b"requests_total 1\n", "text/plain; version=0.0.4; charset=utf-8"


class RawServer:
    """Answer HTTP requests with preset raw bytes; None closes the connection."""

    def __init__(self, *replies):
        self.replies = list(replies)
        self.requests = []
        self.connections = 0
        self._server = None
        self._writers = set()

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self

    async def __aexit__(self, *_):
        self._server.close()
        for writer in self._writers:
            writer.close()

    @property
    def address(self):
        host, port = self._server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def _serve(self, reader, writer):
        self.connections += 1
        self._writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                body = await reader.readexactly(_length(head))
                self.requests.append((head, body))
                reply = self.replies.pop(0) if self.replies else None
                if callable(reply):
                    reply = await reply()
                if reply is None:
                    break
                writer.write(reply)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


def http_reply(body, status=200, length=None):
    """Return a raw HTTP reply; `length` may differ from the length of `body`."""
    size = len(body) if length is None else length
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s" % (status, size, body)


def _length(head):
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return int(line.split(b":")[1])
    return 0
