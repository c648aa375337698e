"""Control the admission of attempts to one owned upstream."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from burdockmill.messages.events import UpstreamAnswered, UpstreamFailed
from burdockmill.messages.peer import Reason
from burdockmill.policies.circuit_breaker import CircuitBreaker
from burdockmill.policies.service_estimate import ServiceEstimate
from burdockmill.policies.slot_limit import SlotLimit
from burdockmill.tables.fair_queue import FairQueue

if TYPE_CHECKING:
    import random

    from burdockmill.messages.events import UpstreamRefused
    from burdockmill.tables.owned_part import AttemptKey, OwnedPart

    AttemptEvent = UpstreamAnswered | UpstreamRefused | UpstreamFailed

QUEUE_LIMIT = 64
MIN_RETRY_AFTER_MS = 1


class Refusal(NamedTuple):
    """Describe why an attempt is refused and after how many milliseconds to retry."""

    reason: Reason
    retry_after_ms: int | None = None


class UpstreamAdmission:
    """Track the queue, running attempts, limits and circuit breaker of an upstream.

    A slot here is the permit for one concurrent attempt, not a partition of the keys.
    """

    def __init__(self) -> None:
        self.queue = FairQueue()
        self.running: set[AttemptKey] = set()
        self.incarnation = ""
        self.estimate = ServiceEstimate()
        self.breaker = CircuitBreaker()
        self._limit = SlotLimit()

    def check(
        self, owned: OwnedPart, slots: int, max_wait_ms: float, now_ms: float
    ) -> Refusal | None:
        """Return the refusal of a new attempt, or None if it may start or queue."""
        if not self.breaker.closed and not self._may_probe(now_ms):
            return self._make_refusal(Reason.CIRCUIT_OPEN, self.breaker.wait_ms(now_ms))
        wait_ms = self._expected_wait_ms(owned, slots)
        finish_ms = now_ms + wait_ms + self.estimate.cautious_ms
        is_late = wait_ms and finish_ms > owned.deadline_ms
        if is_late or wait_ms > max_wait_ms:
            return self._make_refusal(Reason.NO_TIME, self._drain_ms(slots))
        return None

    def eviction_for(self, owned: OwnedPart) -> AttemptKey | None:
        """Return the queued attempt to refuse so that callers share fairly, or None."""
        return self.queue.eviction_for(owned.request.caller)

    @property
    def is_full(self) -> bool:
        """Return whether the queue has reached QUEUE_LIMIT."""
        return len(self.queue) >= QUEUE_LIMIT

    def queue_full_refusal(self, slots: int) -> Refusal:
        """Return the refusal of an attempt because the queue is full."""
        return self._make_refusal(Reason.QUEUE_FULL, self._drain_ms(slots))

    def latest_start_ms(self, owned: OwnedPart) -> float:
        """Return the latest time at which a queued attempt may start."""
        return owned.deadline_ms - self.estimate.mean_ms

    def has_slot(self, slots: int) -> bool:
        """Return whether the concurrency limit allows another attempt to start."""
        return len(self.running) < self._limit.slots(slots)

    def record_start(self, key: AttemptKey) -> None:
        """Count an attempt as running."""
        self.running.add(key)
        self.breaker.started()

    def record_end(
        self,
        key: AttemptKey,
        event: AttemptEvent,
        started_ms: float,
        slots: int,
        now_ms: float,
        rng: random.Random,
    ) -> bool:
        """Free the slot, update the limits; return whether this opened the breaker."""
        self.running.discard(key)
        if isinstance(event, UpstreamAnswered):
            self.estimate.observe(now_ms - started_ms)
            self._record_success(slots)
            return False
        if event.reason == Reason.CANCELLED:
            self.breaker.ended_without_verdict()
            return False
        if isinstance(event, UpstreamFailed):
            return self.breaker.failed(now_ms, rng)
        if event.reason in {Reason.SHED, Reason.COLD}:
            self._limit.shed(started_ms, now_ms)
            return self.breaker.failed(now_ms, rng)
        self._record_success(slots)
        return False

    def observe_incarnation(self, incarnation: str) -> bool:
        """Reset the slot limit if the incarnation changed; return whether it did."""
        previous = self.incarnation
        self.incarnation = incarnation
        if not previous or previous == incarnation:
            return False
        self._limit.restart()
        return True

    def _record_success(self, slots: int) -> None:
        if self.breaker.succeeded():
            self._limit.restart()
        else:
            self._limit.succeeded(slots)

    def _may_probe(self, now_ms: float) -> bool:
        return self.breaker.may_probe(now_ms) and not self.queue and not self.running

    def _expected_wait_ms(self, owned: OwnedPart, slots: int) -> float:
        if self.has_slot(slots):
            return 0.0
        ahead = self.queue.count_ahead_of(owned.request.caller, owned.deadline_ms)
        return (ahead + 1) * self._slot_interval_ms(slots)

    def _drain_ms(self, slots: int) -> float:
        return (len(self.queue) + 1) * self._slot_interval_ms(slots)

    def _slot_interval_ms(self, slots: int) -> float:
        return self.estimate.mean_ms / max(1, self._limit.slots(slots))

    def _make_refusal(self, reason: Reason, wait_ms: float) -> Refusal:
        return Refusal(reason, max(MIN_RETRY_AFTER_MS, math.ceil(wait_ms)))
