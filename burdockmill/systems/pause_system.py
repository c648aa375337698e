"""Defer new work after a process pause until the view is refreshed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.errors import DeadlineExceededError, OverloadedError
from burdockmill.messages.actions import Action, Answer, LogDecision
from burdockmill.messages.events import (
    PauseDetected,
    PeerReceived,
    RequestReceived,
    ViewRefreshed,
)
from burdockmill.messages.peer import ActionRequest, TicketRedemption, WorkRequest
from burdockmill.systems.system import System

if TYPE_CHECKING:
    from burdockmill.messages.events import Event
    from burdockmill.names import RequestId
    from burdockmill.world import World

HEARTBEAT_INTERVAL_MS = 250.0
PAUSE_THRESHOLD_MS = 1_000.0
REFRESH_TIMEOUT_MS = 1_500.0
CAUTIOUS_MODE_MS = 2_000.0
DEFERRED_EVENTS_LIMIT = 2_000
RETRY_AFTER_MS = 1_000
HEARTBEAT_KEY = "beat"
REFRESH_TIMEOUT_KEY = "limit"
NEW_WORK_MESSAGES = (WorkRequest, ActionRequest, TicketRedemption)


class PauseSystem(System):
    """Defer new work after a process pause until the view is refreshed."""

    name = "wake"
    handles = (ViewRefreshed,)

    def __init__(self) -> None:
        self.is_admitting = True
        self._next_heartbeat_ms: float | None = None
        self._deferred: list[tuple[float, Event]] = []
        self._released: list[Event] = []

    def admit(
        self, world: World, arrived: list[Event], now_ms: float, actions: list[Action]
    ) -> list[Event]:
        """Return the events to process now; defer new work while the view is stale."""
        if self.is_admitting:
            return arrived
        passed: list[Event] = [event for event in arrived if not _is_new_work(event)]
        for event in arrived:
            if _is_new_work(event):
                self._defer(world, event, now_ms, actions)
        return passed

    def drain_released(self) -> list[Event]:
        """Remove and return the deferred events that may be processed now."""
        released = self._released
        self._released = []
        return released

    def run(self, world: World, now_ms: float) -> list[Action]:
        """Schedule heartbeats, expire deferred requests, and resume admission."""
        actions: list[Action] = []
        keys = world.due(self.name).pop_due(now_ms)
        if HEARTBEAT_KEY in keys:
            self._schedule_heartbeat(world, now_ms)
        refreshed = bool(list(world.drain_events(self.name)))
        if not self.is_admitting and (refreshed or REFRESH_TIMEOUT_KEY in keys):
            reason = "the view is refreshed" if refreshed else "time limit"
            actions.append(self._resume(world, now_ms, reason))
        for key in keys:
            if key not in (HEARTBEAT_KEY, REFRESH_TIMEOUT_KEY):
                actions.extend(self._expire(world, key))
        return actions

    def detect_pause(
        self, world: World, now_ms: float, actions: list[Action]
    ) -> PauseDetected | None:
        """Start to defer new work if the process was paused.

        Return the event of the pause, which all systems handle first, or None.
        """
        if self._next_heartbeat_ms is None:
            self._schedule_heartbeat(world, now_ms)
            return None
        late_ms = now_ms - self._next_heartbeat_ms
        if late_ms <= PAUSE_THRESHOLD_MS:
            return None
        self._schedule_heartbeat(world, now_ms)
        self.is_admitting = False
        world.due(self.name).schedule(REFRESH_TIMEOUT_KEY, now_ms + REFRESH_TIMEOUT_MS)
        world.counter_by_name["late_wakes"] += 1
        choice = "defers new work"
        reason = f"no tick for {late_ms:.0f} ms"
        actions.append(LogDecision("wake", "", choice, reason))
        return PauseDetected(late_ms)

    def _schedule_heartbeat(self, world: World, now_ms: float) -> None:
        self._next_heartbeat_ms = now_ms + HEARTBEAT_INTERVAL_MS
        world.due(self.name).schedule(HEARTBEAT_KEY, self._next_heartbeat_ms)

    def _defer(
        self, world: World, event: Event, now_ms: float, actions: list[Action]
    ) -> None:
        world.counter_by_name["held_after_late_wake"] += 1
        if len(self._deferred) < DEFERRED_EVENTS_LIMIT:
            self._deferred.append((now_ms, event))
            if isinstance(event, RequestReceived):
                due_ms = max(now_ms, event.deadline_ms)
                world.due(self.name).schedule(event.request_id, due_ms)
            return
        world.counter_by_name["refused_after_late_wake"] += 1
        if isinstance(event, RequestReceived):
            error = OverloadedError(
                "This host was paused and has deferred too many requests.",
                retry_after_ms=RETRY_AFTER_MS,
            )
            actions.append(Answer(event.request_id, error))

    def _expire(self, world: World, request_id: RequestId) -> list[Action]:
        remaining = [
            (since_ms, event)
            for since_ms, event in self._deferred
            if not isinstance(event, RequestReceived) or event.request_id != request_id
        ]
        if len(remaining) == len(self._deferred):
            return []
        self._deferred = remaining
        world.counter_by_name["expired_after_late_wake"] += 1
        error = DeadlineExceededError(
            "The deadline passed while this host recovered from a pause."
        )
        return [Answer(request_id, error)]

    def _resume(self, world: World, now_ms: float, reason: str) -> LogDecision:
        self.is_admitting = True
        world.due(self.name).cancel(REFRESH_TIMEOUT_KEY)
        world.cautious_until_ms = now_ms + CAUTIOUS_MODE_MS
        deferred, self._deferred = self._deferred, []
        for since_ms, event in deferred:
            if isinstance(event, RequestReceived):
                world.due(self.name).cancel(event.request_id)
            self._released.append(_deduct_deferral(event, now_ms - since_ms))
        choice = f"admits new work again and releases {len(deferred)} deferred events"
        return LogDecision("wake", "", choice, reason)


def _is_new_work(event: Event) -> bool:
    if isinstance(event, PeerReceived):
        return isinstance(event.message, NEW_WORK_MESSAGES)
    return isinstance(event, RequestReceived)


def _deduct_deferral(event: Event, deferred_ms: float) -> Event:
    if isinstance(event, PeerReceived) and isinstance(event.message, WorkRequest):
        remaining_ms = event.message.remaining_ms - deferred_ms
        return event._replace(message=event.message._replace(remaining_ms=remaining_ms))
    return event
