"""Spread news to every member of the own domain."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from burdockmill.messages.actions import Action, SendToPeer
from burdockmill.messages.events import (
    Event,
    Learned,
    PeerDelivered,
    PeerReceived,
    PeerUnreachable,
)
from burdockmill.messages.fleet import News, Spread, Submit
from burdockmill.placement import RING_SIZE, ring_position
from burdockmill.systems._intake import apply_updates
from burdockmill.systems._ring import Place, Ring
from burdockmill.systems.system import System
from burdockmill.tables.gathered_news import GatheredNews

if TYPE_CHECKING:
    from burdockmill.names import HostId
    from burdockmill.world import World

BATCH_MS = 400.0
CONFIRM_MS = 700.0
HAND_MS = 300.0
FANOUT = 4
SAME_HOST_TRIES = 2
TRIES_LIMIT = 5
RECENT_MS = 4_000.0
HANDLED_KEPT = 16
FLUSH = ("flush", 0)
CONFIRM = ("confirm", 0)
Due = tuple[str, int]


class Handed(NamedTuple):
    """Hold a part of the ring handed to a host that has not confirmed it."""

    host: HostId
    message: Spread
    rest: tuple[Place, ...]
    tries: int


class SpreadSystem(System):
    """Gather news at the domain's first reader and hand it on along the ring."""

    name = "spread"
    handles = (Learned, Submit, Spread, PeerDelivered, PeerUnreachable)

    def __init__(self, ring: Ring) -> None:
        self._ring = ring
        self._waiting = GatheredNews()
        self._unconfirmed = GatheredNews()
        self._submit_tries = 0
        self._handed_by_number: dict[int, Handed] = {}
        self._number = 0
        self._handled: deque[Spread] = deque(maxlen=HANDLED_KEPT)

    def run(self, world: World, now_ms: float) -> list[Action]:
        """Take in news, and hand on what is due."""
        actions: list[Action] = []
        for event in world.take_events(self.name):
            self._take(world, event, now_ms, actions)
        for key in world.due(self.name).take(now_ms):
            self._on_due(world, key, now_ms, actions)
        return actions

    def _take(
        self, world: World, event: Event, now_ms: float, actions: list[Action]
    ) -> None:
        match event:
            case Learned(news=news):
                self._submit(world, news, now_ms, actions)
            case PeerReceived(message=Submit() as submit):
                self._gather(world, event.sender, submit.news, now_ms, actions)
            case PeerReceived(message=Spread() as spread):
                self._receive(world, event.sender, spread, now_ms, actions)
            case PeerDelivered(message=Spread()):
                self._confirm_hand(world, event.host, event.message)
            case PeerUnreachable(message=Submit()) if self._unconfirmed:
                world.due(self.name).schedule(CONFIRM, now_ms)
            case PeerUnreachable(message=Spread()):
                self._fail_hand(world, event, now_ms, actions)

    def _submit(
        self, world: World, news: News, now_ms: float, actions: list[Action]
    ) -> None:
        if not world.fleet.started:
            others = [host for host in world.member_by_host if host != world.host]
            actions.extend(SendToPeer(host, Spread(0, 0, news)) for host in others)
            return
        if not self._unconfirmed:
            self._submit_tries = 0
        self._unconfirmed.add(news)
        rank = self._rank(world) if news.rules else 0
        if rank > 0:
            # The first reader has read the same revision and passes it on.
            world.due(self.name).schedule(CONFIRM, now_ms + CONFIRM_MS * rank)
            return
        self._send_submit(world, news, now_ms, actions)

    def _rank(self, world: World) -> int:
        roots = self._ring.readers(world)
        return roots.index(world.host) if world.host in roots else 0

    def _send_submit(
        self, world: World, news: News, now_ms: float, actions: list[Action]
    ) -> None:
        roots = self._ring.readers(world)
        rank = self._submit_tries
        root = roots[rank] if rank < len(roots) else world.host
        if root == world.host:
            self._batch(world, news, now_ms)
            self._unconfirmed.drop(news)
            return
        actions.append(SendToPeer(root, Submit(news)))
        if self._unconfirmed:
            world.due(self.name).schedule(CONFIRM, now_ms + CONFIRM_MS)

    def _gather(
        self,
        world: World,
        sender: HostId,
        news: News,
        now_ms: float,
        actions: list[Action],
    ) -> None:
        apply_updates(world, sender, news, now_ms, actions)
        known, rest = world.fleet.recent.split(news, now_ms - RECENT_MS)
        if rest != News():
            self._batch(world, rest, now_ms)
        if known != News():
            actions.append(SendToPeer(sender, Spread(0, 0, known)))

    def _batch(self, world: World, news: News, now_ms: float) -> None:
        if not self._waiting:
            world.due(self.name).schedule(FLUSH, now_ms + BATCH_MS)
        self._waiting.add(news)

    def _receive(
        self,
        world: World,
        sender: HostId,
        spread: Spread,
        now_ms: float,
        actions: list[Action],
    ) -> None:
        if spread in self._handled:
            world.counter_by_name["spreads_repeated"] += 1
            return
        self._handled.append(spread)
        apply_updates(world, sender, spread.news, now_ms, actions)
        self._note(world, spread.news, now_ms)
        if spread.length:
            self._hand_on(
                world, spread.first, spread.length, spread.news, now_ms, actions
            )

    def _note(self, world: World, news: News, now_ms: float) -> None:
        self._unconfirmed.drop(news)
        self._waiting.drop(news)
        world.fleet.recent.add(news, now_ms)

    def _hand_on(
        self,
        world: World,
        first: int,
        length: int,
        news: News,
        now_ms: float,
        actions: list[Action],
    ) -> None:
        places = self._ring.within(world, first, length)
        if not places:
            return
        size = -(-len(places) // FANOUT)
        groups = [places[i : i + size] for i in range(0, len(places), size)]
        ends = [group[0].position for group in groups[1:]]
        ends.append((first + length) % RING_SIZE)
        for group, end in zip(groups, ends, strict=True):
            head, *rest = group
            start = (head.position + 1) % RING_SIZE
            spread = Spread(start, (end - start) % RING_SIZE, news)
            self._hand(
                world, Handed(head.host, spread, tuple(rest), 1), now_ms, actions
            )

    def _hand(
        self, world: World, handed: Handed, now_ms: float, actions: list[Action]
    ) -> None:
        self._number += 1
        self._handed_by_number[self._number] = handed
        world.due(self.name).schedule(("hand", self._number), now_ms + HAND_MS)
        actions.append(SendToPeer(handed.host, handed.message))

    def _confirm_hand(self, world: World, host: HostId, message: object) -> None:
        for number, handed in list(self._handed_by_number.items()):
            if handed.host == host and handed.message == message:
                del self._handed_by_number[number]
                world.due(self.name).cancel(("hand", number))

    def _fail_hand(
        self,
        world: World,
        event: PeerUnreachable,
        now_ms: float,
        actions: list[Action],
    ) -> None:
        for number, handed in list(self._handed_by_number.items()):
            if handed.host == event.host and handed.message == event.message:
                world.due(self.name).cancel(("hand", number))
                self._hand_again(world, number, now_ms, actions, handed.rest != ())

    def _hand_again(
        self,
        world: World,
        number: int,
        now_ms: float,
        actions: list[Action],
        refused: bool = False,
    ) -> None:
        handed = self._handed_by_number.pop(number, None)
        if handed is None:
            return
        row = world.member_by_host.get(handed.host)
        if row is None or not row.alive or handed.tries >= TRIES_LIMIT:
            world.counter_by_name["spread_given_up"] += 1
        if handed.rest and (refused or handed.tries >= SAME_HOST_TRIES):
            self._hand_over(world, handed, now_ms, actions)
            alone = handed.message._replace(length=0)
            handed = handed._replace(message=alone, rest=())
        if row is None or not row.alive or handed.tries >= TRIES_LIMIT:
            return
        again = handed._replace(tries=handed.tries + 1)
        self._hand(world, again, now_ms, actions)

    def _hand_over(
        self, world: World, handed: Handed, now_ms: float, actions: list[Action]
    ) -> None:
        head, *rest = handed.rest
        message = handed.message
        end = (message.first + message.length) % RING_SIZE
        start = (head.position + 1) % RING_SIZE
        spread = Spread(start, (end - start) % RING_SIZE, message.news)
        world.counter_by_name["spread_handed_over"] += 1
        self._hand(world, Handed(head.host, spread, tuple(rest), 1), now_ms, actions)

    def _on_due(
        self, world: World, key: Due, now_ms: float, actions: list[Action]
    ) -> None:
        if key == FLUSH:
            self._flush(world, now_ms, actions)
        elif key == CONFIRM:
            if self._unconfirmed:
                self._submit_tries += 1
                world.counter_by_name["submits_repeated"] += 1
                news = self._unconfirmed.news()
                self._send_submit(world, news, now_ms, actions)
        else:
            self._hand_again(world, key[1], now_ms, actions)

    def _flush(self, world: World, now_ms: float, actions: list[Action]) -> None:
        news = self._waiting.news()
        self._note(world, news, now_ms)
        if news == News():
            return
        self._hand_all(world, news, now_ms, actions)

    def _hand_all(
        self, world: World, news: News, now_ms: float, actions: list[Action]
    ) -> None:
        """Let another host head the handing on, each time a different one."""
        first = (ring_position(world.host) + 1) % RING_SIZE
        others = self._ring.within(world, first, RING_SIZE - 1)
        if len(others) <= FANOUT:
            self._hand_on(world, first, RING_SIZE - 1, news, now_ms, actions)
            return
        start = world.rng.randrange(len(others))
        head, *rest = [*others[start:], *others[:start]]
        spread = Spread((head.position + 1) % RING_SIZE, RING_SIZE - 1, news)
        handed = Handed(head.host, spread, tuple(rest), 1)
        self._hand(world, handed, now_ms, actions)
