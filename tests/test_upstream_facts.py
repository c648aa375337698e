"""Check what a host learns from answers that came by way of another host."""

import msgspec
import pytest
from hypothesis import given, strategies as st

from burdockmill.forwarding.messages import AttemptEnd, AttemptOutcome
from burdockmill.relay.messages import ReplyKind, decode_reply, encode
from burdockmill.relay.upstream_facts import (
    FACTS_LIMIT_BYTES,
    REPLIES,
    decode_facts,
    encode_facts,
    fact_of,
)
from tests.builders_forwarding import answered, failed, make_registration
from tests.builders_forwarding_node import Site, until
from tests.test_relay import isolate, post_relayed, relayed


@pytest.fixture
async def site():
    async with Site(hosts=2) as started:
        await started.ready()
        hosts = [node.engine.world for node in started.nodes]
        await until(lambda: all(len(one.member_by_host) == 2 for one in hosts), "met")
        yield started


def answer_with(site, extra, status="200 OK"):
    """Let all upstreams answer with some header lines."""

    async def script(upstream, request, writer):
        body = upstream.body if status.startswith("200") else b"no"
        writer.write(upstream.answer(request, body, status, extra=extra))

    for upstream in site.upstream_by_service.values():
        upstream.script = script


def registration_of(node, service):
    upstreams = node.engine.world.catalog.upstreams_by_service[service]
    [registration] = upstreams.values()
    return registration


# Guards against review/5: a notice that came by way of another host is not learned.
@pytest.mark.parametrize(
    ("target", "services"), [("/fetch/1", ["c"]), ("/overlap/1", ["a", "b"])]
)
async def test_a_relayed_answer_of_a_leaving_upstream_teaches_the_entry(
    site, target, services
):
    answer_with(site, "Server-Leaving: 1\r\n")
    isolate(site.nodes[0])
    answer = await site.client().ask(target)
    assert answer.status == 200
    entry = site.nodes[0].data_path
    for service in services:
        assert entry.notices.is_leaving(registration_of(site.nodes[0], service))
    assert not entry.client.counts["attempts_answered"]


async def test_a_relayed_failure_of_a_leaving_upstream_teaches_the_entry(site):
    answer_with(site, "Server-Leaving: 1\r\n", "500 Internal Server Error")
    isolate(site.nodes[0])
    answer = await site.client().ask("/once/1", method="POST")
    assert answer.status == 500
    leaving = site.nodes[0].data_path.notices.is_leaving
    assert leaving(registration_of(site.nodes[0], "c"))


async def test_a_relayed_answer_that_names_a_limit_teaches_the_entry(site):
    for node in site.nodes:
        # Without the news that hosts exchange of limits.
        node.data_path.gate._post = lambda event: None
    answer_with(site, "Server-Limit: 3\r\n")
    isolate(site.nodes[0])
    answer = await site.client().ask("/fetch/1")
    assert answer.status == 200
    limits = site.nodes[0].engine.world.limits
    row = limits.of(registration_of(site.nodes[0], "c"))
    assert row is not None
    assert row.limit_per_s == 3.0


async def test_a_pause_is_asked_of_the_host_that_sent_the_request_alone(site):
    answer_with(
        site,
        "X-Burdockmill-Not-Executed: 1\r\nRetry-After: 5\r\n",
        "503 Service Unavailable",
    )
    isolate(site.nodes[0])
    await site.client().ask("/fetch/1", deadline_ms=400)
    registration = registration_of(site.nodes[0], "c")
    now_ms = site.nodes[0].clock.now_ms()
    assert site.nodes[1].data_path.notices.pause_ms(registration, now_ms) > 0.0
    assert site.nodes[0].data_path.notices.pause_ms(registration, now_ms) == 0.0


async def test_a_relayed_reply_shows_that_an_upstream_did_not_crash(site):
    guard = site.nodes[0].data_path.guard
    upstream = registration_of(site.nodes[0], "c")
    guard.crashed("key", upstream, 0, site.nodes[0].clock.now_ms())
    isolate(site.nodes[0])
    await site.client().ask("/fetch/1")
    assert guard.crash_count("key") == 0


async def test_the_reply_itself_is_as_hosts_of_earlier_builds_decode_it(site):
    answer_with(site, "Server-Leaving: 1\r\n")
    headers = (("Host", "leave.example"), ("X-Burdockmill-Request-Id", "r-1"))
    head = relayed(site)._replace(headers=headers)
    _, data = await post_relayed(site.nodes[1], encode(head, b""))
    reply, body = decode_reply(data)
    fields = msgspec.json.decode(data.partition(b"\n")[0])
    # Hosts of earlier builds refuse a reply with more fields than these.
    assert len(fields) == len(reply) == 11
    assert (reply.kind, body) == (ReplyKind.ANSWER, b"c" * 16)


def test_a_fact_names_the_run_of_the_upstream():
    registration = make_registration("u-1", started_ms=5)
    fact = fact_of(registration, answered()._replace(is_leaving=True))
    assert fact == {"upstream": "u-1", "started_ms": 5, "is_leaving": True}


async def test_facts_of_another_run_of_an_upstream_are_not_of_this_one(site):
    forwarder, world = site.nodes[0].data_path.forwarder, site.nodes[0].engine.world
    upstream = registration_of(site.nodes[0], "c")
    fact = {
        "upstream": upstream.upstream,
        "started_ms": upstream.started_ms - 1,
        "is_leaving": True,
        "limit_per_s": 2.0,
    }
    forwarder.learn([fact], 0.0, site.nodes[0].clock.now_ms())
    assert not site.nodes[0].data_path.notices.is_leaving(upstream)
    assert world.limits.of(upstream) is None


@pytest.mark.parametrize("end", [one for one in AttemptEnd if one not in REPLIES])
def test_an_upstream_without_a_reply_states_nothing(end):
    assert fact_of(make_registration(), AttemptOutcome(end)) is None


def test_an_answer_without_a_limit_names_none():
    outcome = failed()._replace(limit_per_s=float("inf"))
    assert "limit_per_s" not in fact_of(make_registration(), outcome)


def test_facts_that_say_something_come_first_if_not_all_fit():
    facts = [{"upstream": f"u-{number}", "started_ms": 1} for number in range(400)]
    facts.append({"upstream": "u-x", "started_ms": 1, "is_leaving": True})
    text = encode_facts(facts)
    assert len(text) <= FACTS_LIMIT_BYTES + 2
    assert decode_facts(text)[0]["upstream"] == "u-x"


@given(
    st.lists(
        st.fixed_dictionaries(
            {"upstream": st.text(max_size=30), "started_ms": st.integers(0, 2**53)},
            optional={
                "is_leaving": st.booleans(),
                "limit_per_s": st.floats(0.0, 1e9),
            },
        ),
        max_size=8,
    )
)
def test_facts_are_the_same_after_the_header(facts):
    text = encode_facts(facts)
    assert text.isascii()
    assert text.isprintable()
    decoded = decode_facts(text)
    assert sorted(map(repr, decoded)) == sorted(map(repr, facts))


@given(st.text(max_size=200))
def test_a_malformed_header_states_nothing(text):
    assert isinstance(decode_facts(text), list)


@pytest.mark.parametrize("text", ["", "[" * 100_000, '[{"upstream": 1}]', "{}"])
def test_a_header_that_is_no_list_of_facts_states_nothing(text):
    assert decode_facts(text) == []


def test_fields_of_later_builds_are_ignored():
    text = '[{"upstream": "u-1", "started_ms": 5, "mood": [1]}]'
    assert decode_facts(text) == [{"upstream": "u-1", "started_ms": 5}]
