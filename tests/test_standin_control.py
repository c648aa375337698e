import aiohttp
import msgspec
import pytest

from burdockmill.standins.control import StandinControl
from burdockmill.standins.platform import StandinPlatform
from burdockmill.standins.record_set import RecordSet
from burdockmill.standins.upstream import StandinUpstream


async def post(control, path, body):
    async with (
        aiohttp.ClientSession() as session,
        session.post(f"{control.url}{path}", data=body) as response,
    ):
        return response.status


async def test_faults_of_an_upstream_are_switched_on_and_off():
    upstream = StandinUpstream("u1", RecordSet.of_leave_requests(10))
    async with upstream, StandinControl(upstream) as control:
        body = msgspec.json.encode({"garbage": True, "shed_all": True})
        assert await post(control, "/standin/faults", body) == 200
        assert (upstream.faults.garbage, upstream.shed_all) == (True, True)
        assert await post(control, "/standin/faults", b"{}") == 200
        assert (upstream.faults.garbage, upstream.shed_all) == (False, False)


@pytest.mark.parametrize("body", [b"", b"[]", b'{"garbge": true}', b'{"garbage": 3}'])
async def test_unknown_or_malformed_faults_are_refused(body):
    upstream = StandinUpstream("u1", RecordSet.of_leave_requests(10))
    async with upstream, StandinControl(upstream) as control:
        assert await post(control, "/standin/faults", body) == 400


async def test_platform_publishes_rules_and_serves_a_stale_revision():
    async with StandinPlatform() as platform, StandinControl(platform) as control:
        for revision in (1, 2):
            path = f"/standin/rules?revision={revision}"
            assert await post(control, path, b"service a # x\n") == 200
        assert await post(control, "/standin/faults", b'{"stale_revision": 1}') == 200
        async with (
            aiohttp.ClientSession() as session,
            session.get(f"{platform.url}/v1/config/manifest") as response,
        ):
            assert (await response.json())["revision"] == 1
