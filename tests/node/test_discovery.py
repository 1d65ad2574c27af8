"""Tests of the discovery client: after any fault the next call begins in time and brings the changes."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any

import anyio
import orjson
import pytest
from anyio.abc import SocketStream, TaskGroup
from hypothesis import given, settings
from hypothesis import strategies as st

from larchlatch.config.endpoints import decode_endpoint_list
from larchlatch.errors import InvalidInputError
from larchlatch.node import discovery
from larchlatch.node.discovery import (
    AGENT_TIMEOUTS,
    MAX_AGENT_PAUSE_S,
    MAX_CYCLE_S,
    SERVICE_TIMEOUTS,
    WATCH_SILENCE_S,
    DiscoveryClient,
)
from larchlatch.node.messages import EndpointsChanged, Message
from larchlatch.node.metrics import Counters
from larchlatch.node.wire import discovery_client
from larchlatch.node.wire.discovery_client import UNREAD_GRACE_S, CallTimeouts
from larchlatch.node.wire.json_framing import JsonObjectFramer
from larchlatch.node.wire.stream import LineConnection
from larchlatch.policy.types import EndpointState
from tests.support.clients import open_session
from tests.support.configuration import endpoint_row, node_configuration
from tests.support.loopback import port_of, run_on_loopback, wait_until
from tests.support.node import start_node
from tests.support.stand_ins import UpstreamStubs

KNOWN_WITHIN_S = 6.0  # a node has to know a change this long after discovery, if reachable, has it
NODE_DELAY_S = 1.0  # the part of KNOWN_WITHIN_S for delays in a busy node
SHORTEST_DRAIN_GRACE_S = 0.25 + 0.05  # as documented, with the protocol's tolerance
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
CHANGE = {"revision": 7, "complete": False, "members": [endpoint_row(0, "127.0.0.1:9", "terminating")]}
FULL_LIST = {**CHANGE, "complete": True}


def http_chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


TRICKLE_INTERVAL_S = 0.02


class ScriptedDiscovery:
    """A stand-in for discovery that serves each call by the next behaviour, and further calls by the last."""

    def __init__(self, *behaviours: Callable[[SocketStream], Awaitable[None]]) -> None:
        self.behaviours = list(behaviours)
        self.targets: list[str] = []
        self.open_calls = 0
        self.port = 0

    async def start(self, tasks: TaskGroup) -> ScriptedDiscovery:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        self.port = port_of(listener)
        tasks.start_soon(listener.serve, self.serve)
        return self

    async def serve(self, stream: SocketStream) -> None:
        behaviour = self.behaviours.pop(0) if len(self.behaviours) > 1 else self.behaviours[0]
        self.open_calls += 1
        async with stream:
            with suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                self.targets.append((await stream.receive()).split(b" ")[1].decode())
                await behaviour(stream)
        self.open_calls -= 1


async def wait_for_close(stream: SocketStream) -> None:
    """Read until the caller closes the connection, which raises `anyio.EndOfStream`."""
    while True:
        await stream.receive()


def sends_and_stalls(*parts: bytes) -> Callable[[SocketStream], Awaitable[None]]:
    """Return a behaviour that sends these parts and then nothing, and keeps the connection open."""

    async def behaviour(stream: SocketStream) -> None:
        for part in parts:
            await stream.send(part)
        await wait_for_close(stream)

    return behaviour


def sends_and_ends(*parts: bytes) -> Callable[[SocketStream], Awaitable[None]]:
    async def behaviour(stream: SocketStream) -> None:
        for part in parts:
            await stream.send(part)

    return behaviour


def sends_repeatedly(start: bytes, piece: bytes) -> Callable[[SocketStream], Awaitable[None]]:
    """Return a behaviour that sends the start, then the piece repeatedly until the caller closes."""

    async def send_pieces(stream: SocketStream) -> None:
        with suppress(anyio.BrokenResourceError):
            while True:
                await stream.send(piece)
                await anyio.sleep(TRICKLE_INTERVAL_S)

    async def behaviour(stream: SocketStream) -> None:
        await stream.send(start)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send_pieces, stream)
            # A read is always pending, so that a close by the caller is noticed at once.
            with suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                await wait_for_close(stream)
            tasks.cancel_scope.cancel()

    return behaviour


async def resets(stream: SocketStream) -> None:
    await LineConnection(stream).close(reset=True)


def streams_update(update: dict[str, Any]) -> Callable[[SocketStream], Awaitable[None]]:
    return sends_repeatedly(HEAD + http_chunk(orjson.dumps(update) + b"\n"), http_chunk(b"\n"))


REFUSAL = sends_and_ends(b"HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\n{}")
FAULTS = {
    "silent at once": sends_and_stalls(),
    "silent after its head": sends_and_stalls(HEAD),
    "silent in mid-line": sends_and_stalls(HEAD, http_chunk(b'{"revision":6,"comp')),
    "silent within an indented list": sends_and_stalls(
        HEAD, http_chunk(b'{\n "revision": 6,\n "members": [\n')
    ),
    "trickles bytes without a line": sends_repeatedly(
        HEAD + http_chunk(b'{"revision":6,"complete":"'), http_chunk(b"x")
    ),
    "trickles a head without an end": sends_repeatedly(b"HTTP/1.1 200 OK\r\nX: ", b"x"),
    "reset": resets,
    "refused": REFUSAL,
    "ends": sends_and_ends(HEAD, b"0\r\n\r\n"),
    "no HTTP": sends_and_ends(b"nonsense\r\n\r\n"),
    "nonsense": sends_and_stalls(HEAD, http_chunk(b"{nonsense\n")),
    "a line cut short, then another": sends_and_stalls(
        HEAD, http_chunk(b'{"revision":6,"complete":false,"members":[\n'), http_chunk(b"\n")
    ),
    "a string without an end": sends_and_stalls(HEAD, http_chunk(b'{"revision":"6\n')),
    "no list": sends_and_stalls(HEAD, http_chunk(b"[1]\n")),
}


class Mailbox:
    """A stand-in for the balancer actor's mailbox that keeps the messages of the discovery client."""

    def __init__(self) -> None:
        self.messages: list[Message] = []
        self.update_received = anyio.Event()
        self.has_space = anyio.Event()  # if not set, `post` waits as it does with a full mailbox
        self.has_space.set()

    async def post(self, message: Message) -> None:
        self.messages.append(message)
        if isinstance(message, EndpointsChanged):
            self.update_received.set()
        with anyio.CancelScope(shield=True):
            await self.has_space.wait()


