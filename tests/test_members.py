"""Check that all hosts detect live and dead members, and converge after faults."""

import pytest

from burdockmill.fleet_status import fleet_status
from burdockmill.messages.actions import Announce
from burdockmill.messages.events import HostStopping, ViewRefreshed
from burdockmill.placement import OwnerTable, rendezvous
from tests.builders_fleet import DOMAINS, Fleet


def test_hosts_with_one_seed_discover_all_members():
    fleet = Fleet()
    for host in list(fleet.domain_by_host)[1:]:
        fleet.start(host, seeds=["waw-a-0"])
    fleet.run(6_000)
    assert fleet.views_agree()


@pytest.mark.parametrize("loss", [0.0, 0.05])
def test_only_the_dead_host_is_declared_dead_within_five_seconds(loss):
    fleet = Fleet(per_domain=20, domains=("waw-a",), loss=loss)
    fleet.run(10_000)
    assert fleet.views_agree()
    fleet.virtual.unreachable_hosts.add("waw-a-7")
    fleet.virtual.remove_host("waw-a-7")
    fleet.run(5_000)
    assert fleet.views_agree()
    declarations = sum(
        fleet.world(host).counter_by_name["members_called_dead"] for host in fleet.live
    )
    assert 1 <= declarations <= 2


def test_a_host_restarted_with_a_lower_incarnation_refutes_its_death():
    fleet = Fleet()
    fleet.run(5_000)
    fleet.start("krk-a-1", incarnation=9)
    fleet.run(5_000)
    fleet.virtual.remove_host("krk-a-1")
    fleet.run(6_000)
    assert fleet.views_agree()
    fleet.start("krk-a-1", incarnation=2)
    fleet.run(6_000)
    assert fleet.views_agree()
    assert fleet.world("waw-a-0").member_by_host["krk-a-1"].incarnation == 10


def test_a_partitioned_domain_merges_after_the_partition():
    fleet = Fleet(per_domain=8, domains=("waw-a",))
    fleet.run(5_000)
    for host in list(fleet.domain_by_host)[:4]:
        fleet.links.group_by_host[host] = 1
    fleet.run(10_000)
    assert len(fleet.states("waw-a-0")) == 4
    assert len(fleet.states("waw-a-7")) == 4
    fleet.links.group_by_host.clear()
    fleet.run(8_000)
    assert fleet.views_agree()


def test_partitioned_domains_keep_each_other_as_members():
    fleet = Fleet()
    fleet.run(5_000)
    for host, domain in fleet.domain_by_host.items():
        fleet.links.group_by_host[host] = DOMAINS.index(domain)
    fleet.run(20_000)
    assert fleet.views_agree()


def test_stale_host_lists_do_not_revive_a_dead_host():
    fleet = Fleet()
    fleet.run(5_000)
    fleet.virtual.remove_host("gda-a-2")
    fleet.run(6_000)
    for version in range(1, 60):
        fleet.read_list("gda-a-0", version)
        fleet.run(3_000)
        assert "gda-a-2" not in fleet.states("gda-a-0")
    assert fleet.views_agree()
    assert fleet.world("gda-a-0").counter_by_name["host_list_outweighed"] > 0


def test_a_live_host_that_the_host_list_omits_stays_a_member():
    fleet = Fleet()
    fleet.run(5_000)
    fleet.read_list("waw-a-0", 1, hosts=["waw-a-1"])
    fleet.run(3_000)
    assert fleet.views_agree()


def test_an_older_host_list_is_ignored_and_counted():
    fleet = Fleet()
    fleet.run(3_000)
    fleet.read_list("waw-a-0", 5)
    fleet.read_list("waw-a-0", 4, leaving_upstreams=["u"])
    world = fleet.world("waw-a-0")
    assert world.fleet.listed.version == 5
    assert world.counter_by_name["host_list_older_ignored"] == 1


def test_all_hosts_see_a_stopping_host_as_leaving_within_three_seconds():
    fleet = Fleet()
    fleet.run(5_000)
    fleet.virtual.post("waw-a-1", HostStopping())
    fleet.run(3_000)
    assert all(fleet.states(host)["waw-a-1"] for host in fleet.live)


def test_a_paused_host_refreshes_its_view_first_and_declares_nobody_dead():
    fleet = Fleet(per_domain=6, domains=("waw-a",))
    fleet.run(5_000)
    announced = []
    fleet.virtual.on_action = lambda host, action: announced.append((host, action))
    fleet.virtual.paused.add("waw-a-2")
    fleet.run(20_000)
    assert "waw-a-2" not in fleet.states("waw-a-0")
    fleet.virtual.resume("waw-a-2")
    assert fleet.world("waw-a-2").fleet.refreshing
    fleet.run(8_000)
    refreshed = [
        action.event
        for host, action in announced
        if host == "waw-a-2" and isinstance(action, Announce)
    ]
    assert [event.answered for event in refreshed] == [True]
    assert isinstance(refreshed[0], ViewRefreshed)
    assert fleet.views_agree()
    assert not fleet.world("waw-a-2").counter_by_name["members_called_dead"]


def test_the_status_counts_members_and_names_readers():
    fleet = Fleet()
    fleet.run(5_000)
    status = fleet_status(fleet.world("waw-a-0"), fleet.now_ms)
    assert [(one.domain, one.alive, one.dead) for one in status.domains] == [
        (domain, 3, 0) for domain in sorted(DOMAINS)
    ]
    assert all(len(one.readers) == 3 for one in status.domains)
    assert status.revision == 0


def test_owners_move_only_when_members_join_or_leave():
    fleet = Fleet(per_domain=6, domains=("waw-a",))
    fleet.run(5_000)
    world = fleet.world("waw-a-0")
    world.rules = _rules_of(world, 200)
    table = OwnerTable()
    previous_owners = {
        name: table.owner_of(world, name) for name in world.rules.upstream_by_id
    }
    fleet.virtual.remove_host("waw-a-5")
    fleet.run(6_000)
    hosts = [host for host in fleet.domain_by_host if host != "waw-a-5"]
    for name, owner in previous_owners.items():
        current = table.owner_of(world, name)
        assert current == rendezvous(hosts, name)
        assert current == owner or owner == "waw-a-5"
    fleet.start("waw-a-5")
    fleet.run(6_000)
    assert {
        name: table.owner_of(world, name) for name in previous_owners
    } == previous_owners
    assert table.owner_changes == 2 * sum(
        owner == "waw-a-5" for owner in previous_owners.values()
    )


def _rules_of(world, count):
    from burdockmill.rules.parser import parse_rules

    lines = [
        f"upstream u{number} domain=waw-a address=10.0.1.1:{number + 1} "
        "slots=2 connections=25 # Ops"
        for number in range(count)
    ]
    return parse_rules("\n".join(lines), 1).unwrap()


def test_a_death_missed_during_a_partition_is_found_by_digests():
    fleet = Fleet()
    fleet.run(5_000)
    for host, domain in fleet.domain_by_host.items():
        fleet.links.group_by_host[host] = DOMAINS.index(domain)
    fleet.virtual.remove_host("krk-a-1")
    fleet.run(15_000)
    assert "krk-a-1" in fleet.states("waw-a-0")
    fleet.links.group_by_host.clear()
    fleet.run(8_000)
    assert fleet.views_agree()
