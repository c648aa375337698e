"""Name how a request is treated for the crashes under it."""

from __future__ import annotations

from enum import StrEnum


class Standing(StrEnum):
    """Enumerate how a request is treated for the crashes under it."""

    TRUSTED = "trusted"
    SUSPECTED = "suspected"
    TRIAL = "trial"
    TRIAL_AWAITED = "trial_awaited"
    HELD = "held"
