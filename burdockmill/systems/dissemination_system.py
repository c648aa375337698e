"""Disseminate gossip updates to every member of the own domain."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from burdockmill.messages.actions import Action, SendToPeer
from burdockmill.messages.events import (
    Event,
    PeerDelivered,
    PeerReceived,
    PeerUnreachable,
    UpdatesApplied,
)
from burdockmill.messages.fleet import GossipUpdates, RelayUpdates, SubmitUpdates
from burdockmill.placement import RING_SIZE, ring_position
from burdockmill.systems._apply_updates import apply_updates
from burdockmill.systems._ring import Ring, RingMember
from burdockmill.systems.system import System
from burdockmill.tables.gossip_updates import PendingUpdates

if TYPE_CHECKING:
    from burdockmill.names import HostId
    from burdockmill.world import World

BATCH_WINDOW_MS = 400.0
SUBMIT_TIMEOUT_MS = 700.0
FORWARD_TIMEOUT_MS = 300.0
FANOUT = 4
# A forward is sent to the same host this many times before its section of the ring
# is reassigned; the host alone is then retried up to the attempt limit.
SAME_HOST_ATTEMPTS = 2
ATTEMPT_LIMIT = 5
RECENT_UPDATES_MS = 4_000.0
HANDLED_MESSAGES_KEPT = 16
FLUSH = ("flush", 0)
CONFIRM = ("confirm", 0)
DueKey = tuple[str, int]


class PendingForward(NamedTuple):
    """Track a message to a host until its delivery is confirmed.

    The host forwards the message to the members in `remaining`.
    """

    host: HostId
    message: RelayUpdates
    remaining: tuple[RingMember, ...]
    attempts: int


class DisseminationSystem(System):
    """Batch updates at the first platform reader; fan them out along the ring."""

    name = "spread"
    handles = (
        UpdatesApplied,
        SubmitUpdates,
        RelayUpdates,
        PeerDelivered,
        PeerUnreachable,
    )

    def __init__(self, ring: Ring) -> None:
        self._ring = ring
        self._batched = PendingUpdates()
        self._unconfirmed = PendingUpdates()
        self._submit_attempts = 0
        self._forward_by_number: dict[int, PendingForward] = {}
        self._forward_number = 0
        self._handled_messages: deque[RelayUpdates] = deque(
            maxlen=HANDLED_MESSAGES_KEPT
        )

    def run(self, world: World, now_ms: float) -> list[Action]:
        """Handle updates and confirmations; send batches and retries that are due."""
        actions: list[Action] = []
        for event in world.drain_events(self.name):
            self._handle(world, event, now_ms, actions)
        for key in world.due(self.name).pop_due(now_ms):
            self._on_due(world, key, now_ms, actions)
        return actions

    def _handle(
        self, world: World, event: Event, now_ms: float, actions: list[Action]
    ) -> None:
        match event:
            case UpdatesApplied(updates=updates):
                self._submit(world, updates, now_ms, actions)
            case PeerReceived(message=SubmitUpdates() as submit):
                self._handle_submit(
                    world, event.sender, submit.updates, now_ms, actions
                )
            case PeerReceived(message=RelayUpdates() as relay):
                self._handle_relay(world, event.sender, relay, now_ms, actions)
            case PeerDelivered(message=RelayUpdates()):
                self._confirm_forward(world, event.host, event.message)
            case PeerUnreachable(message=SubmitUpdates()) if self._unconfirmed:
                world.due(self.name).schedule(CONFIRM, now_ms)
            case PeerUnreachable(message=RelayUpdates()):
                self._fail_forward(world, event, now_ms, actions)

    def _submit(
        self, world: World, updates: GossipUpdates, now_ms: float, actions: list[Action]
    ) -> None:
        if not world.fleet.started:
            others = [host for host in world.member_by_host if host != world.host]
            actions.extend(
                SendToPeer(host, RelayUpdates(0, 0, updates)) for host in others
            )
            return
        if not self._unconfirmed:
            self._submit_attempts = 0
        self._unconfirmed.add(updates)
        rank = self._reader_rank(world) if updates.rules else 0
        if rank > 0:
            # The first reader reads the same revision and disseminates it. This reader
            # submits it only if it has not arrived within one timeout per rank.
            world.due(self.name).schedule(CONFIRM, now_ms + SUBMIT_TIMEOUT_MS * rank)
            return
        self._send_submit(world, updates, now_ms, actions)

    def _reader_rank(self, world: World) -> int:
        readers = self._ring.readers(world)
        return readers.index(world.host) if world.host in readers else 0

    def _send_submit(
        self, world: World, updates: GossipUpdates, now_ms: float, actions: list[Action]
    ) -> None:
        readers = self._ring.readers(world)
        rank = self._submit_attempts
        reader = readers[rank] if rank < len(readers) else world.host
        if reader == world.host:
            self._add_to_batch(world, updates, now_ms)
            self._unconfirmed.remove_unchanged(updates)
            return
        actions.append(SendToPeer(reader, SubmitUpdates(updates)))
        if self._unconfirmed:
            world.due(self.name).schedule(CONFIRM, now_ms + SUBMIT_TIMEOUT_MS)

    def _handle_submit(
        self,
        world: World,
        sender: HostId,
        updates: GossipUpdates,
        now_ms: float,
        actions: list[Action],
    ) -> None:
        apply_updates(world, sender, updates, now_ms, actions)
        recent, new = world.fleet.recent.split(updates, now_ms - RECENT_UPDATES_MS)
        if new != GossipUpdates():
            self._add_to_batch(world, new, now_ms)
        if recent != GossipUpdates():
            actions.append(SendToPeer(sender, RelayUpdates(0, 0, recent)))

    def _add_to_batch(
        self, world: World, updates: GossipUpdates, now_ms: float
    ) -> None:
        if not self._batched:
            world.due(self.name).schedule(FLUSH, now_ms + BATCH_WINDOW_MS)
        self._batched.add(updates)

    def _handle_relay(
        self,
        world: World,
        sender: HostId,
        relay: RelayUpdates,
        now_ms: float,
        actions: list[Action],
    ) -> None:
        if relay in self._handled_messages:
            world.counter_by_name["spreads_repeated"] += 1
            return
        self._handled_messages.append(relay)
        apply_updates(world, sender, relay.updates, now_ms, actions)
        self._record_disseminated(world, relay.updates, now_ms)
        if relay.length:
            self._fan_out(
                world, relay.first, relay.length, relay.updates, now_ms, actions
            )

    def _record_disseminated(
        self, world: World, updates: GossipUpdates, now_ms: float
    ) -> None:
        self._unconfirmed.remove_unchanged(updates)
        self._batched.remove_unchanged(updates)
        world.fleet.recent.add(updates, now_ms)

    def _fan_out(
        self,
        world: World,
        first: int,
        length: int,
        updates: GossipUpdates,
        now_ms: float,
        actions: list[Action],
    ) -> None:
        members = self._ring.within(world, first, length)
        if not members:
            return
        size = -(-len(members) // FANOUT)
        groups = [members[i : i + size] for i in range(0, len(members), size)]
        ends = [group[0].position for group in groups[1:]]
        ends.append((first + length) % RING_SIZE)
        for group, end in zip(groups, ends, strict=True):
            head, *remaining = group
            start = (head.position + 1) % RING_SIZE
            relay = RelayUpdates(start, (end - start) % RING_SIZE, updates)
            self._forward(
                world,
                PendingForward(head.host, relay, tuple(remaining), 1),
                now_ms,
                actions,
            )

    def _forward(
        self,
        world: World,
        forward: PendingForward,
        now_ms: float,
        actions: list[Action],
    ) -> None:
        self._forward_number += 1
        self._forward_by_number[self._forward_number] = forward
        world.due(self.name).schedule(
            ("forward", self._forward_number), now_ms + FORWARD_TIMEOUT_MS
        )
        actions.append(SendToPeer(forward.host, forward.message))

    def _confirm_forward(self, world: World, host: HostId, message: object) -> None:
        for number, forward in list(self._forward_by_number.items()):
            if forward.host == host and forward.message == message:
                del self._forward_by_number[number]
                world.due(self.name).cancel(("forward", number))

    def _fail_forward(
        self,
        world: World,
        event: PeerUnreachable,
        now_ms: float,
        actions: list[Action],
    ) -> None:
        for number, forward in list(self._forward_by_number.items()):
            if forward.host == event.host and forward.message == event.message:
                world.due(self.name).cancel(("forward", number))
                self._retry_forward(
                    world, number, now_ms, actions, forward.remaining != ()
                )

    def _retry_forward(
        self,
        world: World,
        number: int,
        now_ms: float,
        actions: list[Action],
        unreachable: bool = False,
    ) -> None:
        forward = self._forward_by_number.pop(number, None)
        if forward is None:
            return
        row = world.member_by_host.get(forward.host)
        if row is None or not row.alive or forward.attempts >= ATTEMPT_LIMIT:
            world.counter_by_name["spread_given_up"] += 1
        if forward.remaining and (
            unreachable or forward.attempts >= SAME_HOST_ATTEMPTS
        ):
            self._reassign_remaining(world, forward, now_ms, actions)
            message = forward.message._replace(length=0)
            forward = forward._replace(message=message, remaining=())
        if row is None or not row.alive or forward.attempts >= ATTEMPT_LIMIT:
            return
        retry = forward._replace(attempts=forward.attempts + 1)
        self._forward(world, retry, now_ms, actions)

    def _reassign_remaining(
        self,
        world: World,
        forward: PendingForward,
        now_ms: float,
        actions: list[Action],
    ) -> None:
        head, *remaining = forward.remaining
        message = forward.message
        end = (message.first + message.length) % RING_SIZE
        start = (head.position + 1) % RING_SIZE
        relay = RelayUpdates(start, (end - start) % RING_SIZE, message.updates)
        world.counter_by_name["spread_handed_over"] += 1
        self._forward(
            world,
            PendingForward(head.host, relay, tuple(remaining), 1),
            now_ms,
            actions,
        )

    def _on_due(
        self, world: World, key: DueKey, now_ms: float, actions: list[Action]
    ) -> None:
        if key == FLUSH:
            self._flush(world, now_ms, actions)
        elif key == CONFIRM:
            if self._unconfirmed:
                self._submit_attempts += 1
                world.counter_by_name["submits_repeated"] += 1
                updates = self._unconfirmed.updates()
                self._send_submit(world, updates, now_ms, actions)
        else:
            self._retry_forward(world, key[1], now_ms, actions)

    def _flush(self, world: World, now_ms: float, actions: list[Action]) -> None:
        updates = self._batched.updates()
        self._record_disseminated(world, updates, now_ms)
        if updates == GossipUpdates():
            return
        self._start_fan_out(world, updates, now_ms, actions)

    def _start_fan_out(
        self, world: World, updates: GossipUpdates, now_ms: float, actions: list[Action]
    ) -> None:
        """Let a random other host start the fan-out, so that the load is shared."""
        first = (ring_position(world.host) + 1) % RING_SIZE
        others = self._ring.within(world, first, RING_SIZE - 1)
        if len(others) <= FANOUT:
            self._fan_out(world, first, RING_SIZE - 1, updates, now_ms, actions)
            return
        start = world.rng.randrange(len(others))
        head, *remaining = [*others[start:], *others[:start]]
        relay = RelayUpdates((head.position + 1) % RING_SIZE, RING_SIZE - 1, updates)
        forward = PendingForward(head.host, relay, tuple(remaining), 1)
        self._forward(world, forward, now_ms, actions)