def client_of(
    port: int, mailbox: Mailbox, uniform: Callable[[float, float], float], revision: int = 1
) -> DiscoveryClient:
    return DiscoveryClient(
        ("127.0.0.1", port),
        revision=revision,
        pushed=True,
        counters=Counters(),
        post=mailbox.post,
        uniform=uniform,
    )


def test_the_timeouts_of_discovery_stay_within_its_bounds() -> None:
    """With timeouts that are too long in sum, a change would reach the node later than it is expected to.

    The worst case is a change right after the start of a call that fails: only the next call brings it.
    """
    for timeouts in (AGENT_TIMEOUTS, SERVICE_TIMEOUTS):
        assert timeouts.connect_s + timeouts.silence_s < MAX_CYCLE_S, (
            "a call without progress has to end within its cycle"
        )
        assert MAX_CYCLE_S + timeouts.connect_s + NODE_DELAY_S <= KNOWN_WITHIN_S
    assert WATCH_SILENCE_S > 2.0 + 0.5, "a working watch sends a keep-alive every 2 s, at most 0.5 s late"
    assert AGENT_TIMEOUTS.answer_s + UNREAD_GRACE_S + MAX_AGENT_PAUSE_S < SHORTEST_DRAIN_GRACE_S, (
        "a node has to receive changes from a recovered agent within the grace of a drain"
    )


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    st.booleans(),
    st.lists(
        st.tuples(
            st.floats(0, SERVICE_TIMEOUTS.connect_s + WATCH_SILENCE_S),
            st.floats(0, 1),
            st.booleans(),
            st.booleans(),
        ),
        max_size=12,
    ),
)
def test_the_next_call_begins_within_the_cycle_whatever_went_before(
    pushed: bool, calls: list[tuple[float, float, bool, bool]]
) -> None:
    now, share = 1000.0, 0.0
    client = DiscoveryClient(
        ("127.0.0.1", 1),
        revision=1,
        pushed=pushed,
        counters=Counters(),
        post=Mailbox().post,
        uniform=lambda low, high: low + share * (high - low),
    )
    for took, share, updated, refused in calls:  # noqa: B007
        client.last_progress_at, client.refused = now, refused
        if updated:
            client.max_pause_s = discovery.FIRST_SERVICE_PAUSE_S
        pause = client.pause_s(now + took)
        assert pause <= MAX_AGENT_PAUSE_S or refused or not pushed
        assert 0 <= took + pause <= MAX_CYCLE_S + 1e-6
        now += took + pause


