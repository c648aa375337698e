"""Fuzz hosts that follow a store which restarts from older copies.

Messages between hosts are lost, delayed, reordered and doubled, failure domains are cut
off, and the hosts that read the store change.
"""

import random
from unittest.mock import patch

from hypothesis import given, settings, strategies as st

from burdockmill.fleet_core import make_fleet_engine
from burdockmill.messages.events import CatalogRead
from burdockmill.systems._ring import Ring
from tests.builders_fleet import DOMAINS, Fleet
from tests.oracle_store import OracleStore

ROUNDS = 10
# Digests and probes repair what was lost within this time.
REPAIR_MS = 10_000


def make_host_engine(host, domain, rng):
    return make_fleet_engine(host, domain, rng, Ring())


class RandomEras:
    """Run a fleet and a store through random reads, cuts and restarts."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.store = OracleStore(self.rng)
        with patch("burdockmill.standins.virtual_fleet.make_engine", make_host_engine):
            self.fleet = Fleet(
                seed=seed,
                loss=0.1,
                doubled=0.1,
                max_delay_ms=self.rng.choice((2.0, 200.0)),
            )
        self.version_by_host = {}

    def run(self):
        self.fleet.run(3_000)
        for _ in range(ROUNDS):
            self.store.step()
            self._cut_or_heal()
            for domain in DOMAINS:
                if self.rng.random() < 0.5:
                    self._read(domain)
            self._advance(self.rng.uniform(50.0, 1_500.0))
        self.fleet.links.group_by_host.clear()
        self.fleet.links.loss = 0.0
        self.store.write_again()
        # One domain reads the end state; the others receive it from their peers.
        self._read(self.rng.choice(DOMAINS))
        self._advance(REPAIR_MS)

    def catalogs(self):
        return [self.fleet.world(host).catalog for host in self.fleet.live]

    def _cut_or_heal(self):
        groups = self.fleet.links.group_by_host
        if self.rng.random() < 0.5:
            groups.clear()
            return
        domain = self.rng.choice(DOMAINS)
        for host in self.fleet.live:
            if self.fleet.domain_by_host[host] == domain:
                groups[host] = 1

    def _read(self, domain):
        readers = self.fleet.readers(domain)
        if readers:
            host = self.rng.choice(readers)
            delta = self.store.read(self.fleet.world(host).catalog)
            self.fleet.virtual.post(host, CatalogRead(delta))

    def _advance(self, for_ms):
        self.fleet.run(for_ms)
        for host in self.fleet.live:
            catalog = self.fleet.world(host).catalog
            assert catalog.version >= self.version_by_host.get(host, 0)
            assert catalog.position <= self.store.position
            self.version_by_host[host] = catalog.version
            self._check_rows(catalog)

    def _check_rows(self, catalog):
        """Check that each row was written in the catalog's own era."""
        for upstream, revision in catalog._revision_by_upstream.items():
            written = self.store.written_by_position[catalog.era, revision]
            row = catalog.registration_by_upstream[upstream]
            assert row in (written, written._replace(draining=True))


@settings(max_examples=20, deadline=None)
@given(seed=st.integers(0, 1_000_000))
def test_all_hosts_end_with_the_catalog_of_the_last_era(seed):
    eras = RandomEras(seed)
    eras.run()
    for catalog in eras.catalogs():
        state = (catalog.version, dict(catalog.registration_by_upstream))
        assert catalog.position == eras.store.position
        assert state == eras.store.state()
