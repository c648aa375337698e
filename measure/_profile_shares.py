"""Split the time of a profile into JSON, HTTP, core, logs and the rest.

The core is the deterministic part of burdockmill, which does no I/O.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    import pstats

BUILT_IN = "~"
# The first match decides; a path or function name that matches none is "rest".
PART_BY_PATTERN = (
    ("msgspec", "json"),
    ("_upstream_codec", "json"),
    ("loguru", "logs"),
    ("decision_log", "logs"),
    ("burdockmill/systems", "core"),
    ("burdockmill/policies", "core"),
    ("burdockmill/tables", "core"),
    ("burdockmill/engine", "core"),
    ("burdockmill/world", "core"),
    ("burdockmill/slots", "core"),
    ("aiohttp", "http"),
    ("yarl", "http"),
    ("multidict", "http"),
    ("asyncio", "http"),
    ("uvloop", "http"),
    ("burdockmill/covered_slots", "core"),
    ("burdockmill/placement", "core"),
    ("burdockmill/clients", "http"),
    ("burdockmill/surfaces", "http"),
)


def shares_of(stats: pstats.Stats) -> dict[str, float]:
    """Return the share of own time (without calls) of "json", "http", "core" and so on.

    Built-in functions that match no pattern count for their callers.
    """
    spent: Counter[str] = Counter()
    entries: dict[tuple[str, int, str], tuple[Any, ...]] = stats.stats  # type: ignore[attr-defined]
    for (path, _, function), (_, _, own, _, callers) in entries.items():
        if path != BUILT_IN:
            spent[_part_of(path, function)] += own
            continue
        named = _part_of(path, function)
        for (caller_path, _, caller), (_, _, share, _) in callers.items():
            is_named = named != "rest"
            part = named if is_named else _part_of(caller_path, caller)
            spent[part] += share
    total = sum(spent.values()) or 1.0
    return {part: spent[part] / total for part in sorted(spent)}


def _part_of(path: str, function: str) -> str:
    text = f"{path} {function}".replace("\\", "/")
    for pattern, part in PART_BY_PATTERN:
        if pattern in text:
            return part
    return "rest"
