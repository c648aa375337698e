"""Check that odd entries in the store keep no host from following it."""

import asyncio
from base64 import b64encode

from tests.builders_forwarding_node import Site, until
from tests.builders_hostile import odd_entries
from tests.builders_platform import single_route

CHANGE_LIMIT_MS = 3_000
LIMIT_S = CHANGE_LIMIT_MS / 1_000


async def follow(site, version):
    """Publish a version and wait until it is in force at all hosts."""
    prefix = f"/added-{version}/"
    site.publish(version=version, routes=[single_route("c", prefix=prefix)])
    await until(
        lambda: all(
            node.engine.world.catalog.version == version for node in site.nodes
        ),
        f"all hosts at version {version}",
        LIMIT_S,
    )
    return prefix


async def ask_all(site, prefix):
    for node in site.nodes:
        answer = await site.client(node).ask(f"{prefix}2f")
        assert answer.status == 200, answer.status


def write(site, key, value):
    site.store.put_text(key, b64encode(value).decode())


# Guards against review/1 for other bytes that an entry may hold.
async def test_hosts_follow_the_store_past_each_odd_entry():
    async with Site(hosts=3, change_limit_ms=CHANGE_LIMIT_MS) as site:
        await site.ready()
        entries = odd_entries()
        assert len(entries) >= 30
        prefix = "/fetch/"
        for version, (kind, (key, value)) in enumerate(entries.items(), start=8):
            write(site, key, value)
            if version % 8 == 0 or "deep" in kind or "close" in kind:
                prefix = await follow(site, version)
        prefix = await follow(site, 1_000)
        await ask_all(site, prefix)
        for node in site.nodes:
            assert node.supervisor.counts["store reader_failed"] == 0
            assert node.peers.counts["not_encodable"] == 0
            assert node.counts["ticks_failed"] == 0


async def test_hosts_follow_the_store_past_all_odd_entries_at_once():
    async with Site(hosts=3, change_limit_ms=CHANGE_LIMIT_MS) as site:
        await site.ready()
        for key, value in odd_entries().values():
            write(site, key, value)
        site.store.put_text("servers/i-no-base64", "***")
        await ask_all(site, await follow(site, 9))
        site.upstream_by_service["c"].upstream = "u-new"
        site.register("c")
        await until(
            lambda: all(
                "u-new" in node.engine.world.catalog.registration_by_upstream
                for node in site.nodes
            ),
            "a good entry beside them is used",
            LIMIT_S,
        )
        await asyncio.sleep(0)
        reader = max(site.nodes, key=lambda node: len(node.source.set_aside()))
        reasons = reader.source.set_aside()
        assert "servers/i-no-base64" in reasons
        assert max(map(len, reasons.values())) <= 200


async def test_a_host_starts_beside_all_odd_entries():
    async with Site() as site:
        await site.ready()
        for key, value in odd_entries().values():
            write(site, key, value)
        await site.nodes[0].stop()
        node = await site.start(site.nodes[0].settings.peer_address)
        await until(lambda: node.ready, "the host has a catalog", LIMIT_S)
