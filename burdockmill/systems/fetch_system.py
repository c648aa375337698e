"""Fetch single records by key."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.errors import (
    DeadlineExceededError,
    OverloadedError,
    Ran,
    RecordAbsentError,
    ShardUnreachableError,
)
from burdockmill.messages.actions import ActionAnswer, FetchAnswer
from burdockmill.messages.peer import Reason
from burdockmill.policies.refusal_memory import (
    OVERLOAD_REASONS,
    REFUSING_DEFAULT_MS,
)
from burdockmill.rules.model import RequestKind
from burdockmill.systems.keyed_system import KeyedSystem

if TYPE_CHECKING:
    import msgspec

    from burdockmill.errors import BurdockmillError
    from burdockmill.messages.events import RequestReceived
    from burdockmill.messages.peer import PartOutcome
    from burdockmill.tables.keyed_row import KeyedRow


class FetchSystem(KeyedSystem):
    """Fetch single records, trying the replicas of the shard in turn."""

    name = "fetch"
    kind = RequestKind.FETCH

    def answered(
        self, row: KeyedRow, outcome: PartOutcome, body: msgspec.Raw
    ) -> FetchAnswer | ActionAnswer | BurdockmillError:
        """Return the record, or an error if the shard does not have it."""
        if outcome.reason == Reason.ABSENT:
            return RecordAbsentError(
                f"No record has the key {row.request.key!r}.", ran=Ran.YES
            )
        return FetchAnswer(row.request.key, body)

    def failure_result(
        self,
        request: RequestReceived,
        reason: Reason,
        ran: Ran,
        retry_after_ms: int | None,
    ) -> FetchAnswer | ActionAnswer | BurdockmillError:
        """Return the error for a fetch that no replica answered."""
        message = f"No replica of the shard of {request.key!r} answered: {reason}."
        if reason == Reason.DEADLINE:
            return DeadlineExceededError(message, ran=ran)
        if reason in OVERLOAD_REASONS and ran == Ran.NO:
            wait_ms = retry_after_ms or REFUSING_DEFAULT_MS
            return OverloadedError(message, retry_after_ms=wait_ms)
        return ShardUnreachableError(message, ran=ran, retry_after_ms=retry_after_ms)

    def may_retry(self, outcome: PartOutcome) -> bool:
        """Return True: a fetch may be retried after any outcome."""
        return True
