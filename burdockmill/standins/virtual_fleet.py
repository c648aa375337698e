"""Run several hosts' engines against simulated upstreams on a virtual clock."""

from __future__ import annotations

import heapq
import random
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, NamedTuple

from burdockmill.clock import VirtualClock
from burdockmill.core import make_engine
from burdockmill.errors import Ran
from burdockmill.messages.actions import (
    Answer,
    CancelAtUpstream,
    ReadHealth,
    SendToPeer,
    SendToUpstream,
)
from burdockmill.messages.events import PeerDelivered, PeerReceived, PeerUnreachable
from burdockmill.messages.fleet import Probe, RelayUpdates

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockmill.engine import Engine
    from burdockmill.messages.actions import Action
    from burdockmill.messages.events import Event
    from burdockmill.messages.peer import PeerMessage
    from burdockmill.names import DomainId, HostId

CONNECT_FAILURE_MS = 5.0
CLOCK_STEP_MS = 1e-6
REPLY_TIMEOUT_MS = 1_000.0
CONFIRMED_TYPES = (Probe, RelayUpdates)


class TimedAnswer(NamedTuple):
    """Record an answer, its host and its virtual time in milliseconds."""

    host: HostId
    at_ms: float
    answer: Answer


class UpstreamModel(ABC):
    """Simulate all upstreams; reply through `fleet.post` or `fleet.call_at`."""

    @abstractmethod
    def send(self, fleet: VirtualFleet, host: HostId, send: SendToUpstream) -> None:
        """Start an attempt; post its outcome to the host."""

    @abstractmethod
    def cancel(
        self, fleet: VirtualFleet, host: HostId, cancellation: CancelAtUpstream
    ) -> None:
        """Cancel an attempt, or ignore the cancellation."""

    @abstractmethod
    def read_health(self, fleet: VirtualFleet, host: HostId, read: ReadHealth) -> None:
        """Post the result of a health check to the host."""


class LinkModel(ABC):
    """Decide the delays and losses of messages between two hosts."""

    @abstractmethod
    def delays_ms(
        self, rng: random.Random, sender: HostId, receiver: HostId
    ) -> tuple[float, ...]:
        """Return one delay per delivered copy; empty if the message is lost."""


class FixedLink(LinkModel):
    """Deliver each message once after a constant delay."""

    def __init__(self, delay_ms: float) -> None:
        self._delay_ms = delay_ms

    def delays_ms(
        self, rng: random.Random, sender: HostId, receiver: HostId
    ) -> tuple[float, ...]:
        """Return the constant delay."""
        return (self._delay_ms,)


