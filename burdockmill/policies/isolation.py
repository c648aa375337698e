"""Decide whether failures to reach upstreams are due to this host's own links.

Load pattern: a host loses its links to all upstreams while clients still reach it; or a
failure domain loses power, or all upstreams of a service crash, and every host sees the
same upstreams fail. The first shows as failures in several failure domains with no sign
of life from any upstream in between.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from burdockmill.names import DomainId

MIN_FAILED_UPSTREAMS = 3
MIN_FAILED_DOMAINS = 3


def is_isolated(
    own_domain: DomainId, failed: Sequence[DomainId], usable: Sequence[DomainId]
) -> bool:
    """Return whether this host reaches no upstream at all.

    `failed` are the failure domains of the upstreams that failed since any upstream was
    heard, `usable` those of all upstreams, each one entry an upstream.
    """
    domains = set(usable)
    failed_domains = domains.intersection(failed)
    if not usable or len(failed) < min(MIN_FAILED_UPSTREAMS, len(usable)):
        return False
    if own_domain in domains and own_domain not in failed_domains:
        return False
    return len(failed_domains) >= min(MIN_FAILED_DOMAINS, len(domains))
