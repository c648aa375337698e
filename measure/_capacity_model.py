"""Model a node's load at the target size from measured slopes."""

from __future__ import annotations

from typing import NamedTuple

NODES = 6_100
UPSTREAMS = 150_000
QUERIES_PER_SECOND = 2_600_000
FAN_OUT = 1_200
ANSWER_MS = 95
DOMAINS = 21
CHANGES_PER_DAY = 84_000
REPLACEMENTS_PER_DAY = 14_160
SECONDS_PER_DAY = 86_400
SLOTS_PER_UPSTREAM = 2
CONTROL_CPU_MS_PER_SECOND = 47
CONTROL_BYTES_PER_SECOND = 4_096
CONTROL_MEMORY_MB = 256
PLATFORM_READS_PER_SECOND = 2_000
US_PER_CORE_SECOND = 1_000_000
US_PER_MS = 1_000
BYTES_PER_MB = 1_000_000
MS_PER_SECOND = 1_000

TARGET: dict[str, float] = {
    "nodes": NODES,
    "upstreams": UPSTREAMS,
    "queries a second": QUERIES_PER_SECOND,
    "upstreams a query": FAN_OUT,
    "failure domains": DOMAINS,
    "configuration changes a day": CHANGES_PER_DAY,
    "hosts failed or replaced a day": REPLACEMENTS_PER_DAY,
    "control processor time a node, ms a second": CONTROL_CPU_MS_PER_SECOND,
    "control bytes a node a second": CONTROL_BYTES_PER_SECOND,
    "control memory a node, MB": CONTROL_MEMORY_MB,
}

MEASURED: list[tuple[str, str, str]] = [
    ("slope.entry_us_fixed", "us a query", "12 to 1,200 parts"),
    (
        "slope.entry_us_per_part",
        "us",
        "12 to 1,200 parts, the target; not extrapolated",
    ),
    ("slope.entry_us_per_owner", "us", "1 to 4 owners; to 285, 71 times"),
    ("slope.owner_us_fixed", "us a query", "12 to 1,200 parts"),
    (
        "slope.owner_us_per_part",
        "us",
        "12 to 1,200 parts, the target; not extrapolated",
    ),
    ("slope.owner_us_per_owner", "us", "1 to 4 owners; to 285, 71 times"),
    ("slope.idle_us_per_owned_upstream", "us a second", "1,200 upstreams"),
    ("slope.request_bytes_per_part", "bytes", "5 to 25 parts"),
    ("slope.answer_bytes_per_part", "bytes", "5 to 25 parts"),
    ("slope.answer_bytes_fixed", "bytes", "5 to 25 parts, 20 hits"),
    ("slope.memory_bytes_per_open_part", "bytes", "20 queries of 1,200 parts"),
    ("placement.owners_per_query_group_1", "hosts", "290 hosts, as at the target"),
    ("placement.most_to_mean_load_group_1", "of mean", "290 hosts, 7,143 upstreams"),
    ("slope.control_bytes_base", "bytes a second", "9 to 290 members"),
    ("slope.control_bytes_per_member", "bytes a second", "9 to 290 members"),
    (
        "slope.control_bytes_per_domain_over_members",
        "bytes a second",
        "measured at 1 to 6 domains of 30 hosts, extrapolated to 21 domains of 290",
    ),
    ("slope.control_bytes_per_change", "bytes", "changes a second, as at the target"),
    ("slope.control_bytes_per_member_change", "bytes", "replacements a second"),
    ("slope.control_cpu_ms_base", "ms a second", "9 to 290 members"),
    ("slope.control_cpu_ms_per_member", "ms a second", "9 to 290 members"),
    (
        "slope.control_cpu_ms_per_domain_over_members",
        "ms a second",
        "measured at 1 to 6 domains of 30 hosts, extrapolated to 21 domains of 290",
    ),
    ("slope.control_cpu_ms_per_change", "ms", "changes a second, as at the target"),
    ("slope.control_cpu_ms_per_member_change", "ms", "replacements a second"),
    (
        "slope.memory_bytes_per_upstream",
        "bytes",
        "150,000 rows, all created in memory for the measurement",
    ),
    (
        "slope.memory_bytes_per_member",
        "bytes",
        "6,100 rows, all created in memory for the measurement",
    ),
]


class Load(NamedTuple):
    """Describe a load at the target size, its limit and the module that handles it."""

    role: str
    quantity: str
    formula: str
    value: float
    unit: str
    limit: float | None
    mechanism: str


