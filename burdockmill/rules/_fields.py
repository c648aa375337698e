"""Parse the typed values of key=value pairs."""

from __future__ import annotations

import re
import sys
from collections.abc import Callable
from typing import Any, NamedTuple

from returns.result import Failure, Result, Success

from burdockmill.rules.addresses import is_address
from burdockmill.rules.grammar import NAME_PATTERN
from burdockmill.rules.model import Completion, RequestKind
from burdockmill.slots import SLOT_COUNT, SlotRange

WHOLE_NUMBER_PATTERN = re.compile(r"[0-9]{1,15}")
DURATION_PATTERN = re.compile(r"([0-9]{1,9})(ms|s)")
PERCENT_PATTERN = re.compile(r"([0-9]{1,3}(?:\.[0-9]{1,2})?)%")
RATE_PATTERN = re.compile(r"([0-9]{1,9}(?:\.[0-9]{1,3})?)/s")
SLOTS_PATTERN = re.compile(r"([0-9]{1,5})-([0-9]{1,5})")
DIGEST_PATTERN = re.compile(r"sha256:([0-9A-Fa-f]{64})")
MS_PER_UNIT = {"ms": 1, "s": 1000}
MAX_DURATION_MS = 60_000

Parse = Callable[[str], Result[Any, str]]
"""Parse a value, or return the remedy as a failure."""


class Field(NamedTuple):
    """Describe a key: the model attribute that it sets and how its value is parsed.

    A problem with a `secret` key does not show the value.
    """

    key: str
    attribute: str
    parse: Parse
    required: bool = True
    secret: bool = False


def whole_number(lowest: int, highest: int) -> Parse:
    """Parse a whole number within bounds."""

    def parse(text: str) -> Result[int, str]:
        if WHOLE_NUMBER_PATTERN.fullmatch(text) and lowest <= int(text) <= highest:
            return Success(int(text))
        return Failure(f"write a whole number from {lowest} to {highest}")

    return parse


def duration_ms(text: str) -> Result[int, str]:
    """Parse a duration such as 800ms or 2s as milliseconds."""
    match = DURATION_PATTERN.fullmatch(text)
    if match is not None:
        value_ms = int(match[1]) * MS_PER_UNIT[match[2]]
        if 1 <= value_ms <= MAX_DURATION_MS:
            return Success(value_ms)
    return Failure(f"write a duration from 1ms to {MAX_DURATION_MS}ms, such as 800ms")


def percent(highest: int) -> Parse:
    """Parse a percentage up to a bound as a fraction."""

    def parse(text: str) -> Result[float, str]:
        match = PERCENT_PATTERN.fullmatch(text)
        if match is not None and float(match[1]) <= highest:
            return Success(float(match[1]) / 100)
        return Failure(f"write a percentage from 0% to {highest}%")

    return parse


def rate_per_second(text: str) -> Result[float, str]:
    """Parse a rate such as 50/s as requests per second."""
    match = RATE_PATTERN.fullmatch(text)
    if match is not None and float(match[1]) > 0:
        return Success(float(match[1]))
    return Failure("write requests a second above 0, such as 50/s")


def name(text: str) -> Result[str, str]:
    """Parse a name and intern it."""
    if NAME_PATTERN.fullmatch(text):
        return Success(sys.intern(text))
    return Failure("write a name of 1 to 64 letters, digits, '.', '_' or '-'")


def names(text: str) -> Result[tuple[str, ...], str]:
    """Parse a comma-separated list of names without duplicates."""
    found = tuple(text.split(","))
    valid = all(NAME_PATTERN.fullmatch(one) for one in found)
    if valid and len(set(found)) == len(found):
        return Success(found)
    return Failure("write each name once, joined by commas without spaces")


def address(text: str) -> Result[str, str]:
    """Parse an address IP:PORT."""
    if is_address(text):
        return Success(text)
    return Failure("write IP:PORT, such as 10.1.0.4:8080 or [fd00::4]:8080")


def slot_range(text: str) -> Result[SlotRange, str]:
    """Parse a range of slots FIRST-LAST, both included."""
    match = SLOTS_PATTERN.fullmatch(text)
    if match is not None:
        slots = SlotRange(int(match[1]), int(match[2]))
        if slots.first <= slots.last < SLOT_COUNT:
            return Success(slots)
    return Failure(f"write FIRST-LAST with 0 <= FIRST <= LAST <= {SLOT_COUNT - 1}")


def digest(text: str) -> Result[str, str]:
    """Parse sha256:HEX as 64 lower-case hexadecimal digits."""
    match = DIGEST_PATTERN.fullmatch(text)
    if match is not None:
        return Success(match[1].lower())
    return Failure("write sha256: and 64 hexadecimal digits; never the key itself")


def completion(text: str) -> Result[Completion, str]:
    """Parse `coverage` or `latency`, which decides when searches are answered."""
    if text in set(Completion):
        return Success(Completion(text))
    return Failure(f"use one of: {', '.join(Completion)}")


def kinds(text: str) -> Result[frozenset[RequestKind], str]:
    """Parse a comma-separated list of request kinds without duplicates."""
    found = text.split(",")
    if set(found) <= set(RequestKind) and len(set(found)) == len(found):
        return Success(frozenset(RequestKind(one) for one in found))
    return Failure(f"write each kind once, joined by commas: {', '.join(RequestKind)}")
