"""Describe what is wrong with a line of the rules."""

from __future__ import annotations

from typing import NamedTuple

MAX_QUOTED_CHARACTERS = 40


class RuleProblem(NamedTuple):
    """Locate a problem in the rules text; line and column count from 1."""

    line: int
    column: int
    message: str
    remedy: str

    def __str__(self) -> str:
        return f"line {self.line}, column {self.column}: {self.message}; {self.remedy}"


def quoted(text: str) -> str:
    """Quote a piece of the rules text, truncated to a readable length."""
    if len(text) <= MAX_QUOTED_CHARACTERS:
        return repr(text)
    return repr(text[:MAX_QUOTED_CHARACTERS]) + "..."
