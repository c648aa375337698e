"""Limit hedges to a fraction of the first attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burdockmill.names import ServiceId
    from burdockmill.rules.model import ServiceRule

MIN_TOKENS_LIMIT = 4.0
SAVED_FAN_OUTS = 40.0
MAX_TOKENS_LIMIT = 200.0


class HedgeBudget:
    """Keep tokens by service; each first attempt deposits `hedge_fraction` tokens."""

    def __init__(self) -> None:
        self._tokens_by_service: dict[ServiceId, float] = {}

    def deposit(self, rule: ServiceRule, attempts: int) -> None:
        """Deposit tokens for the first attempts of one search."""
        deposit = rule.hedge_fraction * attempts
        balance = self._tokens_by_service.get(rule.name, 0.0) + deposit
        saved = min(SAVED_FAN_OUTS * deposit, MAX_TOKENS_LIMIT)
        limit = max(MIN_TOKENS_LIMIT, deposit, saved)
        self._tokens_by_service[rule.name] = min(balance, limit)

    def withdraw(self, rule: ServiceRule) -> bool:
        """Withdraw one token; return whether there was one."""
        balance = self._tokens_by_service.get(rule.name, 0.0)
        if balance < 1.0:
            return False
        self._tokens_by_service[rule.name] = balance - 1.0
        return True
