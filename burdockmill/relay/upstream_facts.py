"""Carry what upstreams state of themselves in a run to the request's entry host.

The facts are a header of the reply between hosts, as hosts of earlier builds accept no
further fields in its body. Fields may be added here; unknown ones are ignored.
"""

from __future__ import annotations

import json
import math
from typing import TYPE_CHECKING, NotRequired, TypedDict

import msgspec
from loguru import logger

from burdockmill.forwarding.messages import AttemptEnd
from burdockmill.names import UpstreamId

if TYPE_CHECKING:
    from collections.abc import Iterable

    from burdockmill.forwarding.messages import AttemptOutcome, Registration

FACTS_HEADER = "Upstream-Facts"
# Clients accept headers of 8,190 bytes as a rule.
FACTS_LIMIT_BYTES = 4_096
REPLIES = frozenset(
    {AttemptEnd.ANSWERED, AttemptEnd.UPSTREAM_ERROR, AttemptEnd.NOT_RUN}
)


class UpstreamFact(TypedDict):
    """Describe a reply of one run of an upstream.

    `limit_per_s` is the rate that it takes from all hosts together, if it names one.
    """

    upstream: UpstreamId
    started_ms: int
    is_leaving: NotRequired[bool]
    limit_per_s: NotRequired[float]


_DECODER = msgspec.json.Decoder(list[UpstreamFact])


def fact_of(upstream: Registration, outcome: AttemptOutcome) -> UpstreamFact | None:
    """Return what an outcome tells of an upstream, None if it did not reply."""
    if outcome.end not in REPLIES:
        return None
    fact = UpstreamFact(upstream=upstream.upstream, started_ms=upstream.started_ms)
    if outcome.is_leaving:
        fact["is_leaving"] = True
    if outcome.limit_per_s is not None and outcome.limit_per_s < math.inf:
        fact["limit_per_s"] = outcome.limit_per_s
    return fact


def encode_facts(facts: Iterable[UpstreamFact]) -> str:
    """Return the header's value; if not all facts fit, plain replies are left out."""
    texts: list[str] = []
    size_bytes = 0
    for fact in sorted(facts, key=len, reverse=True):
        text = json.dumps(fact, separators=(",", ":"))
        size_bytes += len(text) + 1
        if size_bytes >= FACTS_LIMIT_BYTES:
            break
        texts.append(text)
    return f"[{','.join(texts)}]"


def decode_facts(text: str) -> list[UpstreamFact]:
    """Return the facts of a header's value, none if it is malformed."""
    try:
        return _DECODER.decode(text)
    except (msgspec.MsgspecError, UnicodeError, RecursionError) as error:
        logger.warning("relay: the facts of a reply are malformed: {}.", error)
        return []
