"""Decide when an attempt is hedged, within a budget."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from burdockmill.policies.hedge_budget import HedgeBudget

if TYPE_CHECKING:
    from burdockmill.rules.model import ServiceRule
    from burdockmill.tables.upstream_view import UpstreamViews

MIN_DELAY_MS = 1.0
DEFAULT_DELAY_MS = 50.0
# Share of the budget for the first hedge of a shard; the rest is for further ones.
FIRST_HEDGE_SHARE = 0.85
HEDGES_LIMIT = 3


class HedgingPolicy(ABC):
    """Decide when an attempt is hedged, within a budget."""

    @abstractmethod
    def deposit(self, rule: ServiceRule, attempts: int) -> None:
        """Deposit into the budget for the first attempts of one search."""

    @abstractmethod
    def delay_ms(self, rule: ServiceRule, hedges: int) -> float | None:
        """Return the wait before the next hedge of a shard; None for no hedge."""

    @abstractmethod
    def withdraw(self, rule: ServiceRule) -> bool:
        """Withdraw one hedge; return whether the budget allowed it."""


class NoHedging(HedgingPolicy):
    """Never hedge."""

    def deposit(self, rule: ServiceRule, attempts: int) -> None:
        """Do nothing: there is no budget."""

    def delay_ms(self, rule: ServiceRule, hedges: int) -> float | None:
        """Return None: no attempt is hedged."""
        return None

    def withdraw(self, rule: ServiceRule) -> bool:
        """Return False: no hedge is allowed."""
        return False


class QuantileHedging(HedgingPolicy):
    """Hedge after a latency quantile that the service's hedge fraction can afford."""

    def __init__(self, views: UpstreamViews) -> None:
        self._views = views
        self._budget = HedgeBudget()

    def deposit(self, rule: ServiceRule, attempts: int) -> None:
        """Deposit into the service's budget for the first attempts of one search."""
        self._budget.deposit(rule, attempts)

    def delay_ms(self, rule: ServiceRule, hedges: int) -> float | None:
        """Return the service's latency quantile, the same before each further hedge.

        None means that the shard gets no more hedges.
        """
        if hedges >= HEDGES_LIMIT or rule.hedge_fraction <= 0.0:
            return None
        quantile = 1.0 - FIRST_HEDGE_SHARE * rule.hedge_fraction
        observed_ms = self._views.latency_ms(rule.name, quantile)
        return (
            DEFAULT_DELAY_MS if observed_ms is None else max(observed_ms, MIN_DELAY_MS)
        )

    def withdraw(self, rule: ServiceRule) -> bool:
        """Withdraw a token from the service's budget."""
        return self._budget.withdraw(rule)
