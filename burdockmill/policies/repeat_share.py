"""Divide the allowance of repeat attempts among hosts by the searches that they carry.

Load pattern: a few strong hosts gather the searches of all others, and hedge for them.
An even share of the allowance is too small for them and unused at the others.
"""

from __future__ import annotations

# What a host that hands its searches over keeps, for when no strong host takes them.
OTHERS_ALLOWANCE = 1.0


def allowance_share(
    allowance: float, hosts: int, gatherers: int, is_gatherer: bool
) -> float:
    """Return this host's share; those of all hosts make up the allowance at most.

    `gatherers` of the `hosts` gather the searches of the others, which may be none.
    """
    even = allowance / max(1, hosts)
    if not 0 < gatherers < hosts:
        return even
    others = min(even, OTHERS_ALLOWANCE)
    if not is_gatherer:
        return others
    return (allowance - others * (hosts - gatherers)) / gatherers
