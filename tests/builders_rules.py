"""Build rules texts and settings for tests."""

import json

from hypothesis import strategies as st

DIGEST = "ab" * 32
RULES = f"""\
# Rules of the demo.

service leave-search completion=latency deadline=900ms hedge=3.5% # HR lead: August
service notify # Support desk
upstream planner-1 domain=waw-a address=10.1.0.4:8080 slots=2 connections=25 connect=6ms # Ops
upstream planner-2 domain=krk-a address=[fd00::2]:8080 slots=2 connections=25 # Ops
shard leave-1 service=leave-search slots=8192-16383 replicas=planner-2 # Ops
shard leave-0 service=leave-search slots=0-8191 replicas=planner-1,planner-2 documents=12 # Ops
caller payroll key=sha256:{DIGEST} # Payroll lead
allow payroll service=leave-search kinds=fetch,search rate=2.5/s # Payroll lead
leaving planner-2 # Ops: new disks
"""  # noqa: E501

SETTINGS = {
    "host": "entry-1",
    "domain": "waw-a",
    "region": "waw",
    "caller_address": "127.0.0.1:0",
    "peer_address": "127.0.0.1:0",
    "operator_address": "127.0.0.1:0",
    "platform_addresses": ["127.0.0.1:9000"],
    "seeds": [{"host": "entry-2", "domain": "krk-a", "peer_address": "127.0.0.1:9001"}],
    "peer_key": "sixteen-or-more-characters",
}


def settings_bytes(**changes):
    return json.dumps(SETTINGS | changes).encode()


ODD_WORDS = ["#", "=", "slots=5-1", "hedge=99%", "\x00", "\r", "\ud800", "rate=١/s"]
WORDS = st.sampled_from([*RULES.split(), *ODD_WORDS, "9" * 5000])
PLAUSIBLE_TEXTS = st.lists(st.lists(WORDS, max_size=8).map(" ".join), max_size=6).map(
    "\n".join
)
ANY_TEXTS = st.one_of(st.text(), PLAUSIBLE_TEXTS)


@st.composite
def rules_texts(draw):
    """Draw a valid rules text of services, shards, callers and allow rules."""
    lines = ["upstream u domain=d address=10.0.0.1:1 slots=1 connections=1 # Ops"]
    services = draw(st.lists(st.sampled_from("abcdef"), unique=True))
    for service in services:
        lines.append(f"service {service} hedge={draw(st.integers(0, 500)) / 100}% # HR")
        for index, first in enumerate(draw(st.lists(st.integers(0, 16383)))):
            last = draw(st.integers(first, 16383))
            lines.append(
                f"shard {service}-{index} service={service} "
                f"slots={first}-{last} replicas=u # Ops: {index}"
            )
    if services:
        lines.append(f"caller c key=sha256:{DIGEST} # HR")
        rate = draw(st.integers(1, 10**6)) / 1000
        lines.append(f"allow c service={services[0]} kinds=fetch rate={rate}/s # HR")
    return "\n".join(draw(st.permutations(lines)))
