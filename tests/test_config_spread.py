"""Check that every host activates the newest accepted revision and keeps it."""

import random

from hypothesis import given, strategies as st
from returns.result import Success

from burdockmill.fleet_status import fleet_status
from burdockmill.reading import ReadingRole, read_interval_ms, reading_role
from burdockmill.rules.chunks import make_manifest, split_rules
from burdockmill.rules.parser import parse_rules
from burdockmill.rules.store import RulesStore
from tests.builders_fleet import DOMAINS, Fleet, fleet_rules, revision_of
from tests.builders_rules import ANY_TEXTS, rules_texts


def ready_fleet(**options):
    """Return a fleet in which revision 1 is active on all hosts."""
    fleet = Fleet(**options)
    fleet.run(2_000)
    fleet.publish(fleet_rules(), 1, fleet.live)
    fleet.run(2_000)
    assert set(fleet.revisions().values()) == {1}
    return fleet


@given(st.lists(st.one_of(rules_texts(), ANY_TEXTS), min_size=1, max_size=4))
def test_applied_deltas_give_the_same_result_as_the_whole_text(texts):
    store = RulesStore()
    accepted = parse_rules("", 0).unwrap()
    for revision, text in enumerate(texts, start=1):
        text = text.encode(errors="replace").decode()
        manifest, data_by_digest = make_manifest(text, revision)
        chunks = [(entry["name"], entry["digest"]) for entry in manifest["chunks"]]
        given_texts = {digest: data.decode() for digest, data in data_by_digest.items()}
        result = store.apply(store.delta_to(revision, chunks, given_texts))
        parsed = parse_rules(text, revision)
        assert isinstance(result, Success) == isinstance(parsed, Success)
        if isinstance(parsed, Success):
            accepted = parsed.unwrap()
            assert result.unwrap().rules == accepted
            assert store.revision == revision


def test_an_added_line_changes_at_most_two_chunks():
    lines = [
        f"upstream u{number} domain=d address=10.0.0.1:{number + 1} slots=1 "
        "connections=1 # Ops"
        for number in range(9_000)
    ]
    before = {chunk.digest for chunk in split_rules("\n".join(lines))}
    lines.insert(17, lines[0].replace("u0 ", "more "))
    after = {chunk.digest for chunk in split_rules("\n".join(lines))}
    assert len(before) > 8
    assert len(after - before) <= 2


def test_a_revision_read_by_one_reader_is_active_everywhere_within_3_s():
    fleet = ready_fleet(per_domain=8, loss=0.05)
    fleet.publish(fleet_rules(extra="leaving u1 # Ops"), 2, ["krk-a-3"])
    fleet.run(3_000)
    assert set(fleet.revisions().values()) == {2}
    assert all("u1" in fleet.world(h).rules.leaving_by_upstream for h in fleet.live)


def test_a_revision_survives_a_reader_that_dies_before_disseminating_it():
    fleet = ready_fleet()
    first, second, _ = fleet.readers("waw-a")
    fleet.publish(fleet_rules(extra="# two"), 2, [first])
    fleet.virtual.remove_host(first)
    fleet.run(100)
    fleet.publish(fleet_rules(extra="# two"), 2, [second])
    fleet.run(3_000)
    assert set(fleet.revisions().values()) == {2}


def test_an_older_revision_of_the_platform_is_ignored_and_counted():
    fleet = ready_fleet()
    fleet.publish(fleet_rules(extra="# two"), 2, ["waw-a-0"])
    fleet.run(3_000)
    fleet.publish(fleet_rules(), 1, fleet.live)
    fleet.run(3_000)
    assert set(fleet.revisions().values()) == {2}
    assert fleet.world("gda-a-1").counter_by_name["config_older_ignored"] == 1


def test_a_restarted_host_activates_its_peers_revision_while_the_platform_is_stale():
    fleet = ready_fleet()
    fleet.publish(fleet_rules(extra="# two"), 2, ["waw-a-0"])
    fleet.run(3_000)
    fleet.start("gda-a-2")
    seen = {0}
    for _ in range(200):
        fleet.publish(fleet_rules(), 1, ["gda-a-2"])
        fleet.run(100)
        seen.add(revision_of(fleet.world("gda-a-2")))
    assert seen == {0, 2}


def test_partitioned_domains_converge_on_the_highest_revision():
    fleet = ready_fleet()
    for host, domain in fleet.domain_by_host.items():
        fleet.links.group_by_host[host] = DOMAINS.index(domain)
    fleet.publish(fleet_rules(extra="# two"), 2, ["waw-a-0"])
    fleet.publish(fleet_rules(extra="# three"), 3, ["krk-a-0"])
    fleet.run(10_000)
    revisions = fleet.revisions()
    assert [revisions[f"{domain}-1"] for domain in DOMAINS] == [2, 3, 1]
    fleet.links.group_by_host.clear()
    fleet.run(4_000)
    assert set(fleet.revisions().values()) == {3}


def test_a_refused_revision_leaves_the_last_accepted_active_and_is_reported():
    fleet = ready_fleet()
    fleet.publish(fleet_rules(extra="leaving nobody # Ops"), 2, ["waw-a-0"])
    fleet.run(3_000)
    assert set(fleet.revisions().values()) == {1}
    status = fleet_status(fleet.world("waw-a-0"), fleet.now_ms)
    assert status.refused_revision == 2
    assert "no rule names the upstream 'nobody'" in status.refused_problems
    fleet.publish(fleet_rules(extra="leaving u0 # Ops"), 3, ["waw-a-0"])
    fleet.run(3_000)
    assert set(fleet.revisions().values()) == {3}


def test_a_revision_too_large_to_disseminate_is_fetched_from_peers():
    fleet = ready_fleet()
    fleet.publish(fleet_rules(count=800), 2, ["waw-a-0"])
    fleet.run(5_000)
    assert set(fleet.revisions().values()) == {2}
    rules = parse_rules(fleet_rules(count=800), 2).unwrap()
    assert fleet.world("gda-a-2").rules == rules


def test_three_hosts_of_a_domain_read_and_a_partitioned_host_reads_slowly():
    fleet = Fleet(per_domain=10)
    fleet.run(3_000)
    roles = [reading_role(fleet.world(host), fleet.now_ms) for host in fleet.live]
    assert roles.count(ReadingRole.READER) == 9
    assert roles.count(ReadingRole.NONE) == 21
    partitioned = next(h for h in fleet.live if h not in fleet.readers("waw-a"))
    fleet.links.group_by_host[partitioned] = 1
    fleet.run(5_500)
    world = fleet.world(partitioned)
    role = reading_role(world, fleet.now_ms)
    assert role is ReadingRole.PARTITIONED
    rng = random.Random(1)
    pauses = [read_interval_ms(world, role, rng) for _ in range(1_000)]
    assert 29 < sum(pauses) / len(pauses) < 31
    assert max(pauses) > 1.5 * 30
