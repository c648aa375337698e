"""Track one attempt at an upstream until the single event that ends it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.errors import Ran
from burdockmill.messages.events import UpstreamFailed
from burdockmill.messages.peer import Reason

if TYPE_CHECKING:
    from burdockmill.clock import Clock
    from burdockmill.messages.actions import SendToUpstream

DEADLINE_HEADER = "Deadline-Ms"


class Attempt:
    """Track an attempt's deadline and whether its request may have been written."""

    def __init__(
        self, action: SendToUpstream, clock: Clock, decided_ms: float | None = None
    ) -> None:
        self.action = action
        self.clock = clock
        started_ms = clock.now_ms() if decided_ms is None else decided_ms
        self.deadline_ms = started_ms + action.remaining_ms
        self.maybe_written = False
        self.cancelled = False

    @property
    def remaining_ms(self) -> float:
        """Return the milliseconds until the deadline, at least zero."""
        return max(0.0, self.deadline_ms - self.clock.now_ms())

    def start_write(self) -> dict[str, str]:
        """Mark the attempt as written and return its headers.

        Raise TimeoutError, and leave it unmarked, if less than 1 ms remains.
        """
        if self.maybe_written:
            raise RuntimeError("The attempt was written already.")
        remaining_ms = int(self.remaining_ms)
        if remaining_ms < 1:
            raise TimeoutError
        self.maybe_written = True
        return {DEADLINE_HEADER: str(remaining_ms)}

    def failure_event(self, reason: Reason) -> UpstreamFailed:
        """Return the event of an attempt that ended without a usable answer."""
        return UpstreamFailed(
            request_id=self.action.request_id,
            attempt=self.action.attempt,
            upstream=self.action.upstream,
            reason=reason,
            ran=Ran.UNKNOWN if self.maybe_written else Ran.NO,
        )
