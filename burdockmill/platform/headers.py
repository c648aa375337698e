"""Select the headers that are forwarded end to end."""

from __future__ import annotations

from typing import TYPE_CHECKING

from multidict import MultiMapping

from burdockmill.platform.wire_names import HOP_BY_HOP

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from burdockmill.forwarding.messages import Headers


def end_to_end(
    headers: Mapping[str, str], excluded: frozenset[str] = frozenset()
) -> Headers:
    """Return all but hop-by-hop and `excluded` headers; `excluded` is in lower case."""
    connection_options = frozenset(_connection_options(headers))
    dropped = HOP_BY_HOP | excluded | connection_options
    return tuple(
        (name, value) for name, value in headers.items() if name.lower() not in dropped
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
