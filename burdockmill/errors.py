"""Define the errors that callers and operators receive, each with its remedy."""

from __future__ import annotations

from enum import StrEnum
from typing import ClassVar, NotRequired, TypedDict


class Ran(StrEnum):
    """Enumerate whether a request ran on an upstream."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class ErrorBody(TypedDict):
    """Define the JSON body of an error response."""

    kind: str
    message: str
    remedy: str
    ran: str
    request_id: NotRequired[str]
    retry_after_ms: NotRequired[int]


class BurdockmillError(Exception):
    """Report a refusal or failure with its remedy."""

    kind: ClassVar[str] = "internal"
    status: ClassVar[int] = 500
    remedy: ClassVar[str] = "Look for this request in the log; report it if it recurs."

    def __init__(
        self,
        message: str,
        *,
        remedy: str | None = None,
        ran: Ran = Ran.NO,
        retry_after_ms: int | None = None,
    ) -> None:
        super().__init__(message)
        self.message = message
        self.remedy_text = remedy or self.remedy
        self.ran = ran
        self.retry_after_ms = retry_after_ms

    def body(self, request_id: str | None = None) -> ErrorBody:
        """Return the JSON body, with the request ID and the retry delay if present."""
        body = ErrorBody(
            kind=self.kind,
            message=self.message,
            remedy=self.remedy_text,
            ran=str(self.ran),
        )
        if request_id is not None:
            body["request_id"] = request_id
        if self.retry_after_ms is not None:
            body["retry_after_ms"] = self.retry_after_ms
        return body


class BadRequestError(BurdockmillError):
    """Refuse a request that is malformed."""

    kind = "bad_request"
    status = 400
    remedy = "Correct the request as the message says."


class BadDeadlineError(BadRequestError):
    """Refuse a deadline that is not a number of milliseconds within the limits."""

    kind = "bad_deadline"
    remedy = "Send Deadline-Ms as a whole number of milliseconds from 1 to 60000."


class BodyTooLargeError(BurdockmillError):
    """Refuse a body larger than the limit."""

    kind = "body_too_large"
    status = 413
    remedy = "Send a smaller body."


class HeaderTooLargeError(BurdockmillError):
    """Refuse a request whose head is larger than the limit."""

    kind = "header_too_large"
    status = 431
    remedy = "Send fewer or shorter headers, or a shorter path."


class SlowRequestError(BurdockmillError):
    """Refuse a request whose header or body arrives too slowly."""

    kind = "slow_request"
    status = 408
    remedy = "Send the whole request at once, within its deadline."


class UnknownCallerError(BurdockmillError):
    """Refuse a caller whose key matches no rule."""

    kind = "unknown_caller"
    status = 401
    remedy = "Send 'Authorization: Bearer KEY' with a key that a caller rule names."


class NotAllowedError(BurdockmillError):
    """Refuse a request that no allow rule grants the caller."""

    kind = "not_allowed"
    status = 403
    remedy = "Ask an operator for an allow rule for this caller, service and kind."


class UnknownServiceError(BurdockmillError):
    """Refuse a service that no rule names."""

    kind = "unknown_service"
    status = 404
    remedy = "Use a service that a service rule names."


class BadTicketError(BadRequestError):
    """Refuse an Idempotency-Key that is not a ticket of this fleet."""

    kind = "bad_ticket"
    remedy = "Take a ticket from POST /v1/services/{service}/tickets and send it as is."


class OtherActionError(BadRequestError):
    """Refuse a ticket that belongs to another caller, service, key or action."""

    kind = "other_action"
    status = 409
    remedy = "Use a ticket for the one action it was taken for; take another ticket."


class RecordAbsentError(BurdockmillError):
    """Report that the whole shard was searched and holds no such record."""

    kind = "record_absent"
    status = 404
    remedy = "Check the key; the shard was reached and holds no such record."


class ShardUnreachableError(BurdockmillError):
    """Report that no replica of the record's shard answered."""

    kind = "shard_unreachable"
    status = 503
    remedy = "Retry later; whether the record exists is not known."


