"""Check that a catalog never goes back, in whatever order deltas arrive."""

import random

import msgspec
from hypothesis import given, settings, strategies as st

from burdockmill.messages.catalog import (
    CatalogDelta,
    CatalogRequest,
    Departed,
    Registered,
)
from burdockmill.messages.store_position import StorePosition
from burdockmill.tables.catalog import Catalog
from tests.builders_forwarding import (
    make_delta,
    make_registration,
    make_single_route,
    make_tables,
    request_from,
)


def with_tables(delta, version):
    return delta._replace(tables=make_tables(version), tables_revision=delta.revision)


def test_a_whole_copy_and_later_changes_are_applied():
    catalog = Catalog()
    first = with_tables(make_delta(5, make_registration("u-1"), is_whole=True), 7)
    change = catalog.apply(first, 0.0)
    assert change.tables
    assert catalog.revision == 5
    assert catalog.routes.find("leave.example", "/overlap/x").name == "search"
    moved = make_registration("u-1", draining=True)
    catalog.apply(make_delta(6, moved, base=5), 0.0)
    assert catalog.registration_by_upstream["u-1"].draining


def test_an_older_configuration_and_an_older_registration_are_ignored():
    catalog = Catalog()
    catalog.apply(with_tables(make_delta(9, make_registration("u-1")), 7), 0.0)
    stale = make_delta(4, make_registration("u-1", draining=True))
    change = catalog.apply(with_tables(stale, 6), 0.0)
    assert not change
    assert catalog.tables.version == 7
    assert catalog.revision == 9


def test_a_lower_version_at_a_higher_revision_is_ignored():
    catalog = Catalog()
    catalog.apply(with_tables(make_delta(9), 7), 0.0)
    catalog.apply(with_tables(make_delta(12, base=9), 6), 0.0)
    assert catalog.tables.version == 7


def test_a_delta_after_a_gap_is_applied_without_advancing_the_revision():
    catalog = Catalog()
    catalog.apply(make_delta(3, make_registration("u-1")), 0.0)
    catalog.apply(make_delta(9, make_registration("u-2"), base=7), 0.0)
    assert "u-2" in catalog.registration_by_upstream
    assert catalog.revision == 3


def test_a_changed_configuration_is_sent_as_a_difference():
    store, host = Catalog(), Catalog()
    routes = [make_single_route(f"r-{n}", prefix=f"/{n}/") for n in range(500)]
    first = make_delta(5, tables=make_tables(5, routes), tables_revision=5)
    for catalog in (store, host):
        catalog.apply(first, 0.0)
    moved = [*routes[1:], routes[3]._replace(name="new", prefix="/new/")]
    moved[7] = moved[7]._replace(timeout_ms=99.0)
    second = make_delta(6, base=5, tables=make_tables(6, moved), tables_revision=6)
    slim = store.with_tables_delta(second)
    assert len(msgspec.json.encode(slim)) < 0.1 * len(msgspec.json.encode(second))
    store.apply(second, 0.0)
    host.apply(slim, 0.0)
    assert host.revision == 6
    assert host.tables.version == 6
    assert sorted(host.tables.routes) == sorted(store.tables.routes)


def test_a_difference_from_tables_that_are_missing_leaves_a_gap():
    host, store = Catalog(), Catalog()
    host.apply(with_tables(make_delta(3), 3), 0.0)
    store.apply(with_tables(make_delta(5), 5), 0.0)
    newer = with_tables(make_delta(6, make_registration("u-1"), base=3), 6)
    host.apply(store.with_tables_delta(newer), 0.0)
    assert host.tables.version == 3
    assert host.revision == 3
    assert "u-1" in host.registration_by_upstream


def test_a_departed_registration_stays_until_its_grace_period_ends():
    catalog = Catalog()
    catalog.apply(make_delta(1, make_registration("u-1")), 0.0)
    departure = CatalogDelta(1, 2, departed=(Departed(2, "u-1", 2_300.0),))
    change = catalog.apply(departure, 100.0)
    assert change.departing == ("u-1",)
    assert catalog.remove_departed(2_399.0) == []
    assert "u-1" in catalog.registration_by_upstream
    assert catalog.remove_departed(2_400.0) == ["u-1"]
    assert not catalog.upstreams_by_service


def test_a_registration_that_returns_within_its_grace_period_stays():
    catalog = Catalog()
    catalog.apply(make_delta(1, make_registration("u-1")), 0.0)
    catalog.apply(CatalogDelta(1, 2, departed=(Departed(2, "u-1", 2_300.0),)), 0.0)
    catalog.apply(make_delta(3, make_registration("u-1"), base=2), 500.0)
    assert catalog.remove_departed(9_000.0) == []
    assert "u-1" in catalog.registration_by_upstream


