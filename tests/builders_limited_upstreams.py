"""Build upstreams that name limits, and count what arrives at them."""

import math
from bisect import bisect_left
from collections import defaultdict

from tests.builders_forwarding import REGIONS, answered, record

NEAR_PATH_MS = 0.5
FAR_PATH_MS = 12.0
# The users' pages allow this multiple of a limit in a window, and some requests more.
WINDOW_MS = 4_000.0
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5


class LimitedUpstream:
    """Answer each request after a time, and name a limit; record all arrivals."""

    def __init__(self, registration, work_ms=11.0):
        self.registration = registration
        self.work_ms = work_ms
        self.limits = [(0.0, math.inf)]
        self.arrivals_ms = []
        self.arrivals_by_host = defaultdict(int)

    def name_limit(self, at_ms, limit_per_s):
        """Name a limit from a time on; infinity ends it."""
        self.limits.append((at_ms, limit_per_s))

    def limit_at(self, now_ms):
        return [limit for at_ms, limit in self.limits if at_ms <= now_ms][-1]

    def serve(self, host, domain, now_ms):
        is_near = REGIONS[domain] == REGIONS[self.registration.domain]
        path_ms = NEAR_PATH_MS if is_near else FAR_PATH_MS
        self.arrivals_ms.append(now_ms + path_ms)
        self.arrivals_by_host[host] += 1
        answered_ms = now_ms + path_ms + self.work_ms
        outcome = answered(record(1), stamp=self.registration.upstream)
        limit_per_s = self.limit_at(answered_ms)
        return answered_ms + path_ms, outcome._replace(
            limit_per_s=limit_per_s, sent_ms=now_ms
        )

    def arrivals(self, from_ms, to_ms):
        times_ms = sorted(self.arrivals_ms)
        return bisect_left(times_ms, to_ms) - bisect_left(times_ms, from_ms)

    def rate_per_s(self, from_ms, to_ms):
        return self.arrivals(from_ms, to_ms) / (to_ms - from_ms) * 1_000.0

    def most_in_window(self, from_ms, to_ms=math.inf):
        """Return the most arrivals in any window that lies between two times."""
        times_ms = [one for one in sorted(self.arrivals_ms) if from_ms <= one < to_ms]
        first = most = 0
        for last, at_ms in enumerate(times_ms):
            while times_ms[first] <= at_ms - WINDOW_MS:
                first += 1
            most = max(most, last - first + 1)
        return most


def allowed_in_window(limit_per_s):
    """Return how many requests a limit allows in any window."""
    return ALLOWED_FACTOR * limit_per_s * WINDOW_MS / 1_000.0 + ALLOWED_EXTRA
