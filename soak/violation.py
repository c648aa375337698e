"""Define what a check reports."""

from __future__ import annotations

from typing import NamedTuple


class Violation(NamedTuple):
    """A rule that was broken, when, and how."""

    rule: str
    at_ms: float
    detail: str

    def __str__(self) -> str:
        return f"{self.at_ms / 1_000:.3f} s {self.rule}: {self.detail}"
