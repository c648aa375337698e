"""Select the headers that are forwarded end to end."""

from __future__ import annotations

from typing import TYPE_CHECKING

from multidict import MultiMapping

from burdockmill.forwarding.field_values import is_sendable
from burdockmill.platform.wire_names import HOP_BY_HOP, REQUEST_ID, STAMP

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from burdockmill.forwarding.messages import Headers


# No connection option removes these: an answer without them is not the client's.
ALWAYS_END_TO_END = frozenset({REQUEST_ID.lower(), STAMP.lower()})


def end_to_end(
    headers: Mapping[str, str],
    unsendable: list[str],
    excluded: frozenset[str] = frozenset(),
) -> Headers:
    """Return all but hop-by-hop, `excluded` and unsendable headers.

    `excluded` is in lower case. Append the names of the unsendable ones to
    `unsendable`.
    """
    options = frozenset(_connection_options(headers)) - ALWAYS_END_TO_END
    dropped = HOP_BY_HOP | excluded | options
    kept = []
    for name, value in headers.items():
        if name.lower() in dropped:
            continue
        if is_sendable(value):
            kept.append((name, value))
        else:
            unsendable.append(name)
    return tuple(kept)


def first_value(headers: Mapping[str, str], names: tuple[str, ...]) -> str | None:
    """Return the value of the first of several names that a header has, or None."""
    return next((headers[name] for name in names if name in headers), None)


def values_of(headers: Mapping[str, str], name: str) -> list[str]:
    """Return all values of a header, in order."""
    if isinstance(headers, MultiMapping):
        return headers.getall(name, [])
    return [headers[name]] if name in headers else []


def _connection_options(headers: Mapping[str, str]) -> Iterator[str]:
    for value in values_of(headers, "Connection"):
        for name in value.split(","):
            yield name.strip().lower()
