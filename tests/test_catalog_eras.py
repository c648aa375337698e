"""Check that catalogs converge when the store restarts from an older copy.

The store then lacks its latest changes and assigns their revisions again. Hosts receive
the new era late, in any order and through any peer.
"""

import random

import pytest
from hypothesis import given, settings, strategies as st

from burdockmill.messages.catalog import CatalogDelta, Departed
from burdockmill.policies.departure_grace import REGISTRATION_RENEWAL_MS
from burdockmill.tables.catalog import Catalog
from tests.builders_forwarding import (
    make_delta,
    make_registration,
    make_tables,
    request_from,
)
from tests.oracle_store import OracleStore

LATER_MS = REGISTRATION_RENEWAL_MS + 1.0


def copy_of(revision, *names, era=1, version=1, **changes):
    registrations = [make_registration(name) for name in names]
    tables = {"tables": make_tables(version), "tables_revision": 1}
    whole = make_delta(revision, *registrations, is_whole=True, era=era, **tables)
    grace_ms = REGISTRATION_RENEWAL_MS if era > 1 else 0.0
    return whole._replace(grace_ms=grace_ms)._replace(**changes)


def catalog_of(*deltas):
    catalog = Catalog()
    for delta in deltas:
        catalog.apply(delta, 0.0)
    return catalog


def names_of(catalog, now_ms=0.0):
    catalog.remove_departed(now_ms)
    return set(catalog.registration_by_upstream)


def test_a_copy_with_a_lower_revision_of_a_newer_era_is_applied():
    catalog = catalog_of(copy_of(90, "u-1"), copy_of(40, "u-1", "u-2", era=2))
    assert catalog.position == (2, 40)
    assert names_of(catalog) == {"u-1", "u-2"}


def test_the_configuration_does_not_go_back_to_the_version_of_the_copy():
    catalog = catalog_of(copy_of(90, version=15), copy_of(40, version=13, era=2))
    assert catalog.tables.version == 15
    assert catalog.position == (2, 40)


def test_a_kept_version_reaches_hosts_that_started_with_the_copy():
    ahead = catalog_of(copy_of(90, version=15), copy_of(40, version=13, era=2))
    started = catalog_of(copy_of(40, version=13, era=2))
    started.apply(ahead.since(request_from(started), 0.0), 0.0)
    assert started.tables.version == 15


def test_a_registration_missing_from_the_copy_stays_until_it_can_be_renewed():
    catalog = catalog_of(copy_of(90, "u-1", "u-2"), copy_of(40, "u-1", era=2))
    assert names_of(catalog, LATER_MS - 2.0) == {"u-1", "u-2"}
    assert names_of(catalog, LATER_MS) == {"u-1"}


def test_a_renewed_registration_stays():
    catalog = catalog_of(copy_of(90, "u-1", "u-2"), copy_of(40, "u-1", era=2))
    catalog.apply(make_delta(41, make_registration("u-2"), base=40, era=2), 500.0)
    assert names_of(catalog, LATER_MS) == {"u-1", "u-2"}


@pytest.mark.parametrize(
    "late",
    [
        make_delta(91, make_registration("u-9"), base=90, era=1),
        CatalogDelta(90, 91, departed=(Departed(91, "u-1"),), era=1),
        copy_of(95, "u-9", era=1, version=99),
    ],
)
def test_a_late_delta_of_an_older_era_is_ignored(late):
    catalog = catalog_of(copy_of(90, "u-1"), copy_of(40, "u-1", era=2))
    assert not catalog.apply(late, 0.0)
    assert catalog.position == (2, 40)
    assert names_of(catalog) == {"u-1"}
    assert catalog.tables.version == 1


def test_a_change_of_a_newer_era_is_not_applied_over_an_older_one():
    catalog = catalog_of(copy_of(90, "u-1"))
    change = make_delta(41, make_registration("u-2"), base=40, era=2)
    assert not catalog.apply(change, 0.0)
    assert catalog.position == (1, 90)
    assert names_of(catalog) == {"u-1"}


