"""Define the actions by which a request is handed over, and how that can end."""

from __future__ import annotations

from collections.abc import Sequence
from enum import StrEnum
from typing import NamedTuple

from burdockmill.errors import BurdockmillError
from burdockmill.forwarding.messages import MergedAnswer, UpstreamAnswer
from burdockmill.names import HostId
from burdockmill.relay.upstream_facts import UpstreamFact


class SendRelay(NamedTuple):
    """Hand the request over to a host, which replies by `deadline_ms`, a clock time.

    `attempts_limit` is how many upstreams may still run each part; `is_counted` is
    whether the repeat budgets have counted the request, and `is_gathered` whether the
    host gathers a search that this host could run as well.
    """

    relay: int
    host: HostId
    deadline_ms: float
    round_trip_ms: float
    attempts_limit: int
    is_counted: bool
    is_gathered: bool = False


class WithdrawRelay(NamedTuple):
    """Cancel the request at a host that took it over."""

    relay: int


class RelayEnd(StrEnum):
    """Enumerate how a host that was handed a request can end it."""

    ANSWERED = "answered"
    DECLINED = "declined"
    NOT_SENT = "not_sent"
    LOST = "lost"


class RelayOutcome(NamedTuple):
    """Describe how a host ended a request; `result` is None without a reply.

    `facts` are what its upstreams stated of themselves meanwhile.
    """

    end: RelayEnd
    result: UpstreamAnswer | MergedAnswer | BurdockmillError | None = None
    detail: str = ""
    facts: Sequence[UpstreamFact] = ()