@pytest.mark.parametrize("fault", FAULTS)
def test_after_any_fault_the_next_call_brings_the_changes(
    fault: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A call that hangs after a fault of discovery, or is not repeated, would hide all later changes."""
    monkeypatch.setattr(discovery, "AGENT_TIMEOUTS", CallTimeouts(1.0, 0.3, 0.3))
    monkeypatch.setattr(discovery, "MAX_CYCLE_S", 0.5)

    async def body(tasks: TaskGroup) -> None:
        service = await ScriptedDiscovery(FAULTS[fault], FAULTS[fault], streams_update(CHANGE)).start(tasks)
        mailbox = Mailbox()
        async with anyio.create_task_group() as running:
            running.start_soon(client_of(service.port, mailbox, lambda low, high: high).run)
            await mailbox.update_received.wait()
            (update,) = [message for message in mailbox.messages if isinstance(message, EndpointsChanged)]
            assert update.endpoints.endpoints[0].state is EndpointState.DRAINING
            assert service.targets == ["/catalog/members?watch=1&from=1"] * 3
            assert service.open_calls == 1, "the connection of a call that has ended is closed at once"
            running.cancel_scope.cancel()
        await wait_until(lambda: service.open_calls == 0)

    run_on_loopback(body)


@pytest.mark.parametrize("before", ["silent at once", "silent in mid-line", "refused", "no list", "told"])
def test_a_new_address_is_called_at_once_whatever_the_old_one_does(
    before: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A call to the old address, or the pause after it, would delay the new list if it were not cancelled."""
    monkeypatch.setattr(discovery, "AGENT_TIMEOUTS", CallTimeouts(1.0, 1000.0, 1000.0))
    for name in ("MAX_CYCLE_S", "FIRST_SERVICE_PAUSE_S"):
        monkeypatch.setattr(discovery, name, 1000.0)

    async def body(tasks: TaskGroup) -> None:
        behaviour = streams_update({**CHANGE, "revision": 99}) if before == "told" else FAULTS[before]
        old = await ScriptedDiscovery(behaviour).start(tasks)
        new = await ScriptedDiscovery(streams_update(FULL_LIST)).start(tasks)
        mailbox = Mailbox()
        client = client_of(old.port, mailbox, lambda low, high: high)
        tasks.start_soon(client.run)
        await wait_until(
            lambda: bool(old.targets) and (before not in ("refused", "no list") or bool(mailbox.messages))
        )
        if before == "told":
            await mailbox.update_received.wait()
        mailbox.update_received = anyio.Event()
        client.change_address(("127.0.0.1", new.port))
        await mailbox.update_received.wait()
        assert new.targets[0] == "/catalog/members", "the complete list is fetched first"
        assert client.revision == 7
        await wait_until(lambda: old.open_calls == 0)

    # The response to a fetch ends with the list; the stand-in's response does not end, as that of a watch.
    monkeypatch.setattr(discovery_client, "fetch_list", first_update_of_watch)
    run_on_loopback(body)


async def first_update_of_watch(address: Any, path: str, timeouts: CallTimeouts) -> Any:
    async with discovery_client.open_get(address, path, timeouts) as body:
        while (update := await discovery_client.Watch(body, timeouts.silence_s).next()) is None:
            pass
        return update


def test_a_second_new_address_is_asked_for_its_complete_list() -> None:
    """A list from the first address must not count as the complete list of the second.

    The list is still being published when the address changes again. If it counted for the second address,
    the client would only watch that one, and never learn the upstreams of its complete list.
    """

    async def body(tasks: TaskGroup) -> None:
        line = http_chunk(orjson.dumps({**FULL_LIST, "revision": 50}) + b"\n")
        first = await ScriptedDiscovery(sends_and_ends(HEAD, line, b"0\r\n\r\n")).start(tasks)
        answer = HEAD + http_chunk(orjson.dumps(FULL_LIST) + b"\n") + b"0\r\n\r\n"
        second = await ScriptedDiscovery(sends_and_ends(answer), streams_update(CHANGE)).start(tasks)
        mailbox = Mailbox()
        mailbox.has_space = anyio.Event()  # the mailbox is full, so `post` waits with the first list
        client = client_of(1, mailbox, lambda low, high: low)
        client.change_address(("127.0.0.1", first.port))
        tasks.start_soon(client.run)
        await mailbox.update_received.wait()
        client.change_address(("127.0.0.1", second.port))
        mailbox.has_space.set()
        await wait_until(lambda: len(second.targets) >= 2)
        assert second.targets[:2] == ["/catalog/members", "/catalog/members?watch=1&from=7"]

    run_on_loopback(body)


@pytest.mark.parametrize("nameless", [False, True])
def test_one_invalid_entry_does_not_hide_the_changes_of_others(nameless: bool) -> None:
    """If an invalid entry rejected the whole list, the drains in the other entries would be missed.

    The upstream of the invalid entry stays as it was, even if the list is complete.
    """

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP r1").start(tasks, 3)
        rows = [
            endpoint_row(0, upstreams.addresses[0], "terminating"),
            {**endpoint_row(1, "nowhere"), "size": "large"},
            *([{"host_port": 7}] if nameless else []),
            endpoint_row(2, upstreams.addresses[2], "terminating"),
        ]
        service = await ScriptedDiscovery(
            streams_update({"revision": 9, "complete": True, "members": rows})
        ).start(tasks)
        port = await start_node(tasks, node_configuration(upstreams.addresses, service.port))
        for number in range(20):
            assert await (await open_session(port, key=f"key{number}")).line() == b"UP r1\r\n"
        assert {upstream for upstream, _ in upstreams.lines} == {1}

    run_on_loopback(body)


LIST_JSON = st.builds(
    lambda number, whole, text: {**CHANGE, "revision": number, "complete": whole, "note": text},
    st.integers(0, 2**40),
    st.booleans(),
    st.text(max_size=20),
)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(st.tuples(LIST_JSON, st.sampled_from([0, orjson.OPT_INDENT_2])), max_size=4), st.data())
def test_lists_are_read_however_they_are_set_and_cut(
    lists: list[tuple[dict[str, Any], int]], data: st.DataObject
) -> None:
    text = b"".join(orjson.dumps(update, option=how) + b"\n\n" for update, how in lists)
    cuts = sorted(data.draw(st.lists(st.integers(0, len(text)), max_size=6)))
    framing = JsonObjectFramer()
    pieces = []
    for low, high in zip([0, *cuts], [*cuts, len(text)], strict=True):
        pieces += framing.feed(text[low:high])
    assert [decode_endpoint_list(piece)[0].revision for piece in pieces if piece] == [
        update["revision"] for update, _ in lists
    ]
    assert pieces[1::2] == [b""] * len(lists)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(st.binary(max_size=40), max_size=5))
