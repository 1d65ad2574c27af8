"""Tests of a node that follows the endpoint list of a discovery stand-in."""

from __future__ import annotations

import math
import time

import anyio
import anyio.to_thread
from anyio.abc import TaskGroup

from larchlatch.policy.backoff import BACKOFF_US
from tests.support.clients import open_session
from tests.support.configuration import endpoint_row, node_configuration
from tests.support.loopback import run_on_loopback, wait_until
from tests.support.node import EMPTY_CHANGE, start_node, start_node_with
from tests.support.stand_ins import DiscoveryStub, UpstreamStubs


def test_the_list_is_followed_through_invalid_answers_and_broken_watches() -> None:
    """A node that stops following the list after a fault would place sessions on upstreams that are gone."""

    async def body(tasks: TaskGroup) -> None:
        old, new = await UpstreamStubs("UP old").start(tasks), await UpstreamStubs("UP new").start(tasks)
        gone_row = endpoint_row(0, old.addresses[0], "terminated")
        discovery = await DiscoveryStub(
            [],
            None,
            [{"revision": 2, "complete": False, "members": [gone_row, endpoint_row(1, new.addresses[0])]}],
        ).start(tasks)
        port = await start_node(tasks, node_configuration(old.addresses, discovery.port))
        await wait_until(lambda: len(discovery.request_lines) >= 3)
        while await (await open_session(port)).line() != b"UP new\r\n":
            await anyio.sleep(0.02)

    run_on_loopback(body)


def test_a_jump_of_the_revision_causes_no_further_call() -> None:
    """A node that fetches the complete list when the watch skips revisions would miss a drain meanwhile.

    Each object of a watch has all changes since the previous one, so the list is not necessary, and lists for
    all nodes at the same time would overload discovery.
    """

    async def body(tasks: TaskGroup) -> None:
        old, new = await UpstreamStubs("UP old").start(tasks), await UpstreamStubs("UP new").start(tasks)
        gone_row = endpoint_row(0, old.addresses[0], "terminated")
        discovery = await DiscoveryStub(
            [
                {"revision": 2, "complete": False, "members": []},
                {"revision": 5, "complete": False, "members": [endpoint_row(1, new.addresses[0])]},
                {"revision": 9, "complete": False, "members": [gone_row]},
            ]
        ).start(tasks)
        port = await start_node(tasks, node_configuration(old.addresses, discovery.port))
        while await (await open_session(port)).line() != b"UP new\r\n":
            await anyio.sleep(0.02)
        assert len(discovery.request_lines) == 1 and discovery.ended_watches == 0

    run_on_loopback(body)


def test_the_complete_list_is_fetched_when_the_revision_goes_back() -> None:
    """If discovery resets its revisions, changes alone would leave upstreams in use that are gone."""

    async def body(tasks: TaskGroup) -> None:
        old, new = await UpstreamStubs("UP old").start(tasks), await UpstreamStubs("UP new").start(tasks)
        discovery = await DiscoveryStub(
            [
                {"revision": 5, "complete": False, "members": []},
                {"revision": 2, "complete": False, "members": []},
            ],
            [{"revision": 2, "complete": True, "members": [endpoint_row(1, new.addresses[0])]}],
            [],
        ).start(tasks)
        port = await start_node(tasks, node_configuration(old.addresses, discovery.port))
        await wait_until(lambda: len(discovery.request_lines) >= 2)
        assert discovery.request_lines[1] == "GET /catalog/members HTTP/1.1"
        while await (await open_session(port)).line() != b"UP new\r\n":
            await anyio.sleep(0.02)

    run_on_loopback(body)


def test_an_upstream_replaced_at_its_address_gets_sessions_and_keeps_established_ones() -> None:
    """If upstreams were known by address alone, established sessions would end, or the new one get none."""

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP echo").start(tasks)
        gone_row, new_row = (
            endpoint_row(0, upstreams.addresses[0], "terminated"),
            endpoint_row(7, upstreams.addresses[0]),
        )
        replaced = {"revision": 3, "complete": False, "members": [gone_row, new_row]}
        discovery = await DiscoveryStub([EMPTY_CHANGE], [replaced], []).start(tasks)
        port = await start_node(tasks, node_configuration(upstreams.addresses, discovery.port))
        established = await open_session(port, key="stands")
        assert await established.line() == b"UP echo\r\n"
        await wait_until(lambda: len(discovery.request_lines) >= 3)
        later = await open_session(port, key="later")
        assert await later.line() == b"UP echo\r\n"
        await established.send(b"still there\r\n")
        assert await established.line() == b"still there\r\n"

    run_on_loopback(body)


def test_a_node_with_an_old_list_serves_by_the_upstreams_that_are_left() -> None:
    """While discovery is silent, each upstream that is gone may cost only a few refused connections.

    Without a backoff after a refused connection, sessions would use up their attempts on such upstreams.
    """

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP echo").start(tasks)
        upstreams.addresses = ["127.0.0.1:1"] * 9 + upstreams.addresses
        port = await start_node_with(tasks, upstreams)
        answers = []
        began = time.monotonic()
        for number in range(20):
            client = await open_session(port, key=f"k{number}")
            answers.append(await client.line())
        # Each upstream that is gone gets one attempt, and a further one after its backoff, which doubles: the
        # longer the test takes, the more such attempts are made. A session is shed after six of them.
        took_us = (time.monotonic() - began) * 1e6
        expected_refusals = sum(
            1 + int(math.log2(took_us / BACKOFF_US + 1)) for _ in upstreams.addresses[:-1]
        )
        assert set(answers) <= {b"UP echo\r\n", b"BUSY\r\n"}
        assert answers.count(b"BUSY\r\n") <= expected_refusals // 6, (answers, took_us)
        assert upstreams.most_out == 1

    run_on_loopback(body)
