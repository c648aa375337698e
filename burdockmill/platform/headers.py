"""Select the headers that are forwarded end to end."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from multidict import MultiMapping

from burdockmill.platform.wire_names import HOP_BY_HOP

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from burdockmill.forwarding.messages import Headers


CONTROL_CHARACTERS = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")


def end_to_end(
    headers: Mapping[str, str], excluded: frozenset[str] = frozenset()
) -> Headers:
    """Return all but hop-by-hop, `excluded` and unsendable headers.

    `excluded` is in lower case. A header with control characters cannot be sent on.
    """
    connection_options = frozenset(_connection_options(headers))
    dropped = HOP_BY_HOP | excluded | connection_options
    return tuple(
        (name, value)
        for name, value in headers.items()
        if name.lower() not in dropped and not CONTROL_CHARACTERS.search(value)
    )


def first_value(headers: Mapping[str, str], names: tuple[str, ...]) -> str | None:
    """Return the value of the first of several names that a header has, or None."""
    return next((headers[name] for name in names if name in headers), None)


def values_of(headers: Mapping[str, str], name: str) -> list[str]:
    """Return all values of a header, in order."""
    if isinstance(headers, MultiMapping):
        return headers.getall(name, [])
    return [headers[name]] if name in headers else []


def _connection_options(headers: Mapping[str, str]) -> Iterator[str]:
    for name in headers.get("Connection", "").split(","):
        yield name.strip().lower()