def test_a_host_of_another_era_gets_a_whole_copy_with_the_remaining_grace_time():
    ahead = catalog_of(copy_of(90, "u-1", "u-2"), copy_of(40, "u-1", era=2))
    behind = catalog_of(copy_of(90, "u-1", "u-2", "u-3"))
    offer = ahead.since(request_from(behind), 1_000.0)
    assert offer.is_whole
    assert offer.grace_ms == REGISTRATION_RENEWAL_MS - 1_000.0
    behind.apply(offer, 1_000.0)
    assert names_of(behind, LATER_MS - 2.0) == {"u-1", "u-2", "u-3"}
    assert names_of(behind, LATER_MS) == {"u-1"}


def test_two_eras_in_quick_succession_end_with_the_last():
    catalog = catalog_of(copy_of(90, "u-1", "u-2", "u-3"))
    catalog.apply(copy_of(40, "u-1", "u-2", era=2), 0.0)
    catalog.apply(copy_of(30, "u-1", era=3), 100.0)
    catalog.apply(make_delta(41, make_registration("u-9"), base=40, era=2), 150.0)
    assert names_of(catalog, 101.0) == {"u-1", "u-2", "u-3"}
    assert names_of(catalog, LATER_MS + 100.0) == {"u-1"}
    assert catalog.position == (3, 30)


def test_an_upstream_that_drained_before_the_restart_gets_no_new_work():
    draining = make_delta(91, make_registration("u-1", draining=True), base=90, era=1)
    catalog = catalog_of(copy_of(90, "u-1", "u-2"), draining)
    catalog.apply(copy_of(40, "u-1", "u-2", era=2), 0.0)
    assert catalog.registration_by_upstream["u-1"].draining
    assert not catalog.registration_by_upstream["u-2"].draining


def test_another_incarnation_in_the_copy_does_not_drain():
    draining = make_registration("u-1", draining=True, started_ms=1)
    catalog = catalog_of(copy_of(90), make_delta(91, draining, base=90, era=1))
    ready = make_registration("u-1", started_ms=2)
    catalog.apply(copy_of(40, era=2)._replace(registered=()), 0.0)
    catalog.apply(make_delta(41, ready, base=40, era=2), 0.0)
    assert not catalog.registration_by_upstream["u-1"].draining


@settings(max_examples=200, deadline=None)
@given(seed=st.integers(0, 1_000_000))
def test_hosts_converge_whatever_they_miss_of_the_eras(seed):
    """Hosts read the store or peers now and then, and receive deltas late or never."""
    rng = random.Random(seed)
    store = OracleStore(rng)
    hosts = [Catalog() for _ in range(3)]
    version_by_host = [0, 0, 0]
    in_flight = []
    now_ms = 0.0
    for _ in range(40):
        now_ms += rng.uniform(0.0, 400.0)
        store.step()
        index = rng.randrange(len(hosts))
        host = hosts[index]
        match rng.choice(("read", "peer", "deliver", "deliver", "freeze")):
            case "read":
                delta = store.read(host)
                in_flight.append(host.with_tables_delta(delta))
                host.apply(delta, now_ms)
            case "peer":
                in_flight.append(rng.choice(hosts).since(request_from(host), now_ms))
            case "deliver" if in_flight:
                host.apply(rng.choice(in_flight), now_ms)
        for number, one in enumerate(hosts):
            assert one.version >= version_by_host[number]
            version_by_host[number] = one.version
            assert one.position <= store.position
            assert store.version_at(one.position) <= one.version
            for upstream, revision in one._revision_by_upstream.items():
                written = store.written_by_position[one.era, revision]
                row = one.registration_by_upstream[upstream]
                assert row in (written, written._replace(draining=True))
    store.write_again()
    for host in hosts:
        host.apply(store.read(host), now_ms)
    now_ms += LATER_MS
    expected = store.state()
    for host in hosts:
        host.remove_departed(now_ms)
        assert host.position == store.position
        assert (host.version, dict(host.registration_by_upstream)) == expected
