"""Define the record of one decision, for logs and explanations."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from burdockmill.messages.actions import NO_INPUTS

if TYPE_CHECKING:
    from collections.abc import Mapping


class Decision(NamedTuple):
    """Store what a component (`part`) of the host decided, when and why.

    `at_ms` is by this host's clock, `passed_over` lists the rejected alternatives, and
    `request_id` is empty if the decision concerns no single request.
    """

    at_ms: float
    part: str
    request_id: str
    choice: str
    reason: str
    passed_over: tuple[str, ...]
    inputs: Mapping[str, object] = NO_INPUTS
