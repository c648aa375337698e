"""Check that all hosts activate the newest catalog, whichever host reads it."""

import pytest

from burdockmill.fleet_core import make_fleet_engine
from burdockmill.messages.catalog import CatalogDelta, Departed
from burdockmill.messages.events import CatalogRead
from burdockmill.systems._ring import Ring
from tests.builders_fleet import DOMAINS, Fleet
from tests.builders_forwarding import make_delta, make_registration, make_tables

LIMIT_MS = 3_000


@pytest.fixture
def fleet_of(monkeypatch):
    monkeypatch.setattr(
        "burdockmill.standins.virtual_fleet.make_engine",
        lambda host, domain, rng: make_fleet_engine(host, domain, rng, Ring()),
    )
    return Fleet


def first_reader(fleet, domain):
    return fleet.readers(domain)[0]


def read(fleet, host, delta):
    fleet.virtual.post(host, CatalogRead(delta))


def start_with_revision_5(fleet):
    """Run a fleet until its members have met and revision 5 is active everywhere."""
    full_catalog = make_delta(
        5,
        make_registration("u-1"),
        tables=make_tables(5),
        tables_revision=5,
        is_whole=True,
    )
    fleet.run(4_000)
    for domain in DOMAINS:
        read(fleet, first_reader(fleet, domain), full_catalog)
    fleet.run(LIMIT_MS)
    assert set(revisions(fleet)) == {5}


def revisions(fleet):
    return [fleet.world(host).catalog.revision for host in fleet.live]


def delta_to(revision):
    return make_delta(
        revision,
        make_registration("u-1", draining=True),
        base=revision - 1,
        tables=make_tables(revision),
        tables_revision=revision,
    )


@pytest.mark.parametrize("loss", [0.0, 0.05])
@pytest.mark.parametrize("per_domain", [3, 14])
def test_a_change_read_in_each_domain_is_active_everywhere(fleet_of, loss, per_domain):
    fleet = fleet_of(per_domain=per_domain, loss=loss)
    start_with_revision_5(fleet)
    for domain in DOMAINS:
        read(fleet, first_reader(fleet, domain), delta_to(6))
    fleet.run(LIMIT_MS)
    assert set(revisions(fleet)) == {6}
    worlds = [fleet.world(host) for host in fleet.live]
    assert all(one.catalog.tables.version == 6 for one in worlds)


@pytest.mark.parametrize("per_domain", [3, 14])
def test_a_change_read_in_one_domain_reaches_the_others(fleet_of, per_domain):
    fleet = fleet_of(per_domain=per_domain)
    start_with_revision_5(fleet)
    read(fleet, first_reader(fleet, "krk-a"), delta_to(6))
    fleet.run(LIMIT_MS)
    assert set(revisions(fleet)) == {6}


def test_a_change_not_read_by_the_first_reader_reaches_all(fleet_of):
    fleet = fleet_of()
    start_with_revision_5(fleet)
    other = next(
        host
        for host in fleet.live
        if fleet.domain_by_host[host] == "gda-a"
        and host != first_reader(fleet, "gda-a")
    )
    read(fleet, other, delta_to(6))
    fleet.run(LIMIT_MS)
    assert set(revisions(fleet)) == {6}


def test_a_domain_catches_up_with_the_newest_revision_after_a_partition(fleet_of):
    fleet = fleet_of()
    start_with_revision_5(fleet)
    partitioned = [host for host in fleet.live if fleet.domain_by_host[host] == "gda-a"]
    for host in partitioned:
        fleet.links.group_by_host[host] = 1
    for revision in range(6, 12):
        read(fleet, first_reader(fleet, "waw-a"), delta_to(revision))
        fleet.run(1_000)
    assert {fleet.world(host).catalog.revision for host in partitioned} == {5}
    fleet.links.group_by_host.clear()
    fleet.run(8_000)
    assert set(revisions(fleet)) == {11}


