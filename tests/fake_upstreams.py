"""Fake upstreams and network links with faults that tests set."""

from __future__ import annotations

from enum import Enum

import msgspec

from burdockmill.errors import Ran
from burdockmill.messages.events import (
    HealthRead,
    UpstreamAnswered,
    UpstreamFailed,
    UpstreamRefused,
)
from burdockmill.messages.peer import NO_BODY, Reason
from burdockmill.rules.model import RequestKind
from burdockmill.slots import SlotRange
from burdockmill.standins.virtual_fleet import LinkModel, UpstreamModel

CANCEL_MS = 1.0


class FaultMode(Enum):
    HEALTHY = "well"
    SILENT = "silent"
    SHED = "shed"
    BROKEN = "broken"
    CUT_BODY = "cut body"
    HALF = "half"


class FakeUpstream:
    def __init__(self, snapshots):
        self.snapshots = set(snapshots)
        self.advertised = None
        self.mode = FaultMode.HEALTHY
        self.delay_ms = 5.0
        self.healthy = True
        self.draining = False


class FakeUpstreams(UpstreamModel):
    """Answer from an oracle's records, or fail according to each upstream's mode."""

    def __init__(self, oracle, names, snapshots):
        self.oracle = oracle
        self.upstream_by_id = {name: FakeUpstream(snapshots) for name in names}
        self._in_flight = {}
        self.sent = []

    def send(self, fleet, host, send):
        self.sent.append(send)
        key = (host, send.request_id, send.attempt)
        self._in_flight[key] = send
        upstream = self.upstream_by_id[send.upstream]
        now_ms = fleet.clock.now_ms()
        deadline_ms = now_ms + max(0.0, send.remaining_ms)
        at_ms = now_ms + upstream.delay_ms * fleet.rng.uniform(0.5, 1.5)
        if upstream.mode is FaultMode.SILENT or at_ms > deadline_ms:
            fleet.call_at(deadline_ms, lambda: self._fail(fleet, key, Reason.DEADLINE))
            return
        fleet.call_at(at_ms, lambda: self._answer(fleet, key))

    def cancel(self, fleet, host, action):
        key = (host, action.request_id, action.attempt)
        at_ms = fleet.clock.now_ms() + CANCEL_MS
        fleet.call_at(at_ms, lambda: self._fail(fleet, key, Reason.CANCELLED))

    def read_health(self, fleet, host, read):
        upstream = self.upstream_by_id[read.upstream]
        shown = tuple(sorted(upstream.advertised or upstream.snapshots))
        snapshots = shown if upstream.healthy else None
        event = HealthRead(read.upstream, "i1", snapshots, upstream.draining)
        fleet.call_at(fleet.clock.now_ms() + 1.0, lambda: fleet.post(host, event))

    def _answer(self, fleet, key):
        send = self._in_flight.get(key)
        if send is None:
            return
        upstream = self.upstream_by_id[send.upstream]
        if upstream.mode is FaultMode.SHED:
            self._refuse(fleet, key, Reason.SHED)
        elif upstream.mode is FaultMode.BROKEN:
            self._fail(fleet, key, Reason.BROKEN)
        elif upstream.mode is FaultMode.CUT_BODY:
            self._fail(fleet, key, Reason.WRONG_ANSWER)
        elif send.kind is RequestKind.FETCH:
            found = self.oracle.has(send.key)
            body = msgspec.Raw(b'"%s"' % send.key.encode())
            self._succeed(fleet, key, (), 0, [], body, found)
        elif send.snapshot not in upstream.snapshots:
            self._refuse(fleet, key, Reason.SNAPSHOT_GONE)
        else:
            first, last = send.slots
            if upstream.mode is FaultMode.HALF:
                last = (first + last) // 2
            group = msgspec.json.decode(send.body)["group"]
            covered = (SlotRange(first, last),)
            hits = self.oracle.hits(send.snapshot, covered, group)
            cut = hits[: send.limit]
            self._succeed(fleet, key, covered, len(hits), cut, NO_BODY, True)

    def _succeed(self, fleet, key, covered, total, hits, body, found):
        send = self._in_flight.pop(key)
        upstream = self.upstream_by_id[send.upstream]
        answered = UpstreamAnswered(
            send.request_id,
            send.attempt,
            send.upstream,
            send.snapshot,
            covered,
            total,
            hits,
            body,
            found,
            tuple(sorted(upstream.snapshots)),
            upstream.draining,
        )
        fleet.post(key[0], answered)

    def _refuse(self, fleet, key, reason):
        send = self._in_flight.pop(key)
        upstream = self.upstream_by_id[send.upstream]
        refused = UpstreamRefused(
            send.request_id,
            send.attempt,
            send.upstream,
            reason,
            10,
            tuple(sorted(upstream.snapshots)),
            upstream.draining,
        )
        fleet.post(key[0], refused)

    def _fail(self, fleet, key, reason):
        send = self._in_flight.pop(key, None)
        if send is not None:
            failed = UpstreamFailed(
                send.request_id, send.attempt, send.upstream, reason, Ran.UNKNOWN
            )
            fleet.post(key[0], failed)


class FakeLink(LinkModel):
    """Delay, drop and duplicate messages at the rates that tests set."""

    def __init__(self):
        self.lost = 0.0
        self.duplicate_rate = 0.0
        self.max_delay_ms = 1.0

    def delays_ms(self, rng, sender, receiver):
        if rng.random() < self.lost:
            return ()
        copies = 2 if rng.random() < self.duplicate_rate else 1
        return tuple(rng.uniform(0.1, self.max_delay_ms) for _ in range(copies))
