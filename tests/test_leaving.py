"""Check that a drain of an upstream reaches all hosts soon, and when it ends."""

from burdockmill.placement import rendezvous
from tests.builders_fleet import Fleet, fleet_rules


def ready_fleet(**options):
    fleet = Fleet(**options)
    fleet.run(2_000)
    fleet.publish(fleet_rules(), 1, fleet.live)
    fleet.run(5_000)
    assert all(field_of(fleet, "u0", "snapshots", host) == (1,) for host in fleet.live)
    return fleet


def field_of(fleet, upstream, field, host):
    return getattr(fleet.world(host).upstream_by_id[upstream], field)


def draining_at(fleet, upstream):
    """Return the hosts that see an upstream as draining and give it no new work."""
    return {host for host in fleet.live if field_of(fleet, upstream, "draining", host)}


def drain_everywhere(fleet, upstream="u0"):
    fleet.upstreams.draining.add(upstream)
    fleet.run(4_500)
    assert draining_at(fleet, upstream) == set(fleet.live)


def test_a_drain_seen_by_the_owner_reaches_all_hosts_within_3_s():
    fleet = ready_fleet(per_domain=6, loss=0.05)
    hosts = [host for host in fleet.live if host.startswith("waw-a")]
    owner = rendezvous(hosts, "u0")
    fleet.upstreams.draining.add("u0")
    while not field_of(fleet, "u0", "draining", owner):
        fleet.run(50)
    fleet.run(3_000)
    assert draining_at(fleet, "u0") == set(fleet.live)


def test_a_drain_persists_when_the_upstream_and_host_lists_no_longer_report_it():
    fleet = ready_fleet()
    fleet.read_list("waw-a-0", 4)
    drain_everywhere(fleet)
    fleet.upstreams.draining.clear()
    fleet.read_list("krk-a-0", 3)
    fleet.read_list("krk-a-0", 5)
    fleet.run(10_000)
    assert draining_at(fleet, "u0") == set(fleet.live)


def test_a_new_incarnation_under_the_same_address_ends_a_drain():
    fleet = ready_fleet()
    drain_everywhere(fleet)
    fleet.upstreams.draining.clear()
    fleet.upstreams.incarnation_by_id["u0"] = "u0-2"
    fleet.run(5_000)
    assert draining_at(fleet, "u0") == set()


def test_removal_from_the_leaving_list_ends_a_drain():
    fleet = ready_fleet()
    fleet.read_list("krk-a-0", 1, leaving_upstreams=["u0"])
    drain_everywhere(fleet)
    fleet.upstreams.draining.clear()
    fleet.read_list("gda-a-0", 2)
    fleet.run(4_000)
    assert draining_at(fleet, "u0") == set()


def test_a_host_list_read_by_one_host_reaches_all_and_an_older_one_none():
    fleet = ready_fleet()
    fleet.read_list("krk-a-0", 7, leaving_upstreams=["u1"])
    fleet.run(3_000)
    fleet.read_list("gda-a-0", 6)
    fleet.run(3_000)
    assert draining_at(fleet, "u1") == set(fleet.live)


def test_removing_a_leaving_rule_ends_a_drain():
    fleet = ready_fleet()
    fleet.publish(fleet_rules(extra="leaving u0 # Ops"), 2, ["waw-a-0"])
    drain_everywhere(fleet)
    fleet.upstreams.draining.clear()
    fleet.publish(fleet_rules(), 3, ["waw-a-0"])
    fleet.run(4_000)
    assert draining_at(fleet, "u0") == set()


def test_a_new_address_ends_a_drain_and_snapshots_are_read_again():
    fleet = ready_fleet()
    drain_everywhere(fleet)
    fleet.upstreams.draining.clear()
    text = fleet_rules().replace("10.1.0.1:1 ", "10.1.0.9:1 ")
    fleet.publish(text, 2, ["waw-a-0"])
    fleet.run(4_000)
    assert draining_at(fleet, "u0") == set()
    assert all(field_of(fleet, "u0", "snapshots", host) == (1,) for host in fleet.live)


def test_a_restarted_host_gets_a_drain_from_its_peers():
    fleet = ready_fleet()
    drain_everywhere(fleet)
    fleet.upstreams.draining.clear()
    fleet.start("gda-a-1")
    fleet.run(5_000)
    assert draining_at(fleet, "u0") == set(fleet.live)
