"""Define the names of the platform's headers, store keys and variables."""

from __future__ import annotations

REQUEST_ID = "X-Burdockmill-Request-Id"
# Milliseconds that a client still waits, or that an attempt has (a whole number).
DEADLINE_MS = "X-Burdockmill-Deadline-Ms"
AUTHORIZATION = "Authorization"
EXPECT_UPSTREAM = "X-Burdockmill-Expect-Instance"
NOT_RUN = "X-Burdockmill-Not-Executed"
# The upstream's signature of its answer.
STAMP = "X-Burdockmill-Server-Stamp"
PART_STAMPS = "X-Burdockmill-Part-Stamps"
PARTS_MISSING = "X-Burdockmill-Parts-Missing"

# The pages spell these without the prefix of the other headers; both are accepted.
STORE_ERA = ("Store-Era", "X-Burdockmill-Store-Era")
LEAVING = ("Server-Leaving", "X-Burdockmill-Server-Leaving")
# Requests a second that an upstream takes from all hosts together (a decimal number).
LIMIT = ("Server-Limit", "X-Burdockmill-Server-Limit")
# An upstream's requests running, requests waiting and slots, whole numbers separated by
# commas; a fourth one is how long work takes now, in hundredths of the usual time.
LOAD = "X-Burdockmill-Server-Load"
RETRY_AFTER = "Retry-After"

CONFIGURATION_KEY = "op/config"
REGISTRATIONS_PREFIX = "servers/"
# The key names a failure domain; its upstreams get nothing while it is there.
EVACUATIONS_PREFIX = "op/evacuate/"
# The operator's keys, of which the configuration and the evacuations are read.
OPERATOR_PREFIX = "op/"

SETTINGS_VARIABLE = "BURDOCKMILL_CONFIG"

# Hop-by-hop headers, and headers that burdockmill writes itself.
HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)
