"""Choose the upstreams to which a host tests its links.

Load pattern: a host with little traffic loses its links to all upstreams, and has sent
too few attempts to tell that from upstreams that are slow; the cut ends, and the host
must notice it without requests of clients. A few connections show both.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Collection

    from burdockmill.forwarding.messages import Registration
    from burdockmill.names import DomainId, ServiceId
    from burdockmill.tables.upstream_reach import UpstreamReach

# Failures of so many upstreams, with none heard since, are worth a test.
MIN_UNHEARD = 2
TARGETS_LIMIT = 3


def reach_targets(
    reach: UpstreamReach,
    usable: Collection[Registration],
    failing_services: Collection[ServiceId],
    own_domain: DomainId,
    rng: random.Random,
) -> list[Registration]:
    """Return the upstreams to connect to now; empty if nothing needs a test."""
    if reach.is_isolated:
        by_domain = _by_domain(usable)
        return [rng.choice(by_domain[rng.choice(sorted(by_domain))])] if usable else []
    if len(reach.unheard) >= MIN_UNHEARD:
        return _missing_evidence(reach, usable, own_domain, rng)
    failing = [one for one in usable if one.service in failing_services]
    return [rng.choice(failing)] if failing else []


def _missing_evidence(
    reach: UpstreamReach,
    usable: Collection[Registration],
    own_domain: DomainId,
    rng: random.Random,
) -> list[Registration]:
    """Return an upstream of each failure domain in which none has failed, own first."""
    failed_domains = {failed.domain for failed in reach.unheard}
    by_domain = _by_domain(
        [one for one in usable if not reach.is_unheard(one.upstream)]
    )
    domains = sorted(by_domain.keys() - failed_domains)
    rng.shuffle(domains)
    domains.sort(key=lambda domain: domain != own_domain)
    if not domains:
        domains = sorted(by_domain)
    return [rng.choice(by_domain[domain]) for domain in domains[:TARGETS_LIMIT]]


def _by_domain(
    upstreams: Collection[Registration],
) -> dict[DomainId, list[Registration]]:
    by_domain: dict[DomainId, list[Registration]] = {}
    for one in upstreams:
        by_domain.setdefault(one.domain, []).append(one)
    return by_domain
