"""Limit retries to a fraction of the first attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections import Counter

    from burdockmill.names import ServiceId

FIRST_ATTEMPTS_PER_RETRY = 10
RESERVE_RETRIES = 10
SAVED_RETRIES_LIMIT = 100
FAN_OUTS_SAVED = 4


class RetryBudget:
    """Limit each service's retries, whatever their cause."""

    def __init__(self, counter_by_name: Counter[str]) -> None:
        self._counter_by_name = counter_by_name
        self._credit_by_service: dict[ServiceId, int] = {}
        self._limit_by_service: dict[ServiceId, int] = {}

    def raise_limit(self, service: ServiceId, fan_out: int) -> None:
        """Let a service save at least what FAN_OUTS_SAVED of its searches deposit."""
        default_limit = SAVED_RETRIES_LIMIT * FIRST_ATTEMPTS_PER_RETRY
        self._limit_by_service[service] = max(default_limit, FAN_OUTS_SAVED * fan_out)

    def remaining(self, service: ServiceId) -> int:
        """Return how many retries the budget allows now."""
        return self._credit(service) // FIRST_ATTEMPTS_PER_RETRY

    def admit(self, service: ServiceId, *, is_first: bool) -> bool:
        """Record an attempt; return whether it is allowed, as a first one always is."""
        credit = self._credit(service)
        if is_first:
            default_limit = SAVED_RETRIES_LIMIT * FIRST_ATTEMPTS_PER_RETRY
            limit = self._limit_by_service.get(service, default_limit)
            self._credit_by_service[service] = min(credit + 1, limit)
            self._counter_by_name["first_attempts"] += 1
            return True
        if credit < FIRST_ATTEMPTS_PER_RETRY:
            self._counter_by_name["retry_budget_spent"] += 1
            return False
        self._credit_by_service[service] = credit - FIRST_ATTEMPTS_PER_RETRY
        self._counter_by_name["retries"] += 1
        return True

    def _credit(self, service: ServiceId) -> int:
        reserve = RESERVE_RETRIES * FIRST_ATTEMPTS_PER_RETRY
        return self._credit_by_service.get(service, reserve)
