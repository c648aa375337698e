"""Decide how long to wait before a task that ended is started again.

Load pattern: most ends are single, and the task is needed again at once. An input that
ends the task each time returns with each start, at every host.
"""

from __future__ import annotations

FIRST_WAIT_MS = 50.0
LONGEST_WAIT_MS = 1_000.0
# A task that ran for this long starts again after the first wait.
STEADY_MS = 10_000.0


class RestartBackoff:
    """Double the wait with each end that follows a short run."""

    def __init__(self) -> None:
        self._wait_ms = FIRST_WAIT_MS

    def wait_ms(self, ran_ms: float) -> float:
        """Return the wait after a run of `ran_ms`."""
        if ran_ms >= STEADY_MS:
            self._wait_ms = FIRST_WAIT_MS
        wait_ms = self._wait_ms
        self._wait_ms = min(LONGEST_WAIT_MS, 2.0 * wait_ms)
        return wait_ms
