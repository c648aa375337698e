"""Decide from the crashes under a request whether the request causes them.

Load pattern: a request ends each upstream that runs it, and comes again at any host.
All requests in flight at an upstream that ends look alike: when a failure domain loses
power, a search sees ten upstreams end at once, and a popular one was in flight at each.
Crashes with one cause end attempts that were sent in ignorance of each other. When an
attempt is sent because of a crash, and its upstream ends too, and so on without any
answer, the request itself is the cause.

The request also comes at many hosts at once, each time after its upstreams are back.
Each host is then ignorant of the others, so that crashes add up while none follows from
another. From the third crash on, attempts are counted: hosts take turns, one attempt in
the whole fleet at a time, and the next crash under it holds the request back.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from burdockmill.names import HostId

# A request is held back after this many crashes, each known when the next attempt was
# sent, without an answer.
HELD_DEPTH = 3
# It is held back as well once an attempt ended that was sent because of an earlier
# crash, if there were so many crashes in all.
HELD_CRASHES = 3
FOLLOWED_DEPTH = 2
# Hosts that lost all that was known of crashes hold a request back at the first attempt
# that followed from a crash, as earlier crashes may be forgotten.
SHORT_MEMORY_CRASHES = 2
# Delays after the last crash at which one attempt may try whether a request that is
# held back still crashes upstreams: soon, in case that it is innocent, and once later,
# in case that the upstreams were repaired.
TRIAL_DELAYS_MS = (2_000.0, 600_000.0)
# The first of them is left out where earlier crashes may be forgotten.
SHORT_MEMORY_TRIALS = 1
# After the third crash, this many attempts are made in all.
ATTEMPTS_LIMIT = 2
# Once this many crashes are known under a request without an answer, all hosts together
# send one attempt at a time.
LONE_CANARY_CRASHES = 2
# Other attempts wait this long for the end of that attempt: until the silence of an
# upstream is noticed and told, or most answers have arrived.
CANARY_LIMIT_MS = 800.0
# A trial without an outcome for this long no longer prevents another one.
TRIAL_LIMIT_MS = 5_000.0
# A request that is held back is forgotten this long after its last crash.
HELD_MS = 6 * 3_600_000.0
# Fewer crashes are forgotten after this time, and that a request was cleared after the
# longest time that news of its crashes may take.
SUSPECTED_MS = 600_000.0
CLEARED_MS = 60_000.0
# So long after all hosts were lost at once, earlier crashes may be forgotten.
SHORT_MEMORY_MS = SUSPECTED_MS


class Crash(NamedTuple):
    """Describe the end of an upstream under an attempt that `host` sent.

    `depth` counts the crashes of which each was known when the next attempt was sent,
    up to this one. `ended_ms` is on the clock of the host that stores it.
    """

    host: HostId
    depth: int
    ended_ms: float


def greatest_depth(crashes: Iterable[Crash]) -> int:
    """Return the depth of a request's crashes, 0 without any."""
    return max((crash.depth for crash in crashes), default=0)


def is_to_blame(depth: int, crashes: int, is_memory_short: bool) -> bool:
    """Return whether a request with these crashes and no answer is held back."""
    if depth >= HELD_DEPTH:
        return True
    enough = SHORT_MEMORY_CRASHES if is_memory_short else HELD_CRASHES
    return depth >= FOLLOWED_DEPTH and crashes >= enough


def needs_turn(crashes: int, is_memory_short: bool) -> bool:
    """Return whether hosts take turns at a request, one attempt at a time in all."""
    return crashes >= (1 if is_memory_short else HELD_CRASHES)


def next_trial_ms(
    trials: int, canaries: int, has_shared_blame: bool, changed_ms: float
) -> float:
    """Return when the next trial is due, infinite after the last one.

    `canaries` is how many attempts were made after the third crash before the request
    was held back. One that shares the blame for each crash with another request that is
    held back is more likely innocent, and tried soon.
    """
    if trials >= len(TRIAL_DELAYS_MS) or trials + canaries >= ATTEMPTS_LIMIT:
        return math.inf
    return changed_ms + TRIAL_DELAYS_MS[0 if has_shared_blame else trials]
