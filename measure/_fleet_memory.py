"""Build the tables of a fleet of a given size and print this process's memory."""

from __future__ import annotations

import gc
import random
import resource
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec

from burdockmill.core import make_engine
from burdockmill.messages.events import HostStarted, RevisionRead, RulesDeltasReceived
from burdockmill.messages.fleet import HoldingsNews
from burdockmill.node import Node
from burdockmill.rules.chunks import make_manifest
from burdockmill.systems._fleet_rows import apply_holdings_update
from burdockmill.tables.rows import MemberRow

if TYPE_CHECKING:
    from burdockmill.engine import Engine

BYTES_PER_MB = 1_000_000
PAGE_BYTES = resource.getpagesize()
UPSTREAMS_PER_SERVICE = 1_200


def resident_mb() -> float:
    """Return the resident memory of this process in megabytes."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * PAGE_BYTES / BYTES_PER_MB


def rules_text(upstreams: int, domains: int) -> str:
    """Return rules for services of 1,200 upstreams, two replicas a shard."""
    lines = []
    for number in range(upstreams):
        service, place = divmod(number, UPSTREAMS_PER_SERVICE)
        if place == 0:
            lines.append(f"service service-{service} # Ops, 2026-11: one of many")
        lines.append(
            f"upstream up-{number} domain=domain-{number % domains} "
            f"address=10.{number // 62_500}.{number // 250 % 250}.{number % 250}:8080 "
            f"slots=2 connections=25 connect=6ms # Ops ticket {number}"
        )
        if number % 2:
            first = place // 2 * 27
            lines.append(
                f"shard shard-{number} service=service-{service} "
                f"slots={first}-{first + 26} replicas=up-{number - 1},up-{number} "
                f"# Ops ticket {number}"
            )
    return "\n".join(lines) + "\n"


def main() -> None:
    """Build the tables; print memory, load time and cost of a change as JSON."""
    members, upstreams, domains = (int(word) for word in sys.argv[1:4])
    # Keeps the import of Node, so that its modules count towards the memory.
    assert Node is not None
    text = rules_text(upstreams, domains)
    manifest, data_by_digest = make_manifest(text, 1)
    texts = {digest: data.decode() for digest, data in data_by_digest.items()}
    del text, data_by_digest
    engine = make_engine("entry-0", "domain-0", random.Random(1))
    rows = [
        MemberRow(
            f"entry-{number}",
            f"domain-{number % domains}",
            "region-1",
            f"10.250.{number // 250}.{number % 250}:9101",
            incarnation=1_790_000_000_000 + number,
        )
        for number in range(members)
    ]
    started = time.process_time()
    engine.post(HostStarted(rows[0], tuple(rows)))
    engine.tick(0.0)
    engine.post(RevisionRead(manifest, texts, "platform"))
    del texts
    now_ms = 10_000.0
    while engine.world.rules is None:
        engine.tick(now_ms)
        now_ms += 1.0
    for upstream in engine.world.rules.upstream_by_id:
        apply_holdings_update(
            engine.world, HoldingsNews(upstream, 1, upstream, (1, 2), False), now_ms
        )
    load_cpu_s = time.process_time() - started
    gc.collect()
    peak_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024 / BYTES_PER_MB
    cost = {"mb": resident_mb(), "peak_mb": peak_mb, "load_s": load_cpu_s}
    cost |= apply_one_change(engine, rules_text(upstreams, domains), now_ms)
    sys.stdout.write(msgspec.json.encode(cost).decode())


def apply_one_change(engine: Engine, text: str, now_ms: float) -> dict[str, float]:
    """Apply a change of one line; return its processor time and changed chunks."""
    store = engine.world.fleet.store
    line = text.index("# Ops ticket 77\n")
    changed = text[:line] + "# Ops ticket 77: changed\n" + text[line + 16 :]
    new_manifest, data_by_digest = make_manifest(changed, 2)
    names = [(entry["name"], entry["digest"]) for entry in new_manifest["chunks"]]
    texts = {digest: data.decode() for digest, data in data_by_digest.items()}
    delta = store.delta_to(2, names, texts)
    engine.tick(now_ms + 10.0)
    started = time.process_time()
    engine.post(RulesDeltasReceived("entry-1", (delta,)))
    engine.tick(now_ms + 10.0)
    change_cpu_ms = (time.process_time() - started) * 1_000
    rules = engine.world.rules
    assert rules is not None
    assert rules.revision == 2
    return {"change_ms": change_cpu_ms, "changed_chunks": float(len(delta.changes))}


if __name__ == "__main__":
    main()
