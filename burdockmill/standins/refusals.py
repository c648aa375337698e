"""Define the refusals of a stand-in upstream."""

from __future__ import annotations

from burdockmill.messages.peer import Reason

CONFLICT = 409
GONE = 410
UNAVAILABLE = 503


class RefusedError(Exception):
    """Refuse a request; `ran` is whether it had started."""

    def __init__(
        self,
        kind: str,
        *,
        status: int = UNAVAILABLE,
        ran: bool = False,
        retry_after_ms: int | None = None,
    ) -> None:
        super().__init__(kind)
        self.kind = kind
        self.status = status
        self.ran = ran
        self.retry_after_ms = retry_after_ms


def rejected() -> RefusedError:
    """Return the refusal of a request that is invalid or has an unknown record."""
    return RefusedError(Reason.REJECTED, status=CONFLICT)
