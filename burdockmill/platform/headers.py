"""Pick the headers that are passed on."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.platform.wire_names import HOP_BY_HOP

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from burdockmill.forwarding.messages import Headers


def end_to_end(
    headers: Mapping[str, str], left_out: frozenset[str] = frozenset()
) -> Headers:
    """Return all headers but those of one connection; `left_out` is in lower case."""
    named = frozenset(_named_by_connection(headers))
    dropped = HOP_BY_HOP | left_out | named
    return tuple(
        (name, value) for name, value in headers.items() if name.lower() not in dropped
    )


def _named_by_connection(headers: Mapping[str, str]) -> Iterator[str]:
    for name in headers.get("Connection", "").split(","):
        yield name.strip().lower()
