"""Check a request against the active rules before any work is done for it."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from burdockmill.errors import NotReadyError, RateLimitedError, UnknownServiceError
from burdockmill.messages.actions import Action, Answer, LogDecision

if TYPE_CHECKING:
    from burdockmill.errors import BurdockmillError
    from burdockmill.messages.events import RequestReceived
    from burdockmill.rules.model import RuleSet
    from burdockmill.world import World


def refuse_start(world: World, request: RequestReceived, now_ms: float) -> list[Action]:
    """Return the actions that refuse a request, or none when it may start."""
    error = _refusal_error(world, request, now_ms)
    if error is None:
        return []
    world.counter_by_name[f"refused_{error.kind}"] += 1
    decision = LogDecision("refuse", request.request_id, request.service, error.kind)
    return [decision, Answer(request.request_id, error)]


def _refusal_error(
    world: World, request: RequestReceived, now_ms: float
) -> BurdockmillError | None:
    if world.rules is None:
        return NotReadyError("No configuration is active.")
    if request.service not in world.rules.service_by_name:
        return UnknownServiceError(f"No service is named {request.service!r}.")
    return _rate_error(world, world.rules, request, now_ms)


def _rate_error(
    world: World, rules: RuleSet, request: RequestReceived, now_ms: float
) -> RateLimitedError | None:
    key = (request.caller, request.service)
    rule = rules.allow_by_caller_service.get(key)
    if rule is None or rule.rate_per_second is None:
        return None
    share = rule.rate_per_second / max(1, world.live_host_count())
    wait_ms = world.rate_limiter.take(key, share, now_ms)
    if not wait_ms:
        return None
    return RateLimitedError(
        f"Caller {request.caller!r} exceeds {rule.rate_per_second:g} requests/s.",
        retry_after_ms=math.ceil(wait_ms),
    )
