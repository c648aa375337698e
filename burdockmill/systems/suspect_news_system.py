"""Tell all hosts which requests crash upstreams.

News goes to random hosts, and each host that learns something from it passes it on.
What is lost, and what a host missed while it was away, is found by comparing checksums.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.messages.actions import LogDecision, SendToPeer
from burdockmill.messages.events import HostStarted, PeerReceived
from burdockmill.messages.suspects import SuspectNews, SuspectPoll, SuspectsChanged
from burdockmill.systems.system import System

if TYPE_CHECKING:
    from collections.abc import Sequence

    from burdockmill.messages.actions import Action
    from burdockmill.names import HostId
    from burdockmill.world import World

POLL, FLUSH, REPEAT = "poll", "flush", "repeat"
# Each host passes news on to so many others; larger fleets need few more hops.
FANOUT = 8
REPORTS_PER_MESSAGE = 32
# News within this time of the last is sent together.
BATCH_WINDOW_MS = 20.0
# A fleet that is told at once by one host gets the same news again after these times,
# since a single message may be lost; in a larger one news takes several ways.
REPEAT_DELAYS_MS = (100.0, 400.0)
# Interval at which a host compares what it holds back with a random other one, while it
# holds any request back, and while it has just started.
HELD_POLL_MS = 1_000.0
START_POLL_MS = 250.0
# A host is told of knowledge that goes this much further back than its own.
MEMORY_MARGIN_MS = 1_000.0
# Interval at which rows expire while nothing is held back; no message is sent.
EXPIRY_MS = 5_000.0


class SuspectNewsSystem(System):
    """Spread what is known of requests that crash upstreams."""

    name = "suspect_news"
    handles = (SuspectsChanged, SuspectNews, SuspectPoll, HostStarted)

    def __init__(self) -> None:
        # The keys to pass on, as an ordered set, and when the last news was sent.
        self._pending_by_key: dict[str, None] = {}
        self._sent_ms = -BATCH_WINDOW_MS
        # The keys of news to send again, by the time at which that is due.
        self._repeated_by_due: dict[float, list[str]] = {}

    def run(self, world: World, now_ms: float) -> list[Action]:
        """Pass news on, and compare what is known with other hosts."""
        actions: list[Action] = []
        for event in world.drain_events(self.name):
            match event:
                case HostStarted():
                    world.suspects.known_since_ms = now_ms
                    self._schedule_poll(world, now_ms)
                case SuspectsChanged(keys=keys):
                    self._pass_on(keys)
                    _log_changes(world, keys, "seen by this host", now_ms, actions)
                case PeerReceived(message=SuspectNews() as news):
                    self._receive(world, event.sender, news, now_ms, actions)
                case PeerReceived(message=SuspectPoll() as poll):
                    self._reply(world, event.sender, poll, now_ms, actions)
            self._schedule_poll(world, now_ms)
        if POLL in world.due(self.name).pop_due(now_ms):
            world.suspects.expire(now_ms)
            polls = world.suspects.holds_any or world.is_starting(now_ms)
            for host in self._targets(world, 1) if polls else ():
                known_for_ms = world.suspects.known_for_ms(now_ms)
                poll = SuspectPoll(world.suspects.checksum(), known_for_ms)
                actions.append(SendToPeer(host, poll))
            self._schedule_poll(world, now_ms)
        self._repeat(world, now_ms, actions)
        self._flush(world, now_ms, actions)
        return actions

    def _pass_on(self, keys: Sequence[str]) -> None:
        self._pending_by_key.update(dict.fromkeys(keys))

    def _flush(self, world: World, now_ms: float, actions: list[Action]) -> None:
        """Send pending news at once, or together with more after the last batch."""
        if not self._pending_by_key:
            return
        due_ms = self._sent_ms + BATCH_WINDOW_MS
        if now_ms < due_ms:
            world.due(self.name).schedule(FLUSH, due_ms)
            return
        self._sent_ms = now_ms
        keys, self._pending_by_key = list(self._pending_by_key), {}
        hosts = self._targets(world, FANOUT)
        self._send_news(world, hosts, keys, now_ms, actions)
        if len(world.member_by_host) <= FANOUT + 1:
            for delay_ms in REPEAT_DELAYS_MS:
                self._repeated_by_due[now_ms + delay_ms] = keys
            self._schedule_repeat(world)

    def _repeat(self, world: World, now_ms: float, actions: list[Action]) -> None:
        """Send the news again that is due."""
        due = sorted(at_ms for at_ms in self._repeated_by_due if at_ms <= now_ms)
        for at_ms in due:
            keys = self._repeated_by_due.pop(at_ms)
            hosts = self._targets(world, FANOUT)
            self._send_news(world, hosts, keys, now_ms, actions)
        if due:
            self._schedule_repeat(world)

    def _schedule_repeat(self, world: World) -> None:
        if self._repeated_by_due:
            world.due(self.name).schedule(REPEAT, min(self._repeated_by_due))

    def _receive(
        self,
        world: World,
        sender: HostId,
        news: SuspectNews,
        now_ms: float,
        actions: list[Action],
    ) -> None:
        suspects = world.suspects
        changed: list[str] = []
        stale: list[str] = []
        for report in news.reports:
            merged = suspects.merge(report, now_ms)
            if merged.is_stale:
                stale.append(report.key)
            if merged.is_changed:
                changed.append(report.key)
        _log_changes(world, changed, f"news of {sender}", now_ms, actions)
        if news.is_reply and news.known_for_ms >= 0.0:
            since_ms = now_ms - news.known_for_ms
            suspects.known_since_ms = min(suspects.known_since_ms, since_ms)
        if news.is_reply:
            if suspects.checksum() != news.checksum:
                self._send_news(world, [sender], _held_keys(world), now_ms, actions)
            return
        if stale:
            self._send_news(world, [sender], stale, now_ms, actions)
        if len(world.member_by_host) > FANOUT + 1:
            self._pass_on(changed)

    def _reply(
        self,
        world: World,
        sender: HostId,
        poll: SuspectPoll,
        now_ms: float,
        actions: list[Action],
    ) -> None:
        known_for_ms = world.suspects.known_for_ms(now_ms)
        is_older = 0.0 <= poll.known_for_ms < known_for_ms - MEMORY_MARGIN_MS
        if is_older or poll.checksum != world.suspects.checksum():
            keys = _held_keys(world)
            self._send_news(world, [sender], keys, now_ms, actions, is_reply=True)

    def _send_news(
        self,
        world: World,
        hosts: Sequence[HostId],
        keys: Sequence[str],
        now_ms: float,
        actions: list[Action],
        is_reply: bool = False,
    ) -> None:
        reports = world.suspects.reports(keys, now_ms)
        checksum = world.suspects.checksum()
        known_for_ms = world.suspects.known_for_ms(now_ms)
        world.suspects.counts["reports_sent"] += len(reports) * len(hosts)
        first = reports[:REPORTS_PER_MESSAGE]
        rest = [
            reports[index : index + REPORTS_PER_MESSAGE]
            for index in range(REPORTS_PER_MESSAGE, len(reports), REPORTS_PER_MESSAGE)
        ]
        for host in hosts:
            for batch in rest:
                actions.append(SendToPeer(host, SuspectNews(batch, checksum)))
            # The reply comes last, so that its checksum is compared after all reports.
            news = SuspectNews(first, checksum, is_reply, known_for_ms)
            actions.append(SendToPeer(host, news))

    def _targets(self, world: World, count: int) -> list[HostId]:
        """Return random other hosts that are alive."""
        members = world.member_by_host.values()
        hosts = [row.host for row in members if row.alive and row.host != world.host]
        return hosts if len(hosts) <= count else world.rng.sample(hosts, count)

    def _schedule_poll(self, world: World, now_ms: float) -> None:
        due = world.due(self.name)
        if world.is_starting(now_ms):
            wait_ms = START_POLL_MS
        elif world.suspects.holds_any:
            wait_ms = HELD_POLL_MS
        elif world.suspects:
            wait_ms = EXPIRY_MS
        else:
            due.cancel(POLL)
            return
        if POLL not in due:
            due.schedule(POLL, now_ms + world.rng.uniform(0.5, 1.0) * wait_ms)


def _held_keys(world: World) -> list[str]:
    """Return the keys of the requests that are held back."""
    return [row.key for row in world.suspects if row.is_held]


def _log_changes(
    world: World,
    keys: Sequence[str],
    source: str,
    now_ms: float,
    actions: list[Action],
) -> None:
    """Log which requests are held back from now on, and which no longer."""
    for key in keys:
        row = world.suspects.stored_row(key)
        if row is None or row.is_held == row.is_logged:
            continue
        row.is_logged = row.is_held
        choice = f"holds back {key}" if row.is_held else f"no longer holds back {key}"
        crashes = [
            [one.upstream, one.host, one.depth, round(one.ended_age_ms)]
            for one in row.report(now_ms).crashes
        ]
        inputs = {"round": row.round, "trials": row.trials, "crashes": crashes}
        actions.append(LogDecision("suspect", "", choice, source, inputs=inputs))
