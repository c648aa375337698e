"""Define type aliases for the kinds of identifiers."""

from __future__ import annotations

from typing import TypeAlias

HostId: TypeAlias = str
DomainId: TypeAlias = str
UpstreamId: TypeAlias = str
ServiceId: TypeAlias = str
ShardId: TypeAlias = str
CallerId: TypeAlias = str
RequestId: TypeAlias = str
AttemptId: TypeAlias = int
SnapshotId: TypeAlias = int
Revision: TypeAlias = int
Era: TypeAlias = int
Address: TypeAlias = str