class NotReadyError(BurdockmillError):
    """Refuse work while no configuration is active."""

    kind = "not_ready"
    status = 503
    remedy = "Retry on another host; this one has no configuration yet."


class StoppingError(BurdockmillError):
    """Refuse or abort work because this host is stopping."""

    kind = "stopping"
    status = 503
    remedy = "Retry on another host; this one is stopping."


class OverloadedError(BurdockmillError):
    """Refuse work that exceeds a limit."""

    kind = "overloaded"
    status = 503
    remedy = "Retry after retry_after_ms."


class IsolatedError(BurdockmillError):
    """Refuse a request that no host can bring to an upstream."""

    kind = "isolated"
    status = 503
    remedy = "Retry after retry_after_ms; no host of the fleet reaches an upstream now."


class CrashingRequestError(BurdockmillError):
    """Refuse a request under which upstreams ended, again and again."""

    kind = "crashing_request"
    status = 503
    remedy = "Change the request; upstreams ended each time that they ran it."


class RateLimitedError(BurdockmillError):
    """Refuse a caller that exceeds the rate of its rule."""

    kind = "rate_limited"
    status = 429
    remedy = "Slow down; retry after retry_after_ms."


class UnknownRouteError(BurdockmillError):
    """Refuse a request that no route matches."""

    kind = "unknown_route"
    status = 404
    remedy = "Use a host and path that the configuration routes."


class NoReplicaError(BurdockmillError):
    """Refuse a request for which no upstream is known."""

    kind = "no_replica"
    status = 503
    remedy = "Retry after retry_after_ms; the service has no upstream now."


class UpstreamFailedError(BurdockmillError):
    """Report that an upstream may have run a request but gave no valid answer."""

    kind = "upstream_failed"
    status = 502
    remedy = "Retry only if running the request twice does no harm."


class DeadlineExceededError(BurdockmillError):
    """Report that the deadline passed before an answer was complete."""

    kind = "deadline_exceeded"
    status = 504
    remedy = "Allow a longer deadline, or retry a repeatable request."


class PlatformUnreachableError(BurdockmillError):
    """Report that no address of the platform answered."""

    kind = "platform_unreachable"
    status = 503
    remedy = "Check platform_addresses and the platform; reads are tried again."


class PlatformAnswerError(BurdockmillError):
    """Report a platform value that is malformed or does not match its digest."""

    kind = "platform_answer"
    status = 502
    remedy = "Publish the value again; the accepted configuration stays active."


class UnknownPathError(BurdockmillError):
    """Refuse a path that is not served."""

    kind = "unknown_path"
    status = 404
    remedy = "Use a path that the README lists."


class MethodNotAllowedError(BurdockmillError):
    """Refuse a method that the path does not support."""

    kind = "method_not_allowed"
    status = 405
    remedy = "Use a method that the Allow header names."


class UnknownRequestError(BurdockmillError):
    """Refuse to explain a request that this caller did not send to this host."""

    kind = "unknown_request"
    status = 404
    remedy = (
        "Ask the host that answered the request, with the same caller key, soon after "
        "its answer: hosts remember only recent requests."
    )


class WrongPeerKeyError(BurdockmillError):
    """Refuse a host whose peer key differs."""

    kind = "wrong_peer_key"
    status = 401
    remedy = "Set the same peer_key in the settings of all hosts."


def free_frames(error: BaseException) -> None:
    """Drop the tracebacks of an error that was handled and of its causes.

    Their frames refer to the error again and to what failed, such as a request or the
    bytes of an answer: without this they stay until the cyclic garbage collector runs.
    """
    freed: set[int] = set()
    cause: BaseException | None = error
    while cause is not None and id(cause) not in freed:
        freed.add(id(cause))
        cause.__traceback__ = None
        cause = cause.__cause__ or cause.__context__
