"""Store which failure domains the operator has evacuated."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.messages.catalog import Evacuation

if TYPE_CHECKING:
    from burdockmill.messages.catalog import CatalogDelta
    from burdockmill.names import DomainId, Revision

# Withdrawn evacuations beyond this number are discarded, oldest first.
ROWS_LIMIT = 1_024


class Evacuations:
    """Store the newest word on each failure domain; older ones never replace it.

    `domains` are those whose upstreams get nothing now.
    """

    def __init__(self) -> None:
        self.domains: frozenset[DomainId] = frozenset()
        self._row_by_domain: dict[DomainId, Evacuation] = {}
        self._withdrawn_by_ms: dict[DomainId, float] = {}

    def apply(self, delta: CatalogDelta, now_ms: float) -> tuple[DomainId, ...]:
        """Apply what is newer; return the domains whose state has changed.

        What a complete copy does not list stays for the copy's grace period, in which
        the operator may write it again.
        """
        if delta.evacuations is None:
            return ()
        for row in delta.evacuations:
            self._write(row)
        if delta.is_whole:
            listed = {row.domain for row in delta.evacuations}
            for domain, row in list(self._row_by_domain.items()):
                is_missing = row.is_active and domain not in listed
                if is_missing and row.revision <= delta.revision:
                    end_ms = now_ms + delta.grace_ms
                    self._withdrawn_by_ms.setdefault(domain, end_ms)
        return self.withdraw(now_ms)

    def withdraw(self, now_ms: float) -> tuple[DomainId, ...]:
        """Withdraw the evacuations whose grace period has ended.

        Return the domains whose state has changed since the last call.
        """
        for domain, end_ms in list(self._withdrawn_by_ms.items()):
            if now_ms >= end_ms:
                row = self._row_by_domain[domain]
                self._row_by_domain[domain] = row._replace(is_active=False)
                del self._withdrawn_by_ms[domain]
        before = self.domains
        self.domains = frozenset(
            domain for domain, row in self._row_by_domain.items() if row.is_active
        )
        return tuple(sorted(before ^ self.domains))

    def next_withdrawal_ms(self) -> float | None:
        """Return when the next grace period ends, or None."""
        return min(self._withdrawn_by_ms.values(), default=None)

    def start_era(self) -> None:
        """Let any word of the store's new era replace those of the era before."""
        for domain, row in self._row_by_domain.items():
            self._row_by_domain[domain] = row._replace(revision=0)

    def since(self, revision: Revision) -> tuple[Evacuation, ...]:
        """Return what was written after a revision."""
        return tuple(
            row for row in self._row_by_domain.values() if row.revision > revision
        )

    def _write(self, row: Evacuation) -> None:
        stored = self._row_by_domain.get(row.domain)
        if stored is not None and row.revision < stored.revision:
            return
        self._row_by_domain.pop(row.domain, None)
        self._row_by_domain[row.domain] = row
        self._withdrawn_by_ms.pop(row.domain, None)
        if len(self._row_by_domain) > ROWS_LIMIT:
            withdrawn = (
                domain
                for domain, one in self._row_by_domain.items()
                if not one.is_active
            )
            oldest = next(withdrawn, None)
            if oldest is not None:
                del self._row_by_domain[oldest]