def test_any_bytes_on_a_watch_are_lists_or_one_protocol_error(noise: list[bytes]) -> None:
    framing = JsonObjectFramer()
    try:
        for piece in noise:
            for whole in framing.feed(piece + b"\n"):
                if whole:
                    decode_endpoint_list(whole)
    except InvalidInputError as error:
        assert str(error).startswith("list")


def test_revision_for_a_successor_is_that_of_the_entries_that_the_balancer_has() -> None:
    """Guards against a successor that gets old entries with the new revision, and never learns the change."""
    posted: list[Message] = []

    async def body(tasks: TaskGroup) -> None:
        scripted = await ScriptedDiscovery(streams_update(CHANGE)).start(tasks)
        handled = anyio.Event()

        async def post(message: Message) -> None:
            posted.append(message)
            await handled.wait()

        client = DiscoveryClient(
            ("127.0.0.1", scripted.port), revision=6, pushed=True, counters=Counters(), post=post, uniform=max
        )
        tasks.start_soon(client.run)
        await wait_until(lambda: bool(posted))
        assert client.applied_revision == 6
        client.record_applied(7)
        assert client.applied_revision == 7
        client.change_address(("127.0.0.1", 9))
        assert client.applied_revision == 0
        client.record_applied(7)
        assert client.applied_revision == 0, "an update of the former address"

    run_on_loopback(body)
