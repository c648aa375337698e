"""Report whether the store answers this host, and whether it can be read."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

from loguru import logger

from burdockmill.clients.catalog_source import StoreError, UnreadableAnswerError

if TYPE_CHECKING:
    from burdockmill.clock import Clock
    from burdockmill.messages.store_position import StorePosition

CAUSE_LIMIT_CHARACTERS = 200
# Failures of the same kind are logged this often at most.
SAME_KIND_INTERVAL_MS = 10_000.0


class StoreState(StrEnum):
    """Enumerate what this host knows of the store from its last call."""

    NOT_READ = "not_read"
    ANSWERS = "answers"
    AWAY = "away"
    UNREADABLE = "unreadable"


class StoreHealth:
    """Track the end of each call to the store; log failures at a bounded rate."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.state = StoreState.NOT_READ
        # When the store last gave this host a valid answer.
        self.answered_ms: float | None = None
        self.last_unreachable_ms: float | None = None
        self._is_failure_logged = False
        self._logged_ms_by_kind: dict[str, float] = {}

    def failed(self, error: Exception, position: StorePosition) -> None:
        """Record a call that failed; the catalog of the position stays active."""
        self.last_unreachable_ms = self._clock.now_ms()
        self.state = StoreState.AWAY
        text = "unreachable"
        if isinstance(error, UnreadableAnswerError):
            self.state, text = StoreState.UNREADABLE, "its answer cannot be read"
        if not self._is_log_due(type(error).__name__):
            return
        self._is_failure_logged = True
        is_known = isinstance(error, StoreError)
        cause = str(error) if is_known else f"{type(error).__name__}: {error}"
        logger.opt(exception=None if is_known else error).warning(
            "store: {} ({}); era {}, revision {} stays active.",
            text,
            cause[:CAUSE_LIMIT_CHARACTERS],
            *position,
        )

    def succeeded(self) -> None:
        """Record a valid answer."""
        now_ms = self._clock.now_ms()
        self.answered_ms = now_ms
        if self.state in (StoreState.AWAY, StoreState.UNREADABLE):
            self.last_unreachable_ms = now_ms
        if self._is_failure_logged:
            self._is_failure_logged = False
            logger.info("store: reachable again.")
        self.state = StoreState.ANSWERS

    def not_read(self) -> None:
        """Record that this host leaves the reading to others."""
        self.state = StoreState.NOT_READ

    def _is_log_due(self, kind: str) -> bool:
        now_ms = self._clock.now_ms()
        logged_ms = self._logged_ms_by_kind.get(kind)
        if logged_ms is not None and now_ms - logged_ms < SAME_KIND_INTERVAL_MS:
            return False
        self._logged_ms_by_kind[kind] = now_ms
        return True
