"""Send a steady load to a fleet and check the answers against the upstreams' logs."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from typing import Any, NamedTuple

import aiohttp

from burdockmill.clients._session import open_session
from burdockmill.clock import MonotonicClock
from burdockmill.slots import SLOT_COUNT, slot_of
from burdockmill.standins.records import scan
from tests.builders_processes import CALLER_KEY, SERVICE, until

QUERY = {"off_in": "2026-08"}
LIMIT = 5
DEADLINE_MS = 800
CLIENT_EXTRA_MS = 700
PAUSE_SECONDS = 0.01
EXPIRY_SLACK_MS = 150.0
KINDS = ("search", "fetch", "action")


class Sent(NamedTuple):
    """Store one request and its answer; `status` is 0 if there was no answer."""

    kind: str
    host: str
    key: str
    due_ms: float
    status: int
    body: Any


class Balancer:
    """Poll the readiness of all hosts and list the ready ones, as a load balancer."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._task = None
        self.ready = []

    def start(self):
        self._task = asyncio.create_task(self._run())

    async def stop(self):
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self):
        while True:
            hosts = self._fleet.hosts
            checks = await asyncio.gather(*map(self._fleet.is_ready, hosts))
            self.ready = [
                host for host, ready in zip(hosts, checks, strict=True) if ready
            ]
            await asyncio.sleep(0.02)


class Traffic:
    """Send searches, fetches and actions continuously; each action has its own key."""

    def __init__(self, fleet, workers=6):
        self.fleet = fleet
        self.balancer = Balancer(fleet)
        self.sent = []
        self._rng = random.Random(11)
        self._workers = workers
        self._tasks = []
        self._ended = False
        self._clock = MonotonicClock()
        self._keys = [record["key"] for record in fleet.records.records_at(2)]
        self._fresh_keys = list(self._keys)
        self._rng.shuffle(self._fresh_keys)
        self._session = open_session(aiohttp.TCPConnector(limit=0))

    async def __aenter__(self):
        self.balancer.start()
        await until(lambda: self.balancer.ready, "a host is ready")
        loop = asyncio.get_running_loop()
        for number in range(self._workers):
            kind = KINDS[number % len(KINDS)]
            self._tasks.append(loop.create_task(self._work(kind)))
        return self

    async def __aexit__(self, *_):
        self._ended = True
        results = await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.balancer.stop()
        await self._session.close()
        for result in results:
            if result is not None:
                raise result

    async def until_more(self, count):
        """Wait until `count` more requests of each kind have an outcome."""
        before = self._done()
        await until(
            lambda: all(self._done()[kind] >= before[kind] + count for kind in KINDS),
            f"{count} more of each kind",
        )

    async def until_complete(self, count, hosts=None):
        """Wait until `count` consecutive searches cover all slots."""
        names = {host.name for host in hosts or self.fleet.hosts}
        first = len(self.sent)

        def is_reached():
            in_a_row = 0
            for one in self.sent[first:]:
                if one.kind == "search" and one.host in names:
                    in_a_row = 0 if _is_incomplete(one) else in_a_row + 1
            return in_a_row >= count

        await until(is_reached, f"{count} complete searches in a row")

    def _done(self):
        return Counter(one.kind for one in self.sent)

    async def _work(self, kind):
        while not self._ended:
            if self.balancer.ready:
                host = self._rng.choice(self.balancer.ready)
                await self.send(kind, host)
            await asyncio.sleep(PAUSE_SECONDS)

    async def send(self, kind, host, deadline_ms=DEADLINE_MS):
        """Send one request, and record and return its outcome."""
        key = (
            self._fresh_keys.pop() if kind == "action" else self._rng.choice(self._keys)
        )
        base = f"http://{host.caller}/v1/services/{SERVICE}"
        method, url, body = {
            "search": ("POST", f"{base}/search", {"query": QUERY, "limit": LIMIT}),
            "fetch": ("GET", f"{base}/records/{key}", None),
            "action": ("POST", f"{base}/actions", _approval(key)),
        }[kind]
        headers = {
            "Authorization": f"Bearer {CALLER_KEY}",
            "Deadline-Ms": str(deadline_ms),
        }
        sent_ms = self._clock.now_ms()
        try:
            async with (
                asyncio.timeout((deadline_ms + CLIENT_EXTRA_MS) / 1_000),
                self._session.request(method, url, json=body, headers=headers) as reply,
            ):
                result = (reply.status, await reply.json())
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            result = (0, repr(error))
        sent = Sent(kind, host.name, key, sent_ms + deadline_ms, *result)
        self.sent.append(sent)
        return sent

    @property
    def unanswered(self):
        """Return the requests without an answer."""
        return [one for one in self.sent if one.status == 0]

    @property
    def unsure(self):
        """Return the requests of which it is unknown whether they were run."""
        return [
            one
            for one in self.sent
            if one.status == 0
            or one.body.get("outcome") == "unknown"
            or one.body.get("ran") == "unknown"
        ]

    @property
    def incomplete(self):
        """Return the searches without a complete answer."""
        return [
            one for one in self.sent if one.kind == "search" and _is_incomplete(one)
        ]

    def check(self):
        """Check every answer against the data and the upstreams' logs."""
        rows = [row for up in self.fleet.upstream_by_id.values() for row in up.log]
        runs_by_key = Counter(row.key for row in rows if row.kind == "action")
        ends_by_request = {
            one.body["request_id"]: one.due_ms for one in self.sent if one.status
        }
        for one in self.sent:
            _CHECK_BY_KIND[one.kind](self.fleet, one, runs_by_key[one.key])
        for row in rows:
            end_ms = ends_by_request.get(row.request_id)
            if end_ms is not None:
                assert row.at_ms <= end_ms + EXPIRY_SLACK_MS, row
        self._check_late_actions(rows)

    def _check_late_actions(self, rows):
        end_by_key = {one.key: one.due_ms for one in self.sent if one.kind == "action"}
        for row in rows:
            if row.kind == "action":
                assert row.at_ms <= end_by_key[row.key] + EXPIRY_SLACK_MS, row


