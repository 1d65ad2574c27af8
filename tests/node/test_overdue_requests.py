"""Requests that waited for a long time before the node read them: they are shed in time, or served."""

from __future__ import annotations

import signal
from pathlib import Path

import anyio
import orjson
import pytest
from anyio.abc import TaskGroup

from larchlatch.node.wire.stream import Ending
from larchlatch.policy.types import Outcome
from tests.support.balancer_harness import SECOND_US, BalancerHarness
from tests.support.clients import connect, open_session
from tests.support.configuration import node_configuration
from tests.support.loopback import run_on_loopback
from tests.support.node import EMPTY_CHANGE
from tests.support.node_process import node_process
from tests.support.stand_ins import DiscoveryStub, UpstreamStubs

SUSPENDED_S = 1.2  # twice the time that an attempt takes at these upstreams


def test_unread_requests_with_too_little_time_left_are_shed_at_once(tmp_path: Path) -> None:
    """After a node was suspended, attempts that can't succeed would take time from those that can.

    Requests arrive while the node is suspended. When it continues, it must shed those that have less time
    left than an attempt takes, and serve the others.
    """

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("late UP echo").start(tasks)
        discovery = await DiscoveryStub([EMPTY_CHANGE]).start(tasks)
        raw = node_configuration(upstreams.addresses, discovery.port, domain={"tells_delay": False})
        path = tmp_path / "node.json"
        path.write_bytes(orjson.dumps(raw))
        async with node_process(path) as node:
            first = await open_session(node.port)  # lets the node measure how long an attempt takes
            assert await first.line() == b"UP echo\r\n"
            node.signal(signal.SIGSTOP)
            # The operating system accepts these connections; the node reads them once it continues.
            short_wait = [
                await open_session(node.port, 1500, traffic_class)
                for traffic_class in ("rerun", "ticket", "once")
            ]
            long_wait = await open_session(node.port, 3000)
            rejected, front, incomplete = [await connect(node.port) for _ in range(3)]
            await rejected.send(b"OPEN a b c=none,t=acme,d=1500\r\n")
            await front.send(b"PING\r\n")
            await incomplete.send(b"OPEN idhalf k c=rerun,t=ac")
            await anyio.sleep(SUSPENDED_S)
            node.signal(signal.SIGCONT)
            for client in short_wait:
                answer = await client.line()
                assert isinstance(answer, bytes) and answer.startswith(b"BUSY "), (
                    "the answer advises no wait before a retry"
                )
                assert isinstance(await client.line(), Ending), "another line follows the final answer"
            assert len(upstreams.lines) <= 2, "an attempt was made that could not end in time"
            assert await rejected.line() == b"ERR\r\n"
            assert await front.line() == b"PONG\r\n"
            await incomplete.send(b"me,d=3000\r\n")
            for client in (long_wait, incomplete):
                assert await client.line() == b"UP echo\r\n"
            assert len(upstreams.lines) == 3
            for client in (first, long_wait, incomplete):
                await client.send(b"go\r\n")
                assert await client.line() == b"go\r\n"
            node.signal(signal.SIGUSR1)
            assert (await node.next_event("counters"))["requests_shed_unread"] == 3

    run_on_loopback(body)


@pytest.mark.parametrize("took", [20_000, 400_000])
def test_setup_time_is_the_running_mean_of_established_sessions(took: int) -> None:
    """A wrong setup time makes the node shed requests that it could serve, or serve those it should shed.

    Attempts that fail must not change it, and it must follow sessions that take longer.
    """
    harness = BalancerHarness()
    assert harness.balancer.due_actions(harness.now).setup_us == 0, "setup time without any session"
    for _ in range(30):
        session = harness.arrive()
        harness.now += took
        harness.finish_attempt(session, Outcome.ESTABLISHED)
    assert harness.balancer.due_actions(harness.now).setup_us == took
    failing = harness.arrive()
    harness.now += SECOND_US
    harness.finish_attempt(failing, Outcome.REJECTED)
    assert harness.balancer.due_actions(harness.now).setup_us == took
    for _ in range(40):
        session = harness.arrive()
        harness.now += 2 * took
        harness.finish_attempt(session, Outcome.ESTABLISHED)
    assert 1.9 * took < harness.balancer.due_actions(harness.now).setup_us <= 2 * took
