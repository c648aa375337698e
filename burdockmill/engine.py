"""Run the systems on the tables of a world, one tick at a time."""

from __future__ import annotations

import math
from collections import defaultdict
from typing import TYPE_CHECKING

from burdockmill.messages.actions import Announce, SendToPeer
from burdockmill.messages.events import PeerReceived
from burdockmill.systems.pause_system import PauseSystem

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from burdockmill.messages.actions import Action
    from burdockmill.messages.events import Event
    from burdockmill.systems.system import System
    from burdockmill.world import World

# Timers of a system that failed become due again after this time, one by one.
FAILED_RETRY_MS = 1_000.0
FAILED_INTERVAL_MS = 20.0


class Engine:
    """Route events to systems and run them until none has work, tick by tick."""

    def __init__(
        self,
        world: World,
        systems: Sequence[System],
        pause_system: PauseSystem | None = None,
    ) -> None:
        self.world = world
        # Receives which system failed and the error, instead of the caller
        # of `tick`; the other events and systems then run on.
        self.on_failure: Callable[[str, Exception], None] | None = None
        self._pause_system = pause_system or PauseSystem()
        self._arrived: list[Event] = []
        self._systems = (self._pause_system, *systems)
        self._timed_systems = [(one, world.due(one.name)) for one in self._systems]
        self._systems_by_event: dict[type, list[System]] = defaultdict(list)
        for system in self._systems:
            for event_type in system.handles:
                self._systems_by_event[event_type].append(system)

    def post(self, event: Event) -> None:
        """Queue an event for the next tick."""
        self._arrived.append(event)

    def _route(self, event: Event) -> None:
        event_type = (
            type(event.message) if isinstance(event, PeerReceived) else type(event)
        )
        for system in self._systems_by_event.get(event_type, ()):
            self.world.put_event(system.name, event)

    def tick(self, now_ms: float) -> list[Action]:
        """Process events and expired timers until none is left; return the actions."""
        actions: list[Action] = []
        arrived, self._arrived = self._arrived, []
        if self.world.started_ms is None:
            self.world.started_ms = now_ms
        pause_event = self._pause_system.detect_pause(self.world, now_ms, actions)
        if pause_event is not None:
            self._route(pause_event)
            self._run_ready(now_ms, actions)
        for event in self._pause_system.admit(self.world, arrived, now_ms, actions):
            self._route(event)
        self._run_ready(now_ms, actions)
        return actions

    def _run_ready(self, now_ms: float, actions: list[Action]) -> None:
        blocked: set[str] = set()
        ready = self._ready_systems(now_ms)
        while ready:
            for system in ready:
                self._dispatch(self._run_system(system, now_ms, blocked), actions)
                self._announce(actions)
                for event in self._pause_system.drain_released():
                    self._route(event)
            ready = self._ready_systems(now_ms)
            if blocked:
                ready = [one for one in ready if one.name not in blocked]

    def _run_system(
        self, system: System, now_ms: float, blocked: set[str]
    ) -> list[Action]:
        """Run a system; block it if it fails without having handled an event."""
        queued = self.world.queued_events(system.name)
        due = self.world.due(system.name)
        due.begin_run()
        try:
            return system.run(self.world, now_ms)
        except Exception as error:
            if self.on_failure is None:
                raise
            self.on_failure(f"the {system.name} system", error)
            due.restore_popped(now_ms + FAILED_RETRY_MS, FAILED_INTERVAL_MS)
            if self.world.queued_events(system.name) in (0, queued):
                blocked.add(system.name)
            return []

    def open_work(self) -> int:
        """Return how many attempts and ticket handovers this host has not completed."""
        return sum(system.open_work() for system in self._systems)

    def next_due_ms(self) -> float | None:
        """Return the time at which the next timer of any system expires, or None."""
        next_ms = math.inf
        for _, due in self._timed_systems:
            # The earliest time may be that of a timer that was cancelled.
            if due.earliest_ms < next_ms and (due_ms := due.next_due_ms()) is not None:
                next_ms = min(next_ms, due_ms)
        return None if next_ms == math.inf else next_ms

    def _ready_systems(self, now_ms: float) -> list[System]:
        with_events = self.world.systems_with_events
        return [
            system
            for system, due in self._timed_systems
            if system.name in with_events
            or (due.earliest_ms <= now_ms and due.is_due(now_ms))
        ]

    def _announce(self, actions: list[Action]) -> None:
        for event in self.world.drain_announced():
            self._route(event)
            actions.append(Announce(event))

    def _dispatch(self, produced: list[Action], actions: list[Action]) -> None:
        for action in produced:
            if isinstance(action, SendToPeer) and action.host == self.world.host:
                self._route(PeerReceived(action.host, action.message))
            else:
                actions.append(action)
