"""Build virtual fleets whose hosts exchange membership and configuration."""

from __future__ import annotations

from burdockmill.messages.events import (
    HealthRead,
    HostListRead,
    HostStarted,
    RevisionRead,
)
from burdockmill.messages.platform import HostList, ListedHost
from burdockmill.placement import readers
from burdockmill.rules.chunks import make_manifest
from burdockmill.standins.virtual_fleet import LinkModel, UpstreamModel, VirtualFleet
from burdockmill.tables.rows import MemberRow

DOMAINS = ("waw-a", "krk-a", "gda-a")


class Upstreams(UpstreamModel):
    """Respond to health checks; upstreams serve snapshot 1 and none is draining.

    A test adds upstreams to `draining` and `unresponsive`.
    """

    def __init__(self):
        self.draining = set()
        self.unresponsive = set()
        self.incarnation_by_id = {}

    def send(self, fleet, host, send):
        raise AssertionError("no work is sent in these tests")

    def cancel(self, fleet, host, gone):
        raise AssertionError("no work is sent in these tests")

    def read_health(self, fleet, host, read):
        name = read.upstream
        snapshots = None if name in self.unresponsive else (1,)
        incarnation = self.incarnation_by_id.get(name, f"{name}-1")
        health = HealthRead(name, incarnation, snapshots, name in self.draining)
        fleet.call_at(fleet.clock.now_ms() + 1.0, lambda: fleet.post(host, health))


class Links(LinkModel):
    """Lose, delay and duplicate messages; partition hosts with unequal groups."""

    def __init__(self, loss=0.0, doubled=0.0, max_delay_ms=2.0):
        self.loss = loss
        self.doubled = doubled
        self.max_delay_ms = max_delay_ms
        self.group_by_host = {}

    def delays_ms(self, rng, sender, receiver):
        group = self.group_by_host
        if group.get(sender, 0) != group.get(receiver, 0) or rng.random() < self.loss:
            return ()
        copies = 2 if rng.random() < self.doubled else 1
        return tuple(rng.uniform(0.5, self.max_delay_ms) for _ in range(copies))


class Fleet:
    """Run a virtual fleet with its links and upstreams."""

    def __init__(self, per_domain=3, domains=DOMAINS, seed=1, **links):
        self.links = Links(**links)
        self.upstreams = Upstreams()
        self.virtual = VirtualFleet(seed, self.upstreams, self.links)
        self.domain_by_host = {
            f"{domain}-{number}": domain
            for domain in domains
            for number in range(per_domain)
        }
        self.incarnation_by_host = dict.fromkeys(self.domain_by_host, 0)
        for host in self.domain_by_host:
            self.start(host)

    @property
    def now_ms(self):
        return self.virtual.clock.now_ms()

    @property
    def live(self):
        return list(self.virtual.engine_by_host)

    def row(self, host, incarnation=0):
        return MemberRow(
            host,
            self.domain_by_host[host],
            "pl",
            f"10.0.0.1:{sorted(self.domain_by_host).index(host) + 1}",
            incarnation=incarnation,
        )

    def start(self, host, incarnation=None, seeds=None):
        """Start or restart a host; its seeds are all other hosts unless given."""
        self.incarnation_by_host[host] += 1
        number = incarnation or self.incarnation_by_host[host]
        self.virtual.add_host(host, self.domain_by_host[host])
        others = [other for other in self.domain_by_host if other != host]
        rows = tuple(self.row(other) for other in (others if seeds is None else seeds))
        self.virtual.post(host, HostStarted(self.row(host, number), rows))

    def run(self, milliseconds):
        self.virtual.run_until(self.now_ms + milliseconds)

    def world(self, host):
        return self.virtual.engine_by_host[host].world

    def states(self, host):
        """Return by live member, as a host sees it, whether it is leaving."""
        rows = self.world(host).member_by_host.values()
        return {row.host: row.leaving for row in rows if row.alive}

    def views_agree(self):
        """Return whether all live hosts see exactly the live hosts as members."""
        return all(set(self.states(host)) == set(self.live) for host in self.live)

    def read_list(self, host, version, hosts=None, leaving_upstreams=()):
        """Post a host list, by default of all hosts, to one host."""
        listed = [
            ListedHost(
                host=name,
                domain=self.domain_by_host[name],
                region="pl",
                peer_address=self.row(name).peer_address,
                leaving=False,
            )
            for name in (self.domain_by_host if hosts is None else hosts)
        ]
        event = HostListRead(
            HostList(
                version=version,
                hosts=listed,
                leaving_upstreams=list(leaving_upstreams),
            )
        )
        self.virtual.post(host, event)

    def publish(self, text, revision, hosts):
        """Post a revision, as read from the platform, to each of the hosts."""
        manifest, data_by_digest = make_manifest(text, revision)
        texts = {digest: data.decode() for digest, data in data_by_digest.items()}
        for host in hosts:
            self.virtual.post(host, RevisionRead(manifest, texts, "platform"))

    def revisions(self):
        """Return the active revision of each live host; 0 for none."""
        return {host: revision_of(self.world(host)) for host in self.live}

    def readers(self, domain):
        hosts = [host for host in self.live if self.domain_by_host[host] == domain]
        return readers(hosts)


def revision_of(world):
    return world.rules.revision if world.rules else 0


def fleet_rules(count=6, domains=DOMAINS, extra=""):
    """Return rules with one service, and upstreams distributed over the domains."""
    lines = ["service notify # Ops"]
    for number in range(count):
        domain = domains[number % len(domains)]
        lines.append(
            f"upstream u{number} domain={domain} address=10.1.0.1:{number + 1} "
            "slots=2 connections=25 # Ops"
        )
        first = number * (16_384 // count)
        last = 16_383 if number == count - 1 else first + 16_384 // count - 1
        lines.append(
            f"shard s{number} service=notify slots={first}-{last} "
            f"replicas=u{number} # Ops"
        )
    return "\n".join([*lines, extra]) + "\n"
