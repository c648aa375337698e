"""Decide whether failures to reach upstreams are due to this host's own links.

Load pattern: a host loses its links to all upstreams while clients still reach it; or a
failure domain loses power, or all upstreams of some shards crash, and every host sees
the same upstreams fail. The first shows as failures in several failure domains and of
several services with no sign of life from any upstream for a while.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from burdockmill.forwarding.messages import Registration
    from burdockmill.names import DomainId
    from burdockmill.tables.upstream_reach import FailedReach

MIN_FAILED_UPSTREAMS = 3
MIN_FAILED_DOMAINS = 3
MIN_FAILED_SERVICES = 2
# Attempts at other upstreams, or tests of the links to them, bring a reply within this
# time if the host is connected.
MIN_UNHEARD_MS = 100.0


def is_isolated(
    own_domain: DomainId,
    failed: Collection[FailedReach],
    usable: Collection[Registration],
    now_ms: float,
) -> bool:
    """Return whether this host reaches no upstream at all.

    `failed` are the failures since any upstream was heard, `usable` all upstreams.
    """
    if not usable or len(failed) < min(MIN_FAILED_UPSTREAMS, len(usable)):
        return False
    if now_ms - min(one.since_ms for one in failed) < MIN_UNHEARD_MS:
        return False
    domains = {one.domain for one in usable}
    failed_domains = domains.intersection(one.domain for one in failed)
    if own_domain in domains and own_domain not in failed_domains:
        return False
    services = {one.service for one in usable}
    failed_services = services.intersection(one.service for one in failed)
    return len(failed_domains) >= min(MIN_FAILED_DOMAINS, len(domains)) and len(
        failed_services
    ) >= min(MIN_FAILED_SERVICES, len(services))
