"""Decide when a search is answered before every slot is covered."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from burdockmill.rules.model import Completion
from burdockmill.slots import SLOT_COUNT

if TYPE_CHECKING:
    from burdockmill.rules.model import ServiceRule


class CompletionPolicy(ABC):
    """Decide when a search is answered before every slot is covered."""

    @abstractmethod
    def partial_from_ms(self, rule: ServiceRule, started_ms: float) -> float | None:
        """Return the earliest time of an incomplete answer; None for never."""

    @abstractmethod
    def is_enough(self, rule: ServiceRule, covered: int) -> bool:
        """Return whether `covered` slots suffice from `partial_from_ms` on."""

    @abstractmethod
    def missing_slots_limit(self, rule: ServiceRule) -> int:
        """Return how many slots may lose the snapshot before the search restarts."""


class CoverageCompletion(CompletionPolicy):
    """Wait for every slot until just before the deadline."""

    def partial_from_ms(self, rule: ServiceRule, started_ms: float) -> float | None:
        """Return None: no incomplete answer is sent before the deadline."""
        return None

    def is_enough(self, rule: ServiceRule, covered: int) -> bool:
        """Return whether every slot is covered."""
        return covered == SLOT_COUNT

    def missing_slots_limit(self, rule: ServiceRule) -> int:
        """Return 0: any missing slot restarts the query."""
        return 0


class LatencyCompletion(CompletionPolicy):
    """Answer at the soft deadline, or later once the rule's coverage is reached."""

    def partial_from_ms(self, rule: ServiceRule, started_ms: float) -> float | None:
        """Return the clock time of the soft deadline."""
        return started_ms + rule.soft_deadline_ms

    def is_enough(self, rule: ServiceRule, covered: int) -> bool:
        """Return whether the rule's coverage target is reached."""
        return covered >= rule.coverage_target * SLOT_COUNT

    def missing_slots_limit(self, rule: ServiceRule) -> int:
        """Return how many slots the rule's coverage target allows to be missing."""
        return int((1.0 - rule.coverage_target) * SLOT_COUNT)


POLICY_BY_COMPLETION: dict[Completion, CompletionPolicy] = {
    Completion.COVERAGE: CoverageCompletion(),
    Completion.LATENCY: LatencyCompletion(),
}
