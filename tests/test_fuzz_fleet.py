"""Fuzz membership, configuration and draining over several hosts."""

from hypothesis import HealthCheck, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from burdockmill.placement import OwnerTable
from tests.builders_fleet import Fleet, fleet_rules, revision_of

DOMAINS = ("waw-a", "krk-a")
HOSTS = [f"{domain}-{number}" for domain in DOMAINS for number in range(3)]
UPSTREAMS = [f"u{number}" for number in range(4)]
HEAL_MS = 15_000
LEAVING_MS = 3_000


class FleetMachine(RuleBasedStateMachine):
    """Inject faults into a fleet; check its revisions and, once healed, its views."""

    @initialize(seed=st.integers(0, 2**16))
    def start(self, seed):
        self.fleet = Fleet(per_domain=3, domains=DOMAINS, seed=seed)
        self.fleet.run(2_000)
        self.published = 1
        self.fleet.publish(self.text(1), 1, self.fleet.live)
        self.fleet.run(2_000)
        self.revision_by_run = {}
        self.list_version = 0
        self.accepted = 1

    def text(self, revision):
        return fleet_rules(4, DOMAINS, extra=f"# {revision}")

    @rule(loss=st.sampled_from([0.0, 0.05, 0.2]), doubled=st.sampled_from([0.0, 0.3]))
    def set_links(self, loss, doubled):
        self.fleet.links.loss = loss
        self.fleet.links.doubled = doubled

    @rule(max_delay_ms=st.sampled_from([2.0, 60.0]))
    def set_delay(self, max_delay_ms):
        self.fleet.links.max_delay_ms = max_delay_ms

    @rule(host=st.sampled_from(HOSTS), accepted=st.booleans())
    def publish(self, host, accepted):
        if host not in self.fleet.live:
            return
        self.published += 1
        text = self.text(self.published)
        if not accepted:
            text += "leaving nobody # Ops\n"
        self.fleet.publish(text, self.published, [host])
        self.fleet.run(20)
        if accepted and host not in self.fleet.virtual.paused:
            self.accepted = max(self.accepted, revision_of(self.fleet.world(host)))

    @rule(host=st.sampled_from(HOSTS), versions_back=st.integers(1, 3))
    def read_older(self, host, versions_back):
        older = max(1, self.published - versions_back)
        if host in self.fleet.live and older <= self.accepted:
            self.fleet.publish(self.text(older), older, [host])

    @rule(host=st.sampled_from(HOSTS))
    def kill(self, host):
        if len(self.fleet.live) > 4:
            self.fleet.virtual.remove_host(host)
            self.fleet.virtual.paused.discard(host)

    @rule(host=st.sampled_from(HOSTS), stale=st.booleans())
    def restart(self, host, stale):
        self.fleet.virtual.paused.discard(host)
        self.fleet.start(host)
        if stale:
            self.fleet.publish(self.text(1), 1, [host])

    @rule(host=st.sampled_from(HOSTS))
    def pause(self, host):
        if host in self.fleet.live and len(self.fleet.virtual.paused) < 2:
            self.fleet.virtual.paused.add(host)

    @rule(host=st.sampled_from(HOSTS))
    def resume(self, host):
        self.fleet.virtual.resume(host)

    @rule(hosts=st.sets(st.sampled_from(HOSTS), max_size=3))
    def partition(self, hosts):
        self.fleet.links.group_by_host = dict.fromkeys(hosts, 1)

    @rule(upstream=st.sampled_from(UPSTREAMS))
    def drain(self, upstream):
        self.fleet.upstreams.draining.add(upstream)

    @rule(upstream=st.sampled_from(UPSTREAMS))
    def restart_upstream(self, upstream):
        incarnation_by_id = self.fleet.upstreams.incarnation_by_id
        number = int(incarnation_by_id.get(upstream, "x-1").rpartition("-")[2])
        incarnation_by_id[upstream] = f"{upstream}-{number + 1}"
        self.fleet.upstreams.draining.discard(upstream)

    @rule(host=st.sampled_from(HOSTS), versions_back=st.integers(0, 3))
    def read_list(self, host, versions_back):
        if host in self.fleet.live:
            self.list_version += 1
            self.fleet.read_list(host, max(1, self.list_version - versions_back))

    @rule(milliseconds=st.sampled_from([50, 400, 2_000, 7_000]))
    def run_for(self, milliseconds):
        self.fleet.run(milliseconds)

    @precondition(lambda self: hasattr(self, "fleet"))
    @rule()
    def heal(self):
        """Repair all links, resume all hosts, and check that their views converge."""
        fleet = self.fleet
        fleet.links.group_by_host = {}
        fleet.links.loss = 0.0
        fleet.links.max_delay_ms = 2.0
        for host in list(fleet.virtual.paused):
            fleet.virtual.resume(host)
        newest = max(fleet.revisions().values())
        fleet.run(HEAL_MS)
        assert set(fleet.revisions().values()) == {newest}
        assert fleet.views_agree(), {host: fleet.states(host) for host in fleet.live}
        self.check_rows()
        self.check_owners()
        self.check_draining()

    def check_rows(self):
        """Check that all hosts have equal rows of each member and upstream."""
        views = []
        for host in self.fleet.live:
            world = self.fleet.world(host)
            members = {r.host: r for r in world.member_by_host.values() if r.alive}
            upstreams = {
                r.upstream: (r.version, r.snapshots, r.reported_draining, r.listed)
                for r in world.upstream_by_id.values()
            }
            views.append((members, upstreams))
        assert all(view == views[0] for view in views)

    def check_owners(self):
        owners = set()
        for host in self.fleet.live:
            world = self.fleet.world(host)
            table = OwnerTable()
            found = tuple(table.owner_of(world, name) for name in UPSTREAMS)
            if all(owner in self.fleet.live for owner in found):
                owners.add(found)
        assert len(owners) <= 1

    def check_draining(self):
        fleet = self.fleet
        upstream = UPSTREAMS[0]
        fleet.upstreams.draining.add(upstream)
        for _ in range(40):
            fleet.run(50)
            if self.draining_at(upstream):
                break
        fleet.run(LEAVING_MS)
        hosts = self.draining_at(upstream)
        assert not hosts or hosts == set(fleet.live)

    def draining_at(self, upstream):
        return {
            host
            for host in self.fleet.live
            if self.fleet.world(host).upstream_by_id[upstream].draining
        }

    @invariant()
    def no_revision_goes_back(self):
        if not hasattr(self, "fleet"):
            return
        for host in self.fleet.live:
            run = (host, self.fleet.incarnation_by_host[host])
            revision = revision_of(self.fleet.world(host))
            assert revision >= self.revision_by_run.get(run, 0)
            self.revision_by_run[run] = revision


FleetMachine.TestCase.settings = settings(
    max_examples=25,
    stateful_step_count=20,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)
test_fleet = FleetMachine.TestCase
