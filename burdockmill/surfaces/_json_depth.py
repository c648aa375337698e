"""Check the nesting depth of JSON text without decoding it."""

from __future__ import annotations

import re

_TOKEN_PATTERN = re.compile(rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"?|[\[{]|[\]}]', re.DOTALL)
_OPENING = frozenset((b"[", b"{"))
_CLOSING = frozenset((b"]", b"}"))


def nests_deeper_than(text: bytes, limit: int) -> bool:
    """Return whether arrays and objects nest deeper than `limit`, outside strings."""
    depth = 0
    for match in _TOKEN_PATTERN.finditer(text):
        token = match.group()
        if token in _OPENING:
            depth += 1
        elif token in _CLOSING:
            depth -= 1
        if depth > limit:
            return True
    return False
