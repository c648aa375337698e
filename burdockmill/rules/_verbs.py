"""Define the verbs of the rules text and their keys."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple, TypeAlias

from burdockmill.rules import _fields as fields
from burdockmill.rules._fields import Field
from burdockmill.rules.model import (
    AllowRule,
    CallerRule,
    LeavingRule,
    ServiceRule,
    ShardRule,
    UpstreamRule,
)

MAX_UPSTREAM_SLOTS = 100_000
MAX_CONNECTIONS = 100_000
MAX_DOCUMENTS = 10**12
MAX_HEDGE_PERCENT = 5
MAX_PERCENT = 100

Rule: TypeAlias = (
    ServiceRule | UpstreamRule | ShardRule | CallerRule | AllowRule | LeavingRule
)


class Verb(NamedTuple):
    """Describe a verb: the rule that it builds, the attribute of its name, its keys."""

    build: Callable[..., Rule]
    name_attribute: str
    fields: tuple[Field, ...]


VERB_BY_NAME: dict[str, Verb] = {
    "service": Verb(
        ServiceRule,
        "name",
        (
            Field("completion", "completion", fields.completion, False),
            Field("deadline", "deadline_ms", fields.duration_ms, False),
            Field("soft-deadline", "soft_deadline_ms", fields.duration_ms, False),
            Field(
                "coverage-target",
                "coverage_target",
                fields.percent(MAX_PERCENT),
                False,
            ),
            Field("hedge", "hedge_fraction", fields.percent(MAX_HEDGE_PERCENT), False),
        ),
    ),
    "upstream": Verb(
        UpstreamRule,
        "name",
        (
            Field("domain", "domain", fields.name),
            Field("address", "address", fields.address),
            Field("slots", "slots", fields.whole_number(1, MAX_UPSTREAM_SLOTS)),
            Field(
                "connections", "connections", fields.whole_number(1, MAX_CONNECTIONS)
            ),
            Field("connect", "connect_ms", fields.duration_ms, False),
        ),
    ),
    "shard": Verb(
        ShardRule,
        "name",
        (
            Field("service", "service", fields.name),
            Field("slots", "slots", fields.slot_range),
            Field("replicas", "replicas", fields.names),
            Field(
                "documents", "documents", fields.whole_number(0, MAX_DOCUMENTS), False
            ),
        ),
    ),
    "caller": Verb(
        CallerRule, "name", (Field("key", "key_digest", fields.digest, secret=True),)
    ),
    "allow": Verb(
        AllowRule,
        "caller",
        (
            Field("service", "service", fields.name),
            Field("kinds", "kinds", fields.kinds),
            Field("rate", "rate_per_second", fields.rate_per_second, False),
        ),
    ),
    "leaving": Verb(LeavingRule, "upstream", ()),
}