class VirtualFleet:
    """Run several hosts' engines against simulated upstreams on a virtual clock.

    Hosts in `paused` run no ticks until `resume`. Messages to hosts in
    `unreachable_hosts` are lost.
    """

    def __init__(self, seed: int, upstreams: UpstreamModel, link: LinkModel) -> None:
        self.clock = VirtualClock()
        self.rng = random.Random(seed)
        self.engine_by_host: dict[HostId, Engine] = {}
        self.paused: set[HostId] = set()
        self.unreachable_hosts: set[HostId] = set()
        self.skew_ms_by_host: dict[HostId, float] = {}
        self.answers: list[TimedAnswer] = []
        self.on_message: Callable[[HostId, HostId, PeerMessage], None] | None = None
        self.on_action: Callable[[HostId, Action], None] | None = None
        self._upstreams = upstreams
        self._link = link
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self._timer_by_host: dict[HostId, float] = {}

    def add_host(self, host: HostId, domain: DomainId) -> Engine:
        """Add a host with a new engine, or restart one with its state lost."""
        rng = random.Random(self.rng.getrandbits(64))
        self.engine_by_host[host] = make_engine(host, domain, rng)
        self._timer_by_host.pop(host, None)
        return self.engine_by_host[host]

    def remove_host(self, host: HostId) -> None:
        """Kill a host; events in flight to it are lost, new messages are refused."""
        self.engine_by_host.pop(host, None)

    def now_ms(self, host: HostId) -> float:
        """Return a host's own time, which may be skewed."""
        return self.clock.now_ms() + self.skew_ms_by_host.get(host, 0.0)

    def call_at(self, at_ms: float, work: Callable[[], None]) -> None:
        """Schedule `work` for a virtual time in milliseconds."""
        self._sequence += 1
        heapq.heappush(self._heap, (at_ms, self._sequence, work))

    def post(self, host: HostId, event: Event) -> None:
        """Post an event to a host now; a paused host handles it when it resumes."""
        engine = self.engine_by_host.get(host)
        if engine is not None:
            engine.post(event)
            self.run_tick(host)

    def resume(self, host: HostId) -> None:
        """Resume a paused host."""
        self.paused.discard(host)
        self.run_tick(host)

    def run_until(self, until_ms: float) -> None:
        """Run all work that is due up to a virtual time."""
        while self._heap and self._heap[0][0] <= until_ms:
            at_ms, _, work = heapq.heappop(self._heap)
            self.clock.advance_to(at_ms)
            work()
        self.clock.advance_to(until_ms)

    def run_tick(self, host: HostId) -> None:
        """Run a tick of a host's engine and perform its actions; skip a paused host."""
        engine = self.engine_by_host.get(host)
        if engine is None or host in self.paused:
            return
        for action in engine.tick(self.now_ms(host)):
            if self.on_action is not None:
                self.on_action(host, action)
            self._perform(host, action)
        due_ms = engine.next_due_ms()
        if due_ms is not None and due_ms != self._timer_by_host.get(host):
            self._timer_by_host[host] = due_ms
            skew_ms = self.skew_ms_by_host.get(host)
            at_ms = due_ms - skew_ms + CLOCK_STEP_MS if skew_ms else due_ms
            self.call_at(at_ms, lambda: self._on_timer(host, due_ms))

    def _on_timer(self, host: HostId, due_ms: float) -> None:
        if self._timer_by_host.get(host) == due_ms:
            del self._timer_by_host[host]
            self.run_tick(host)

    def _perform(self, host: HostId, action: Action) -> None:
        match action:
            case Answer():
                timed = TimedAnswer(host, self.clock.now_ms(), action)
                self.answers.append(timed)
            case SendToPeer():
                self._deliver(host, action.host, action.message)
            case SendToUpstream():
                self._upstreams.send(self, host, action)
            case CancelAtUpstream():
                self._upstreams.cancel(self, host, action)
            case ReadHealth():
                self._upstreams.read_health(self, host, action)

    def _deliver(self, sender: HostId, to: HostId, message: PeerMessage) -> None:
        if self.on_message is not None:
            self.on_message(sender, to, message)
        now_ms = self.clock.now_ms()
        if to not in self.engine_by_host:
            unreachable = PeerUnreachable(to, message, Ran.NO)
            at_ms = now_ms + CONNECT_FAILURE_MS
            self.call_at(at_ms, lambda: self.post(sender, unreachable))
            return
        received = PeerReceived(sender, message)
        delays_ms = self._link.delays_ms(self.rng, sender, to)
        if to in self.unreachable_hosts:
            delays_ms = ()
        for delay_ms in delays_ms:
            self.call_at(now_ms + delay_ms, lambda: self.post(to, received))
        if isinstance(message, CONFIRMED_TYPES):
            self._reply(sender, to, message, delays_ms)

    def _reply(
        self,
        sender: HostId,
        to: HostId,
        message: PeerMessage,
        sent_delays_ms: tuple[float, ...],
    ) -> None:
        now_ms = self.clock.now_ms()
        reply_delays_ms = self._link.delays_ms(self.rng, to, sender)
        if sent_delays_ms and reply_delays_ms and to not in self.paused:
            confirmed = PeerDelivered(to, message)
            at_ms = now_ms + sent_delays_ms[0] + reply_delays_ms[0]
            self.call_at(at_ms, lambda: self.post(sender, confirmed))
            return
        unreachable = PeerUnreachable(to, message, Ran.UNKNOWN)
        self.call_at(now_ms + REPLY_TIMEOUT_MS, lambda: self.post(sender, unreachable))
