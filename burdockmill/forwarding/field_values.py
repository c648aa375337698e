"""Tell which header values can be sent on as they were received."""

from __future__ import annotations

import re

# HTTP forbids control characters but for tabs. A lone surrogate stands for a byte that
# is not UTF-8, which would be left out.
UNSENDABLE = re.compile(r"[\x00-\x08\x0a-\x1f\x7f\ud800-\udfff]")


def is_sendable(value: str) -> bool:
    """Return whether a value can be sent on unchanged."""
    return not UNSENDABLE.search(value)
