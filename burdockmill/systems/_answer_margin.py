"""Reserve time before each deadline for returning the answer to the caller."""

from __future__ import annotations

ANSWER_MARGIN_MS = 10.0
