"""Check statements of the rules, each alone and against one another."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from returns.result import Success

from burdockmill.rules._verbs import VERB_BY_NAME, Rule, Verb
from burdockmill.rules.model import Completion, ServiceRule
from burdockmill.rules.problem import RuleProblem, quoted

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from burdockmill.rules.grammar import Statement, Token

__all__ = ["CheckedStatement", "RuleProblem", "check_each", "check_together"]


class CheckedStatement(NamedTuple):
    """Store a statement, the values that could be parsed, and its problems.

    `rule` is None if the verb, a key or a value has a problem.
    """

    statement: Statement
    value_by_attribute: dict[str, Any]
    problems: tuple[RuleProblem, ...]
    rule: Rule | None

    def token_of(self, key: str) -> Token:
        """Return the token of a key's value, or of the name if the key is absent."""
        for pair in self.statement.pairs:
            if pair.key.text == key:
                return pair.value
        return self.statement.name


class LocatedKey(NamedTuple):
    """Locate a name or key that a rule declares or refers to."""

    kind: str
    value: str
    token: Token


def check_each(statement: Statement) -> CheckedStatement:
    """Parse a statement's values and list every problem within it."""
    verb = VERB_BY_NAME.get(statement.verb.text)
    if verb is None:
        problem = _problem(
            statement,
            statement.verb,
            f"unknown verb {quoted(statement.verb.text)}",
            f"use one of: {', '.join(VERB_BY_NAME)}",
        )
        return CheckedStatement(statement, {}, (problem,), None)
    value_by_attribute: dict[str, Any] = {}
    problems = list(_read_values(statement, verb, value_by_attribute))
    if problems:
        return CheckedStatement(statement, value_by_attribute, tuple(problems), None)
    value_by_attribute[verb.name_attribute] = statement.name.text
    rule = verb.build(comment=statement.comment, **value_by_attribute)
    checked = CheckedStatement(statement, value_by_attribute, (), rule)
    return checked._replace(problems=tuple(_check_deadlines(checked)))


def check_together(checked: Iterable[CheckedStatement]) -> tuple[RuleProblem, ...]:
    """List duplicate names and references to names that no rule declares."""
    known = [one for one in checked if one.statement.verb.text in VERB_BY_NAME]
    return (*_check_duplicates(known), *_check_references(known))


def _read_values(
    statement: Statement, verb: Verb, value_by_attribute: dict[str, Any]
) -> Iterator[RuleProblem]:
    field_by_key = {field.key: field for field in verb.fields}
    seen: set[str] = set()
    for key, value in statement.pairs:
        field = field_by_key.get(key.text)
        if field is None:
            yield _problem(
                statement,
                key,
                f"unknown key {quoted(key.text)} for {statement.verb.text}",
                f"use one of: {', '.join(field_by_key)}"
                if field_by_key
                else "remove it; this verb takes no keys",
            )
            continue
        if field.key in seen:
            message = f"key {field.key!r} is given twice"
            yield _problem(statement, key, message, "keep one of the two")
            continue
        seen.add(field.key)
        result = field.parse(value.text)
        if isinstance(result, Success):
            value_by_attribute[field.attribute] = result.unwrap()
            continue
        shown_value = "(hidden)" if field.secret else quoted(value.text)
        message = f"bad value {shown_value} for {field.key!r}"
        yield _problem(statement, value, message, result.failure())
    for field in verb.fields:
        if field.required and field.key not in seen:
            message = f"{statement.verb.text} lacks the key {field.key!r}"
            yield _problem(statement, statement.verb, message, f"add {field.key}=VALUE")


def _check_deadlines(checked: CheckedStatement) -> Iterator[RuleProblem]:
    rule = checked.rule
    if not isinstance(rule, ServiceRule):
        return
    if rule.soft_deadline_ms <= rule.deadline_ms:
        return
    is_explicit = "soft_deadline_ms" in checked.value_by_attribute
    if is_explicit or rule.completion is Completion.LATENCY:
        yield _problem(
            checked.statement,
            checked.token_of("soft-deadline"),
            f"soft-deadline of {rule.soft_deadline_ms}ms is after "
            f"the deadline of {rule.deadline_ms}ms",
            "set soft-deadline to at most deadline",
        )


def _check_duplicates(known: list[CheckedStatement]) -> Iterator[RuleProblem]:
    line_by_key: dict[tuple[str, str], int] = {}
    for checked in known:
        statement = checked.statement
        for kind, value, token in _declared_keys(checked):
            first_line = line_by_key.setdefault((kind, value), statement.line)
            if first_line == statement.line:
                continue
            message = f"{kind} {quoted(value)} is already on line {first_line}"
            yield _problem(statement, token, message, "remove or change one of them")


def _declared_keys(checked: CheckedStatement) -> Iterator[LocatedKey]:
    verb, name = checked.statement.verb.text, checked.statement.name
    value_by_attribute = checked.value_by_attribute
    if not name.text:
        return
    if verb != "allow":
        yield LocatedKey(verb, name.text, name)
    elif "service" in value_by_attribute:
        service = value_by_attribute["service"]
        yield LocatedKey("allow", f"{name.text} service={service}", name)
    if "key_digest" in value_by_attribute:
        digest = value_by_attribute["key_digest"]
        yield LocatedKey("caller key", f"sha256:{digest}", checked.token_of("key"))


def _check_references(known: list[CheckedStatement]) -> Iterator[RuleProblem]:
    declared = {
        (one.statement.verb.text, one.statement.name.text)
        for one in known
        if one.statement.name.text
    }
    for checked in known:
        for kind, value, token in _references(checked):
            if (kind, value) in declared:
                continue
            message = f"no rule names the {kind} {quoted(value)}"
            remedy = f"add a line '{kind} {value} ...' or correct the name"
            yield _problem(checked.statement, token, message, remedy)


def _references(checked: CheckedStatement) -> Iterator[LocatedKey]:
    verb, name = checked.statement.verb.text, checked.statement.name
    if verb == "allow" and name.text:
        yield LocatedKey("caller", name.text, name)
    if verb == "leaving" and name.text:
        yield LocatedKey("upstream", name.text, name)
    if "service" in checked.value_by_attribute:
        service = checked.value_by_attribute["service"]
        yield LocatedKey("service", service, checked.token_of("service"))
    token = checked.token_of("replicas")
    column = token.column
    for replica in checked.value_by_attribute.get("replicas", ()):
        yield LocatedKey("upstream", replica, token._replace(column=column))
        column += len(replica) + 1


def _problem(
    statement: Statement, token: Token, message: str, remedy: str
) -> RuleProblem:
    return RuleProblem(statement.line, token.column, message, remedy)