def test_a_whole_copy_removes_registrations_that_it_omits_unless_newer():
    catalog = Catalog()
    catalog.apply(make_delta(4, make_registration("old")), 0.0)
    catalog.apply(make_delta(9, make_registration("new"), base=4), 0.0)
    catalog.apply(make_delta(6, make_registration("kept"), is_whole=True), 0.0)
    catalog.remove_departed(0.0)
    assert set(catalog.registration_by_upstream) == {"new", "kept"}


def test_a_host_that_is_far_behind_gets_a_whole_copy():
    catalog = Catalog()
    catalog.apply(make_delta(20, make_registration("u-1"), is_whole=True), 0.0)
    offer = catalog.since(CatalogRequest(StorePosition(0, 12)), 0.0)
    assert offer.is_whole
    behind = Catalog()
    behind.apply(make_delta(12, make_registration("u-0")), 0.0)
    behind.apply(offer, 0.0)
    behind.remove_departed(0.0)
    assert set(behind.registration_by_upstream) == {"u-1"}


def generate_changes(seed, length):
    """Return the changes of a store, one a revision."""
    rng = random.Random(seed)
    changes = []
    for revision in range(1, length + 1):
        name = f"u-{rng.randrange(6)}"
        kind = rng.choice(("put", "put", "drain", "remove", "tables"))
        if kind == "tables":
            delta = with_tables(make_delta(revision, base=revision - 1), revision)
        elif kind == "remove":
            departed = (Departed(revision, name),)
            delta = CatalogDelta(revision - 1, revision, departed=departed)
        else:
            row = make_registration(name, draining=kind == "drain")
            delta = CatalogDelta(
                revision - 1, revision, registered=(Registered(revision, row),)
            )
        changes.append(delta)
    return changes


def state_of(catalog):
    catalog.remove_departed(1e9)
    version = catalog.tables.version if catalog.tables else 0
    return version, dict(catalog.registration_by_upstream)


@settings(max_examples=150, deadline=None)
@given(seed=st.integers(0, 10_000), length=st.integers(1, 30), data=st.data())
def test_hosts_that_receive_deltas_in_any_order_converge_on_the_store(
    seed, length, data
):
    changes = generate_changes(seed, length)
    store = Catalog()
    for change in changes:
        store.apply(change, 0.0)
    host = Catalog()
    order = data.draw(st.permutations(changes))
    version = 0
    for change in order:
        host.apply(change, 0.0)
        applied = host.tables.version if host.tables else 0
        assert applied >= version
        version = applied
    host.apply(store.since(request_from(host), 0.0), 0.0)
    assert host.revision == store.revision
    assert state_of(host) == state_of(store)


def test_a_difference_from_tables_other_than_the_stored_ones_leaves_a_gap():
    def tables(version, *names):
        routes = tuple(make_single_route(name, prefix=f"/{name}/") for name in names)
        return make_tables(version, routes)

    sender, receiver = Catalog(), Catalog()
    for catalog in (sender, receiver):
        first = make_delta(10, tables=tables(1, "a"), tables_revision=10)
        catalog.apply(first, 0.0)
    # The receiver has applied a version that the sender missed.
    second = make_delta(20, base=10, tables=tables(2, "a", "b"), tables_revision=20)
    receiver.apply(second, 1.0)
    third = make_delta(30, base=10, tables=tables(3, "a", "c"), tables_revision=30)
    difference = sender.with_tables_delta(third)
    sender.apply(third, 2.0)
    assert difference.tables_delta.base == 1
    receiver.apply(difference, 3.0)
    assert receiver.revision == 20
    receiver.apply(sender.since(request_from(receiver), 4.0), 4.0)
    assert receiver.revision == 30
    assert receiver.tables.version == 3
    assert receiver.routes.find("leave.example", "/c/x") is not None


@settings(max_examples=200, deadline=None)
@given(seed=st.integers(0, 100_000))
def test_no_host_claims_a_revision_whose_configuration_it_lacks(seed):
    """Hosts read the store now and then, relay differences, and miss some of them.

    A host that applies a later difference after a missed one must not report the
    later revision: it would serve an older configuration as the current one.
    """
    rng = random.Random(seed)
    changes = generate_changes(seed, 24)
    store, hosts = Catalog(), [Catalog() for _ in range(3)]
    version_at = {0: 0}
    for change in changes:
        store.apply(change, 0.0)
        version_at[store.revision] = store.tables.version if store.tables else 0
        if rng.random() < 0.6:
            continue
        reader = rng.choice(hosts)
        read = store.since(request_from(reader), 0.0)
        difference = reader.with_tables_delta(read)
        reader.apply(read, 0.0)
        for host in hosts:
            if host is reader or rng.random() < 0.3:
                continue
            host.apply(difference, 0.0)
            if host.revision < difference.revision and rng.random() < 0.7:
                host.apply(reader.since(request_from(host), 0.0), 0.0)
        for host in hosts:
            stored_version = host.tables.version if host.tables else 0
            assert stored_version >= version_at[host.revision]
