"""A node that reads late: what lay unread for long is answered in time, or served."""

from __future__ import annotations

import signal
from pathlib import Path

import anyio
import orjson
import pytest
from anyio.abc import TaskGroup

from larchlatch.node.wire.stream import Ending
from larchlatch.policy.types import Outcome
from tests.ground import (
    SECOND,
    Discovery,
    Ground,
    Upstreams,
    configuration,
    dial,
    on_loopback,
    opened,
    process,
)
from tests.test_node import NEWS

STOPPED_S = 1.2  # seconds: twice what an attempt takes at these upstreams


def test_lines_that_lay_unread_are_turned_away_at_once_where_too_little_time_is_left(tmp_path: Path) -> None:
    async def body(tasks: TaskGroup) -> None:
        upstreams = await Upstreams("late UP echo").start(tasks)
        discovery = await Discovery([NEWS]).start(tasks)
        raw = configuration(upstreams.addresses, discovery.port, domain={"tells_delay": False})
        path = tmp_path / "node.json"
        path.write_bytes(orjson.dumps(raw))
        async with process(path) as node:
            first = await opened(node.port)  # lets the node measure what an attempt takes
            assert await first.line() == b"UP echo\r\n"
            node.signal(signal.SIGSTOP)
            # The system accepts all of these meanwhile; the node reads them when they have waited.
            short = [
                await opened(node.port, 1500, traffic_class) for traffic_class in ("rerun", "ticket", "once")
            ]
            long = await opened(node.port, 3000)
            bad, front, half = [await dial(node.port) for _ in range(3)]
            await bad.send(b"OPEN a b c=none,t=acme,d=1500\r\n")
            await front.send(b"PING\r\n")
            await half.send(b"OPEN idhalf k c=rerun,t=ac")
            await anyio.sleep(STOPPED_S)
            node.signal(signal.SIGCONT)
            for client in short:
                answer = await client.line()
                assert isinstance(answer, bytes) and answer.startswith(b"BUSY "), "with when to come back"
                assert isinstance(await client.line(), Ending), "nothing after it"
            assert len(upstreams.lines) <= 2, "an attempt that could not end in time"
            assert await bad.line() == b"ERR\r\n"
            assert await front.line() == b"PONG\r\n"
            await half.send(b"me,d=3000\r\n")
            for client in (long, half):
                assert await client.line() == b"UP echo\r\n"
            assert len(upstreams.lines) == 3
            for client in (first, long, half):
                await client.send(b"go\r\n")
                assert await client.line() == b"go\r\n"
            node.signal(signal.SIGUSR1)
            assert (await node.told("counters"))["requests_shed_unread"] == 3

    on_loopback(body)


@pytest.mark.parametrize("took", [20_000, 400_000])
def test_what_a_setup_takes_is_a_running_mean_of_those_that_came_to_stand(took: int) -> None:
    ground = Ground()
    assert ground.balancer.wait(ground.now).setup_us == 0, "nobody is turned away by a guess"
    for _ in range(30):
        session = ground.arrive()
        ground.now += took
        ground.end(session, Outcome.ESTABLISHED)
    assert ground.balancer.wait(ground.now).setup_us == took
    failing = ground.arrive()
    ground.now += SECOND
    ground.end(failing, Outcome.REJECTED)
    assert ground.balancer.wait(ground.now).setup_us == took
    for _ in range(40):
        session = ground.arrive()
        ground.now += 2 * took
        ground.end(session, Outcome.ESTABLISHED)
    assert 1.9 * took < ground.balancer.wait(ground.now).setup_us <= 2 * took
