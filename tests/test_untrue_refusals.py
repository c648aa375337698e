"""Check that no refusal of an upstream that may have run a request is passed on."""

import pytest

from burdockmill.errors import Ran
from tests.builders_forwarding import Run, failed, make_single_route
from tests.builders_forwarding_node import Site

REFUSALS = [408, 429, 503]
ONCE = make_single_route(is_idempotent=False)


@pytest.mark.parametrize("status", REFUSALS)
def test_a_request_that_may_run_once_is_not_refused_after_it_may_have_run(status):
    run = Run(ONCE)
    run.end(0, failed(status), 20.0)
    assert (run.result.status, run.result.ran) == (502, Ran.UNKNOWN)


@pytest.mark.parametrize("status", [400, 500, 502, 504])
def test_another_failure_of_a_request_that_may_run_once_is_passed_on(status):
    run = Run(ONCE)
    run.end(0, failed(status), 20.0)
    assert run.result.status == status
    assert run.result.stamp


@pytest.mark.parametrize("status", REFUSALS)
def test_a_refusal_of_a_request_that_may_be_repeated_is_passed_on(status):
    run = Run(make_single_route(attempts_limit=1))
    run.end(0, failed(status), 20.0)
    assert run.result.status == status


@pytest.mark.parametrize("target", ["/once/1", "/fetch/1"])
async def test_a_client_gets_no_stamp_with_another_status_than_the_upstreams(target):
    async with Site() as site:
        await site.ready()

        async def refuse(upstream, request, writer):
            writer.write(upstream.answer(request, b"no", "503 Service Unavailable"))

        site.upstream_by_service["c"].script = refuse
        answer = await site.client().ask(target, method="POST", deadline_ms=500)
        has_stamp = "x-burdockmill-server-stamp" in answer.headers
        expected = (502, False) if target == "/once/1" else (503, True)
        assert (answer.status, has_stamp) == expected