def _is_incomplete(one):
    return one.status != 200 or not one.body["coverage"]["complete"]


def _approval(key):
    return {"key": key, "action": {"approve": True}}


def _check_search(fleet, one, runs):
    if one.status != 200:
        assert one.status in (0, 503, 504), one
        return
    coverage = one.body["coverage"]
    missing = [(gap["first"], gap["last"]) for gap in coverage["missing"]]
    lost = sum(last - first + 1 for first, last in missing)
    assert coverage["covered"] + lost == SLOT_COUNT, one
    assert coverage["complete"] == (not missing), one
    if not one.body["snapshot"]:
        assert lost == SLOT_COUNT, one
        return
    covered_records = [
        record
        for record in fleet.records.records_at(one.body["snapshot"])
        if not any(first <= slot_of(record["key"]) <= last for first, last in missing)
    ]
    expected = scan(covered_records, QUERY, LIMIT)
    assert [hit["key"] for hit in one.body["hits"]] == [h.key for h in expected.hits], (
        one
    )
    assert one.body["total"] == expected.total, one


def _check_fetch(fleet, one, runs):
    if one.status != 200:
        assert one.status in (0, 503, 504), one
        return
    expected = fleet.records.latest(one.key)
    assert one.body["record"] | {"status": ""} == expected | {"status": ""}, one


def _check_action(fleet, one, runs):
    assert runs <= 1, one
    if one.status == 0:
        return
    reported = one.body.get("outcome") or one.body["ran"]
    if reported in ("done", "yes"):
        assert runs == 1, one
    elif reported in ("not_run", "no"):
        assert runs == 0, one
    else:
        assert reported == "unknown", one


_CHECK_BY_KIND = {
    "search": _check_search,
    "fetch": _check_fetch,
    "action": _check_action,
}
