"""Define the time reserved for returning an answer before its deadline."""

from __future__ import annotations

ANSWER_MARGIN_MS = 10.0
