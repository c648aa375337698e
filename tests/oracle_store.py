"""Simulate a store that loses its latest writes, as a reference for catalogs."""

from burdockmill.messages.catalog import CatalogDelta, Departed, Registered
from burdockmill.messages.store_position import StorePosition
from burdockmill.policies.departure_grace import REGISTRATION_RENEWAL_MS
from tests.builders_forwarding import make_registration, make_tables


class OracleStore:
    """Store registrations and a configuration by revision; restart from old copies.

    The operator and the upstreams remember what they wrote, and write it again.
    """

    def __init__(self, rng):
        self.rng = rng
        self.era = 1
        self.changes = []
        self.operator_version = 0
        self.starts = 0
        self.registration_by_upstream = {}
        self.version_by_position = {}
        self.written_by_position = {}
        self._note_writes()

    @property
    def position(self):
        return StorePosition(self.era, len(self.changes))

    def step(self):
        for _ in range(self.rng.randrange(4)):
            name = f"u-{self.rng.randrange(5)}"
            kind = self.rng.choice(("ready", "drain", "remove", "tables"))
            if kind == "tables":
                self.operator_version += 1
                self._write(self.operator_version)
            elif kind == "remove":
                self.registration_by_upstream.pop(name, None)
                self._write(name)
            else:
                self._register(name, kind == "drain")
        if self.rng.random() < 0.15:
            self.restart()

    def restart(self):
        """Lose the latest changes; the era rises."""
        lost = self.rng.randrange(min(6, len(self.changes) + 1))
        self.changes = self.changes[: len(self.changes) - lost]
        self.era += 1
        self._note_writes()

    def write_again(self):
        """Write what the operator and the upstreams had written."""
        if self.operator_version:
            self._write(self.operator_version)
        for number in range(5):
            name = f"u-{number}"
            self._write(self.registration_by_upstream.get(name, name))

    def read(self, catalog):
        """Return what a host reads: changes in its era, else the whole catalog."""
        is_whole = catalog.era != self.era or not catalog.revision
        after = 0 if is_whole else catalog.revision
        newest_by_key = {}
        tables, tables_revision = None, 0
        for revision, written in enumerate(self.changes, start=1):
            if revision <= after:
                continue
            if isinstance(written, int):
                tables, tables_revision = make_tables(written), revision
            elif isinstance(written, str):
                newest_by_key[written] = Departed(revision, written)
            else:
                newest_by_key[written.upstream] = Registered(revision, written)
        rows = newest_by_key.values()
        departed = tuple(row for row in rows if isinstance(row, Departed))
        return CatalogDelta(
            after,
            len(self.changes),
            tables_revision,
            tables,
            tuple(row for row in rows if isinstance(row, Registered)),
            () if is_whole else departed,
            is_whole,
            grace_ms=REGISTRATION_RENEWAL_MS if catalog.era != self.era else 0.0,
            era=self.era,
        )

    def version_at(self, position):
        """Return the version that a host at a position must have at least."""
        return self.version_by_position.get(position, 0)

    def state(self):
        """Return the version and the registrations that all hosts must end with."""
        return self.operator_version, dict(self.registration_by_upstream)

    def _register(self, name, draining):
        known = self.registration_by_upstream.get(name)
        if known is None or (known.draining and not draining):
            # An upstream does not resume work; it is started again.
            self.starts += 1
            started_ms = self.starts
        else:
            started_ms = known.started_ms
        registration = make_registration(name, draining=draining, started_ms=started_ms)
        self.registration_by_upstream[name] = registration
        self._write(registration)

    def _write(self, written):
        self.changes.append(written)
        self._note_writes()

    def _note_writes(self):
        versions = [one for one in self.changes if isinstance(one, int)]
        self.version_by_position[self.position] = max(versions, default=0)
        for revision, written in enumerate(self.changes, start=1):
            self.written_by_position[self.era, revision] = written
