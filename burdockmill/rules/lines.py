"""Parse lines of the rules without the rest of the text."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from burdockmill.rules.checks import check_each
from burdockmill.rules.grammar import tokenise

if TYPE_CHECKING:
    from collections.abc import Iterable

    from burdockmill.rules._verbs import Rule
    from burdockmill.rules.problem import RuleProblem


class ParsedLines(NamedTuple):
    """Store the rules of some lines and the problems within each line."""

    rules: tuple[Rule, ...]
    problems: tuple[RuleProblem, ...]


def parse_lines(lines: Iterable[str]) -> ParsedLines:
    """Parse lines without checking references or duplicate names."""
    statements, syntax_problems = tokenise("\n".join(lines))
    rules: list[Rule] = []
    problems = list(syntax_problems)
    for statement in statements:
        checked = check_each(statement)
        problems.extend(checked.problems)
        if checked.rule is not None:
            rules.append(checked.rule)
    return ParsedLines(tuple(rules), tuple(problems))