def test_a_departure_reaches_all_with_its_remaining_grace_time(fleet_of):
    fleet = fleet_of()
    start_with_revision_5(fleet)
    departure = CatalogDelta(5, 6, departed=(Departed(6, "u-1", 2_300.0),))
    read(fleet, first_reader(fleet, "waw-a"), departure)
    fleet.run(1_500)
    worlds = [fleet.world(host) for host in fleet.live]
    assert all("u-1" in one.catalog.registration_by_upstream for one in worlds)
    fleet.run(3_500)
    assert not any("u-1" in one.catalog.registration_by_upstream for one in worlds)


def test_a_restarted_host_gets_the_catalog_from_its_peers(fleet_of):
    fleet = fleet_of()
    start_with_revision_5(fleet)
    fleet.virtual.remove_host("krk-a-1")
    fleet.run(500)
    fleet.start("krk-a-1", incarnation=99)
    fleet.run(1_500)
    assert fleet.world("krk-a-1").catalog.revision == 5
    assert fleet.world("krk-a-1").catalog.tables.version == 5


def era_copy(era, revision, version, *names):
    registrations = [make_registration(name) for name in names]
    tables = {"tables": make_tables(version), "tables_revision": revision}
    whole = make_delta(revision, *registrations, is_whole=True, era=era, **tables)
    return whole._replace(grace_ms=2_300.0)


def positions(fleet):
    return {fleet.world(host).catalog.position for host in fleet.live}


@pytest.mark.parametrize("loss", [0.0, 0.05, 0.2])
@pytest.mark.parametrize("per_domain", [3, 14])
def test_an_era_read_in_one_domain_is_active_everywhere(fleet_of, loss, per_domain):
    fleet = fleet_of(per_domain=per_domain)
    start_with_revision_5(fleet)
    fleet.links.loss = loss
    read(fleet, first_reader(fleet, "krk-a"), era_copy(2, 3, 4, "u-1", "u-2"))
    fleet.run(2 * LIMIT_MS)
    assert positions(fleet) == {(2, 3)}
    worlds = [fleet.world(host) for host in fleet.live]
    assert all(one.catalog.tables.version == 5 for one in worlds)
    assert all("u-2" in one.catalog.registration_by_upstream for one in worlds)


def test_a_domain_that_missed_two_eras_ends_with_the_last(fleet_of):
    fleet = fleet_of()
    start_with_revision_5(fleet)
    partitioned = [host for host in fleet.live if fleet.domain_by_host[host] == "gda-a"]
    for host in partitioned:
        fleet.links.group_by_host[host] = 1
    read(fleet, partitioned[0], delta_to(6)._replace(base=5))
    read(fleet, first_reader(fleet, "waw-a"), era_copy(2, 3, 4, "u-1"))
    fleet.run(300)
    read(fleet, first_reader(fleet, "waw-a"), era_copy(3, 2, 4, "u-1"))
    fleet.run(2_000)
    fleet.links.group_by_host.clear()
    fleet.run(8_000)
    assert positions(fleet) == {(3, 2)}
    versions = {host: fleet.world(host).catalog.tables.version for host in fleet.live}
    assert all(versions[host] == 6 for host in partitioned)
    assert min(versions.values()) >= 5


def test_a_host_that_was_frozen_in_the_old_era_receives_the_new_one(fleet_of):
    fleet = fleet_of()
    start_with_revision_5(fleet)
    frozen = next(host for host in fleet.live if fleet.domain_by_host[host] == "krk-a")
    fleet.links.group_by_host[frozen] = 1
    read(fleet, first_reader(fleet, "waw-a"), era_copy(2, 3, 4, "u-1"))
    fleet.run(3_000)
    read(fleet, frozen, delta_to(6))
    fleet.links.group_by_host.clear()
    fleet.run(8_000)
    assert positions(fleet) == {(2, 3)}
