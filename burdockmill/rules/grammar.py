"""Split the rules text into statements: verb, name, key=value pairs, comment."""

from __future__ import annotations

import re
from typing import NamedTuple

from burdockmill.rules.problem import RuleProblem, quoted

MAX_LINE_CHARACTERS = 4096
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
TOKEN_PATTERN = re.compile(r"[^ \t]+")
# Lists the characters instead of using Unicode categories, so that the result is
# the same under every version of Unicode.
FORBIDDEN_CHARACTER_PATTERN = re.compile(
    "[\x00-\x08\x0a-\x1f\x7f-\x9f\u200b-\u200f\u2028-\u202e\u2060-\u2069\ufeff"
    "\ud800-\udfff]"
)


class Token(NamedTuple):
    """Store a word of a line and its column, counted from 1."""

    text: str
    column: int


class Pair(NamedTuple):
    """Store a key and its value, each with its own column."""

    key: Token
    value: Token


class Statement(NamedTuple):
    """Store one line of the rules before its values are parsed."""

    line: int
    verb: Token
    name: Token
    pairs: tuple[Pair, ...]
    comment: str


class Tokenised(NamedTuple):
    """Store the statements of a text and its syntax problems."""

    statements: tuple[Statement, ...]
    problems: tuple[RuleProblem, ...]


def tokenise(text: str) -> Tokenised:
    """Split the text into statements and list every syntax problem."""
    statements: list[Statement] = []
    problems: list[RuleProblem] = []
    for number, line in enumerate(text.split("\n"), start=1):
        statement = _read_line(number, line.removesuffix("\r"), problems)
        if statement is not None:
            statements.append(statement)
    return Tokenised(tuple(statements), tuple(problems))


def _read_line(number: int, line: str, problems: list[RuleProblem]) -> Statement | None:
    problem = _find_line_problem(number, line)
    if problem is not None:
        problems.append(problem)
        return None
    body, _, comment = line.partition("#")
    tokens = [Token(m.group(), m.start() + 1) for m in TOKEN_PATTERN.finditer(body)]
    if not tokens:
        return None
    if not comment.strip():
        problems.append(
            RuleProblem(
                number,
                len(body.rstrip(" \t")) + 1,
                "the rule has no comment",
                "add '# who asked and why' at the end of the line",
            )
        )
    verb, *rest = tokens
    name = _read_name(number, verb, rest, problems)
    pairs = _read_pairs(number, rest, problems)
    return Statement(number, verb, name, pairs, comment.strip())


def _find_line_problem(number: int, line: str) -> RuleProblem | None:
    if len(line) > MAX_LINE_CHARACTERS:
        return RuleProblem(
            number,
            MAX_LINE_CHARACTERS + 1,
            f"the line has {len(line)} characters",
            f"shorten it to {MAX_LINE_CHARACTERS}",
        )
    forbidden = FORBIDDEN_CHARACTER_PATTERN.search(line)
    if forbidden is None:
        return None
    return RuleProblem(
        number,
        forbidden.start() + 1,
        f"control character U+{ord(forbidden.group()):04X}",
        "remove it",
    )


def _read_name(
    number: int, verb: Token, rest: list[Token], problems: list[RuleProblem]
) -> Token:
    if not rest or "=" in rest[0].text:
        column = verb.column + len(verb.text)
        problems.append(
            RuleProblem(
                number,
                column,
                f"no name follows {quoted(verb.text)}",
                "write the name after the verb",
            )
        )
        return Token("", column)
    name = rest.pop(0)
    if NAME_PATTERN.fullmatch(name.text) is None:
        problems.append(
            RuleProblem(
                number,
                name.column,
                f"{quoted(name.text)} is not a name",
                "use 1 to 64 letters, digits, '.', '_' or '-', "
                "starting with a letter or digit",
            )
        )
    return name


def _read_pairs(
    number: int, tokens: list[Token], problems: list[RuleProblem]
) -> tuple[Pair, ...]:
    pairs: list[Pair] = []
    for token in tokens:
        key, equals, value = token.text.partition("=")
        if key and equals:
            value_column = token.column + len(key) + 1
            pairs.append(Pair(Token(key, token.column), Token(value, value_column)))
            continue
        problems.append(
            RuleProblem(
                number,
                token.column,
                f"{quoted(token.text)} is not key=value",
                "write key=value without spaces around '='",
            )
        )
    return tuple(pairs)
