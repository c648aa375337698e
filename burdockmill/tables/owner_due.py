"""Define the keys under which an owner schedules its timers."""

from __future__ import annotations

from typing import NamedTuple

from burdockmill.names import AttemptId, HostId, RequestId, UpstreamId


class AttemptDue(NamedTuple):
    """Identify an attempt that must start by its due time."""

    request_id: RequestId
    attempt: AttemptId


class FlushDue(NamedTuple):
    """Identify an answer that is delayed so that others can be merged into it."""

    requester: HostId
    request_id: RequestId


class PoolDue(NamedTuple):
    """Identify an upstream whose connection pool may no longer be needed."""

    upstream: UpstreamId


OwnerDue = AttemptDue | FlushDue | PoolDue