def data_loads(slope: dict[str, float]) -> list[Load]:
    """Return the loads that queries put on one node or upstream."""
    queries = QUERIES_PER_SECOND / NODES
    parts = queries * FAN_OUT
    owners = slope["placement.owners_per_query_group_1"]
    entry_us = (
        slope["slope.entry_us_fixed"]
        + FAN_OUT * slope["slope.entry_us_per_part"]
        + (owners - 1) * slope["slope.entry_us_per_owner"]
    )
    owner_us = (
        slope["slope.owner_us_fixed"]
        + FAN_OUT * slope["slope.owner_us_per_part"]
        + (owners - 1) * slope["slope.owner_us_per_owner"]
    )
    open_parts = parts * ANSWER_MS / MS_PER_SECOND
    bytes_per_part = (
        slope["slope.request_bytes_per_part"] + slope["slope.answer_bytes_per_part"]
    )
    hit_bytes = queries * owners * slope["slope.answer_bytes_fixed"]
    per_upstream = QUERIES_PER_SECOND * FAN_OUT / UPSTREAMS
    return [
        Load("entry", "queries", "queries / nodes", queries, "a second", None, "node"),
        Load(
            "entry",
            "processor time",
            f"queries x ({entry_us / US_PER_MS:.4g} ms: fixed + 1,200 parts"
            f" + {owners:g} owners)",
            queries * entry_us / US_PER_CORE_SECOND,
            "cores",
            1,
            "systems/search_system.py",
        ),
        Load(
            "entry",
            "messages to and from owners",
            f"queries x {owners:g} owners x 2",
            queries * owners * 2,
            "a second",
            None,
            "clients/peer_client.py",
        ),
        Load(
            "entry and owner",
            "state of open parts",
            f"parts x {ANSWER_MS} ms x bytes a part",
            open_parts * slope["slope.memory_bytes_per_open_part"] / BYTES_PER_MB,
            "MB",
            None,
            "tables/search_row.py",
        ),
        Load(
            "entry and owner",
            "bytes between hosts",
            "parts x bytes a part, and the hits of each owner's answer",
            (parts * bytes_per_part + hit_bytes) / BYTES_PER_MB,
            "MB a second each way",
            None,
            "messages/peer.py",
        ),
        Load("owner", "parts", "queries x 1,200", parts, "a second", None, "placement"),
        Load(
            "owner",
            "processor time",
            f"queries x ({owner_us / US_PER_MS:.4g} ms: fixed + 1,200 parts"
            f" + {owners:g} owners)",
            queries * owner_us / US_PER_CORE_SECOND,
            "cores",
            1,
            "systems/owner_system.py",
        ),
        Load(
            "owner",
            "processor time of the most loaded",
            "the same x most to mean load",
            queries
            * owner_us
            / US_PER_CORE_SECOND
            * slope["placement.most_to_mean_load_group_1"],
            "cores",
            1,
            "placement.py",
        ),
        Load(
            "upstream",
            "subqueries",
            "queries x 1,200 / upstreams",
            per_upstream,
            "a second",
            None,
            "none of ours",
        ),
        Load(
            "upstream",
            "time a subquery may hold a slot",
            f"{SLOTS_PER_UPSTREAM} slots / subqueries",
            SLOTS_PER_UPSTREAM / per_upstream * MS_PER_SECOND,
            "ms",
            None,
            "none of ours",
        ),
    ]


def control_loads(slope: dict[str, float]) -> list[Load]:
    """Return the loads that membership and configuration put on one node."""
    members = NODES / DOMAINS
    changes = CHANGES_PER_DAY / SECONDS_PER_DAY
    replacements = REPLACEMENTS_PER_DAY / SECONDS_PER_DAY
    upstreams_per_node = UPSTREAMS / NODES
    health_check_ms = (
        upstreams_per_node * slope["slope.idle_us_per_owned_upstream"] / US_PER_MS
    )
    control_bytes = _control_load(slope, "bytes", members, changes, replacements)
    core_cpu_ms = _control_load(slope, "cpu_ms", members, changes, replacements)
    memory = (
        UPSTREAMS * slope["slope.memory_bytes_per_upstream"]
        + NODES * slope["slope.memory_bytes_per_member"]
    ) / BYTES_PER_MB
    formula = "base, members, domains / members, changes, replacements x slopes"
    return [
        Load(
            "member",
            "bytes",
            formula,
            control_bytes,
            "a second",
            CONTROL_BYTES_PER_SECOND,
            "systems/probe_system.py",
        ),
        Load(
            "member",
            "processor time of the core",
            formula,
            core_cpu_ms,
            "ms a second",
            CONTROL_CPU_MS_PER_SECOND,
            "systems/config_system.py",
        ),
        Load(
            "owner",
            "health checks",
            f"{upstreams_per_node:.3g} owned upstreams x slope",
            health_check_ms,
            "ms a second",
            CONTROL_CPU_MS_PER_SECOND,
            "systems/holdings_system.py",
        ),
        Load(
            "member and owner",
            "processor time of control in all",
            "the two above",
            core_cpu_ms + health_check_ms,
            "ms a second",
            CONTROL_CPU_MS_PER_SECOND,
            "engine.py",
        ),
        Load(
            "member",
            "memory",
            "upstreams and members x bytes a row",
            memory,
            "MB",
            CONTROL_MEMORY_MB,
            "tables/rows.py",
        ),
        Load(
            "member",
            "a failure domain lost",
            f"{members:.3g} members at once x bytes a change, spread by probes",
            members * slope["slope.control_bytes_per_member_change"] / BYTES_PER_MB,
            "MB once",
            None,
            "systems/probe_system.py",
        ),
    ]


def platform_read_loads(slope: dict[str, float]) -> list[Load]:
    """Return the reads a second that all nodes together send to the platform."""
    return [
        Load(
            "reader",
            f"platform reads, {name}",
            "counted from the schedule",
            slope[f"platform.reads_per_second_{figure}_6100"],
            "a second, all nodes",
            PLATFORM_READS_PER_SECOND,
            "clients/platform_reader.py",
        )
        for name, figure in (("steady", "steady"), ("all start at once", "cold_start"))
    ]


def _control_load(
    slope: dict[str, float],
    quantity: str,
    members: float,
    changes: float,
    replacements: float,
) -> float:
    prefix = f"slope.control_{quantity}"
    return (
        slope[f"{prefix}_base"]
        + members * slope[f"{prefix}_per_member"]
        + (DOMAINS - 1) / members * slope[f"{prefix}_per_domain_over_members"]
        + changes * slope[f"{prefix}_per_change"]
        + replacements * slope[f"{prefix}_per_member_change"]
    )
