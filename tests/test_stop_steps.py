"""Check that a host stops in its time, whichever of the steps fails or hangs."""

import asyncio
import errno
import time

import pytest
from loguru import logger

from burdockmill.fast_start_service import run_until_stopped
from burdockmill.messages.actions import LogDecision
from tests.builders_addresses import free_address
from tests.builders_forwarding_node import Site, until

GRACE_MS = 1_500
STEPS = (
    "_stop.run",
    "supervisor.close",
    "data_path.close",
    "peers.close",
    "source.close",
    "listener_by_surface.peer.close",
    "listener_by_surface.ingress.close",
)


class ClosableLog:
    def __init__(self):
        self.closed = False

    def close(self):
        self.closed = True


@pytest.fixture
def logged():
    lines = []
    sink = logger.add(lines.append, format="{message}")
    yield lines
    logger.remove(sink)


def replace_step(node, path, step):
    """Replace a method of a part of the host, named by a path of attributes."""
    *owners, method = path.split(".")
    owner = node
    for name in owners:
        owner = owner[name] if isinstance(owner, dict) else getattr(owner, name)
    setattr(owner, method, step)


async def fail(*_):
    raise ZeroDivisionError("a step that fails")


async def hang(*_):
    while True:
        await asyncio.sleep(60.0)


def decide_at_the_end(node):
    """Let the core make a last decision as it is closed."""
    close = node._pump.close

    def decide_and_close():
        decision = LogDecision("answer", "r-1", "a last decision", "")
        node.actions.log_decision(decision, node.clock.now_ms())
        close()

    node._pump.close = decide_and_close


async def accepts_clients(node):
    try:
        _, writer = await asyncio.open_connection(
            *node.settings.ingress_address.split(":")
        )
    except OSError:
        return False
    writer.close()
    return True


@pytest.mark.parametrize("step", [fail, hang])
@pytest.mark.parametrize("path", STEPS)
async def test_a_step_that_fails_or_hangs_keeps_no_host_from_stopping_in_time(
    path, step, logged
):
    async with Site(stop_grace_ms=GRACE_MS, balancer_lag_ms=100) as site:
        await site.ready()
        node = site.nodes[0]
        node.log_writer = ClosableLog()
        replace_step(node, path, step)
        decide_at_the_end(node)
        begun_s = time.monotonic()
        await node.stop()
        assert (time.monotonic() - begun_s) * 1_000 < GRACE_MS
        assert node.log_writer.closed
        if "ingress" not in path:
            assert not await accepts_clients(node)
        assert node.decisions._buffered_lines == []
    text = "".join(logged)
    assert "has stopped" in text
    assert "the stop goes on" in text


async def test_open_requests_are_answered_although_the_wait_for_them_fails():
    async with Site(stop_grace_ms=GRACE_MS, balancer_lag_ms=100) as site:
        await site.ready()
        node, upstream = site.nodes[0], site.upstream_by_service["c"]
        upstream.delay_s = 30.0
        client = site.client()
        await client.send("/once/x", method="POST", deadline_ms=20_000)
        await until(lambda: upstream.requests, "it arrives")
        node._stop.run = fail
        stopping = asyncio.ensure_future(node.stop())
        assert (await client.read(limit_s=GRACE_MS / 1_000)).status == 504
        await stopping


async def test_a_host_whose_listener_cannot_open_closes_the_others():
    async with Site(hosts=0) as site:
        taken = free_address()
        server = await asyncio.start_server(lambda *_: None, *taken.split(":"))
        starting = asyncio.ensure_future(
            site.start(free_address(), ready_address=taken)
        )
        with pytest.raises(OSError, match="address") as raised:
            await starting
        assert raised.value.errno == errno.EADDRINUSE
        node = site.nodes[0]
        assert set(node.listener_by_surface) == {"peer", "operator", "ingress"}
        await node.stop()
        assert not await accepts_clients(node)
        server.close()


@pytest.mark.parametrize("after_s", [0.0, 0.01, 0.05, 0.3])
async def test_a_host_that_is_stopped_at_any_moment_of_its_start_closes_all(after_s):
    async with Site(hosts=0) as site:
        # Without a store, a start waits for a catalog.
        starting = asyncio.ensure_future(
            site.start(free_address(), store_address=free_address())
        )
        await until(lambda: site.nodes, "the host starts")
        await asyncio.sleep(after_s)
        starting.cancel()
        await asyncio.wait((starting,))
        node = site.nodes[0]
        begun_s = time.monotonic()
        await node.stop()
        assert time.monotonic() - begun_s < 1.0
        assert not await accepts_clients(node)


def test_a_host_that_fails_to_start_is_stopped_and_its_error_is_logged(logged):
    steps = []

    class FailingHost:
        async def start(self):
            raise OSError("address in use")

        async def stop(self):
            steps.append("stops")

    with pytest.raises(OSError, match="address in use"):
        run_until_stopped(FailingHost, 1_000.0, lambda: None)
    assert steps == ["stops"]
    assert any("failed to start" in line for line in logged)
