"""Requests that a node rejects without an attempt."""

from __future__ import annotations

import os

import anyio
import anyio.to_thread
from anyio.abc import TaskGroup
from hypothesis import given, settings
from hypothesis import strategies as st

from larchlatch.node.wire.lines import BadLine, Opening, Up, attempt_line, parse_opening, parse_upstream_line
from larchlatch.node.wire.stream import Ending
from tests.support.clients import connect, open_session, read_to_end
from tests.support.loopback import run_on_loopback, wait_until
from tests.support.node import start_node_with
from tests.support.stand_ins import UpstreamStubs

INVALID_REQUESTS = [
    b"",
    b"HELLO\r\n",
    b"OPEN id1 k1\r\n",
    b"OPEN id1 k1 c=rerun,t=acme\r\n",
    b"OPEN id1 k1 c=rerun,c=rerun,d=100\r\n",
    b"OPEN id1 k1 c=rerun,t=acme,d=soon\r\n",
    b"OPEN id1 k1 c=unknown,t=acme,d=100\r\n",
    b"OPEN id1 k1 c=rerun,t=nobody,d=100\r\n",
    b"OPEN id1 k1 c=rerun,t=acme,d=100,h=nan\r\n",
    b"OPEN \xff k1 c=rerun,t=acme,d=100\r\n",
    b"OPEN id1 " + b"k" * 5000 + b" c=rerun,t=acme,d=100\r\n",
    b"OPEN id1 k\x07 c=rerun,t=acme,d=100\r\n",
    b"OPEN id1 k1 c=rerun,t=acme,d=-5\r\n",
    b"OPEN id1 k1 c=rerun,t=acme,d=99999999999999999999\r\n",
    b"OPEN id1 k1 c=rerun,t=acme,d=100\r\nOPEN id2 k2 c=rerun,t=acme,d=100\r\n",
    b"x" * 9000,
    b"x" * 300_000,
]


def test_invalid_requests_fail_and_affect_nothing_else() -> None:
    """An invalid request must not reach an upstream, disturb other sessions or leave a descriptor open."""

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP echo").start(tasks)
        port = await start_node_with(tasks, upstreams)
        established = await open_session(port, ident="mine")
        assert await established.line() == b"UP echo\r\n"
        open_before = len(os.listdir("/proc/self/fd"))
        for line in INVALID_REQUESTS:
            client = await connect(port)
            if line:
                await client.send(line)
                assert await read_to_end(client) == [b"ERR\r\n"], line[:60]
            await client.close()
        assert len(upstreams.lines) == 1
        await established.send(b"still there\r\n")
        assert await established.line() == b"still there\r\n"
        # No descriptor may stay open.
        await wait_until(lambda: len(os.listdir("/proc/self/fd")) <= open_before)

    run_on_loopback(body)


def test_the_id_of_an_open_session_is_rejected() -> None:
    """Upstreams answer the second use of an id with an error, which counts as their failure.

    So a few clients that reuse ids could cause the ejection of all known upstreams.
    """

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP echo").start(tasks)
        port = await start_node_with(tasks, upstreams)
        first = await open_session(port, ident="mine")
        assert await first.line() == b"UP echo\r\n"
        assert await read_to_end(await open_session(port, ident="mine", key="other")) == [b"ERR\r\n"]
        assert len(upstreams.lines) == 1
        await first.finish(Ending.END)
        while await (await open_session(port, ident="mine")).line() != b"UP echo\r\n":
            await anyio.sleep(0.02)

    run_on_loopback(body)


def test_a_second_line_before_the_answer_is_an_error() -> None:
    """Without this rejection, the node would relay a line that no upstream can parse."""

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("silent").start(tasks)
        client = await open_session(await start_node_with(tasks, upstreams))
        await wait_until(lambda: len(upstreams.lines) == 1)
        await client.send(b"and now?\r\n")
        assert await read_to_end(client) == [b"ERR\r\n"]
        await wait_until(lambda: upstreams.ended_connections == 1)

    run_on_loopback(body)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.binary(max_size=200), st.booleans())
def test_any_bytes_are_decoded_to_a_value(noise: bytes, opens: bool) -> None:
    line = (b"OPEN a b c=x,d=5," if opens else b"") + noise
    opening = parse_opening(line)
    if isinstance(opening, Opening):
        again = parse_opening(attempt_line(opening, 7_000))
        assert isinstance(again, Opening) and again.wait_ms == 7 and again.key == opening.key
    else:
        assert isinstance(opening, BadLine) or line.rstrip(b"\r\n") == b"PING"
    parse_upstream_line(noise)
    assert parse_upstream_line(b"UP receipt\r\n") == Up()
