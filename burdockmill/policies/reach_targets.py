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


def evidence_targets(
    usable: Collection[Registration],
    services: Collection[ServiceId],
    own_domain: DomainId,
    rng: random.Random,
) -> list[Registration]:
    """Return upstreams that show what this host reaches: of some services, or any."""
    if not services:
        return _one_of_each_domain(usable, own_domain, rng)
    targets = []
    for service in list(services)[:TARGETS_LIMIT]:
        replicas = [one for one in usable if one.service == service]
        targets += [rng.choice(replicas)] if replicas else []
    return targets


def _missing_evidence(
    reach: UpstreamReach,
    usable: Collection[Registration],
    own_domain: DomainId,
    rng: random.Random,
) -> list[Registration]:
    """Return an upstream of each failure domain in which none has failed, if any."""
    failed_domains = {failed.domain for failed in reach.unheard}
    untested = [one for one in usable if not reach.is_unheard(one.upstream)]
    elsewhere = [one for one in untested if one.domain not in failed_domains]
    return _one_of_each_domain(elsewhere or untested, own_domain, rng)


def _one_of_each_domain(
    upstreams: Collection[Registration], own_domain: DomainId, rng: random.Random
) -> list[Registration]:
    """Return a few upstreams, each of another failure domain, own first."""
    by_domain = _by_domain(upstreams)
    domains = sorted(by_domain)
    rng.shuffle(domains)
    domains.sort(key=lambda domain: domain != own_domain)
    return [rng.choice(by_domain[domain]) for domain in domains[:TARGETS_LIMIT]]


def _by_domain(
    upstreams: Collection[Registration],
) -> dict[DomainId, list[Registration]]:
    by_domain: dict[DomainId, list[Registration]] = {}
    for one in upstreams:
        by_domain.setdefault(one.domain, []).append(one)
    return by_domain
