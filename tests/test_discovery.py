"""Discovery at close range: whatever a call met, the next one comes in time, and news are acted on."""

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

from larchlatch.config.endpoints import decoded
from larchlatch.errors import InvalidInputError
from larchlatch.node import discovery as node_listing
from larchlatch.node.discovery import AGAIN_S, AGENT, CYCLE_S, SHARED, SILENCE_S, DiscoveryClient
from larchlatch.node.messages import EndpointsChanged, Message
from larchlatch.node.metrics import Counters
from larchlatch.node.wire import discovery_client as catalog
from larchlatch.node.wire.discovery_client import UNREAD_S, Framing, Limits
from larchlatch.node.wire.stream import Lines
from larchlatch.policy.types import EndpointState
from tests.ground import Upstreams, configuration, member, on_loopback, opened, port_of, until
from tests.test_node import serving

TOLD_S = 6.0  # a change counts as told so long after discovery had it and could be reached
LATE_S = 1.0  # what a node in a crowd may be late by, with room to spare
GRACE_S = 0.25 + 0.05  # the shortest grace of a drain that a page names, with the protocol's slack
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
NEWS = {"revision": 7, "complete": False, "members": [member(0, "127.0.0.1:9", "terminating")]}
WHOLE = {**NEWS, "complete": True}


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


class Service:
    """Discovery that serves one call after the other as told, the last way for all that follow."""

    def __init__(self, *ways: Callable[[SocketStream], Awaitable[None]]) -> None:
        self.ways = list(ways)
        self.asked: list[str] = []
        self.open = 0
        self.port = 0

    async def start(self, tasks: TaskGroup) -> Service:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        self.port = port_of(listener)
        tasks.start_soon(listener.serve, self.serve)
        return self

    async def serve(self, stream: SocketStream) -> None:
        way = self.ways.pop(0) if len(self.ways) > 1 else self.ways[0]
        self.open += 1
        async with stream:
            with suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                self.asked.append((await stream.receive()).split(b" ")[1].decode())
                await way(stream)
        self.open -= 1


async def over(stream: SocketStream) -> None:
    """Until the caller has ended it."""
    while True:
        await stream.receive()


def says(*parts: bytes) -> Callable[[SocketStream], Awaitable[None]]:
    """Says this and then nothing more."""

    async def way(stream: SocketStream) -> None:
        for part in parts:
            await stream.send(part)
        await over(stream)

    return way


def ends(*parts: bytes) -> Callable[[SocketStream], Awaitable[None]]:
    async def way(stream: SocketStream) -> None:
        for part in parts:
            await stream.send(part)

    return way


def trickles(start: bytes, piece: bytes) -> Callable[[SocketStream], Awaitable[None]]:
    async def way(stream: SocketStream) -> None:
        await stream.send(start)
        while True:
            await stream.send(piece)
            await anyio.sleep(0.02)

    return way


async def resets(stream: SocketStream) -> None:
    await Lines(stream).close(reset=True)


def tells(told: dict[str, Any]) -> Callable[[SocketStream], Awaitable[None]]:
    return trickles(HEAD + chunk(orjson.dumps(told) + b"\n"), chunk(b"\n"))


REFUSES = ends(b"HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\n{}")
FAULTS = {
    "silent at once": says(),
    "silent after its head": says(HEAD),
    "silent in mid-line": says(HEAD, chunk(b'{"revision":6,"comp')),
    "silent within an indented list": says(HEAD, chunk(b'{\n "revision": 6,\n "members": [\n')),
    "trickles bytes without a line": trickles(HEAD + chunk(b'{"revision":6,"complete":"'), chunk(b"x")),
    "trickles a head without an end": trickles(b"HTTP/1.1 200 OK\r\nX: ", b"x"),
    "reset": resets,
    "refused": REFUSES,
    "ends": ends(HEAD, b"0\r\n\r\n"),
    "no HTTP": ends(b"nonsense\r\n\r\n"),
    "nonsense": says(HEAD, chunk(b"{nonsense\n")),
    "a line cut short, then another": says(
        HEAD, chunk(b'{"revision":6,"complete":false,"members":[\n'), chunk(b"\n")
    ),
    "a string without an end": says(HEAD, chunk(b'{"revision":"6\n')),
    "no list": says(HEAD, chunk(b"[1]\n")),
}


class Heard:
    """What a listing has told."""

    def __init__(self) -> None:
        self.words: list[Message] = []
        self.told = anyio.Event()
        self.room = anyio.Event()  # the mailbox takes what comes
        self.room.set()

    async def post(self, word: Message) -> None:
        self.words.append(word)
        if isinstance(word, EndpointsChanged):
            self.told.set()
        with anyio.CancelScope(shield=True):
            await self.room.wait()


def followed(
    port: int, heard: Heard, uniform: Callable[[float, float], float], at: int = 1
) -> DiscoveryClient:
    return DiscoveryClient(("127.0.0.1", port), at, True, Counters(), heard.post, uniform)


def test_the_bounds_of_discovery_add_up() -> None:
    """The worst call has just begun when the news are there: it ends, and the next one brings them."""
    for limits in (AGENT, SHARED):
        assert limits.connect_s + limits.silence_s < CYCLE_S, (
            "a call that brings nothing ends within its cycle"
        )
        assert CYCLE_S + limits.connect_s + LATE_S <= TOLD_S
    assert SILENCE_S > 2.0 + 0.5, "a sound watch says something every 2 s, and may be a little late"
    assert AGENT.answer_s + UNREAD_S + AGAIN_S < GRACE_S, (
        "an agent that is back is heard within a drain's grace"
    )


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    st.booleans(),
    st.lists(
        st.tuples(st.floats(0, SHARED.connect_s + SILENCE_S), st.floats(0, 1), st.booleans(), st.booleans()),
        max_size=12,
    ),
)
def test_the_next_call_begins_within_the_cycle_whatever_went_before(
    pushed: bool, calls: list[tuple[float, float, bool, bool]]
) -> None:
    now, share = 1000.0, 0.0
    listing = DiscoveryClient(
        ("127.0.0.1", 1), 1, pushed, Counters(), Heard().post, lambda low, high: low + share * (high - low)
    )
    for took, share, told, refused in calls:  # noqa: B007
        listing.heard_at, listing.refused = now, refused
        if told:
            listing.again_s = node_listing.SHARED_AGAIN_S
        pause = listing.pause_s(now + took)
        assert pause <= AGAIN_S or refused or not pushed
        assert 0 <= took + pause <= CYCLE_S + 1e-6
        now += took + pause


@pytest.mark.parametrize("fault", FAULTS)
def test_after_any_fault_the_news_come_by_the_next_call(fault: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(node_listing, "AGENT", Limits(1.0, 0.3, 0.3))
    monkeypatch.setattr(node_listing, "CYCLE_S", 0.5)

    async def body(tasks: TaskGroup) -> None:
        service = await Service(FAULTS[fault], FAULTS[fault], tells(NEWS)).start(tasks)
        heard = Heard()
        async with anyio.create_task_group() as running:
            running.start_soon(followed(service.port, heard, lambda low, high: high).run)
            await heard.told.wait()
            (told,) = [word for word in heard.words if isinstance(word, EndpointsChanged)]
            assert told.endpoints.members[0].state is EndpointState.DRAINING
            assert service.asked == ["/catalog/members?watch=1&from=1"] * 3
            assert service.open == 1, "a call that is over is closed at once"
            running.cancel_scope.cancel()
        await until(lambda: service.open == 0)

    on_loopback(body)


@pytest.mark.parametrize("before", ["silent at once", "silent in mid-line", "refused", "no list", "told"])
def test_a_new_address_is_called_at_once_whatever_the_old_one_does(
    before: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """In the middle of a call, and of the pause after one: both would last beyond this test."""
    monkeypatch.setattr(node_listing, "AGENT", Limits(1.0, 1000.0, 1000.0))
    for name in ("CYCLE_S", "SHARED_AGAIN_S"):
        monkeypatch.setattr(node_listing, name, 1000.0)

    async def body(tasks: TaskGroup) -> None:
        way = tells({**NEWS, "revision": 99}) if before == "told" else FAULTS[before]
        old = await Service(way).start(tasks)
        new = await Service(tells(WHOLE)).start(tasks)
        heard = Heard()
        listing = followed(old.port, heard, lambda low, high: high)
        tasks.start_soon(listing.run)
        await until(lambda: bool(old.asked) and (before not in ("refused", "no list") or bool(heard.words)))
        if before == "told":
            await heard.told.wait()
        heard.told = anyio.Event()
        listing.follow(("127.0.0.1", new.port))
        await heard.told.wait()
        assert new.asked[0] == "/catalog/members", "the whole list first"
        assert listing.revision == 7
        await until(lambda: old.open == 0)

    # The answer of a fetch ends with the list; the stand-in's goes on, as a watch does.
    monkeypatch.setattr(catalog, "fetch", whole_of_watch)
    on_loopback(body)


async def whole_of_watch(address: Any, path: str, limits: Limits) -> Any:
    async with catalog.get(address, path, limits) as body:
        while (told := await catalog.Watch(body, limits.silence_s).next()) is None:
            pass
        return told


def test_a_second_new_address_during_the_first_is_asked_for_its_whole_list() -> None:
    """What the first one still tells, after the second was named, must not pass for the second's."""

    async def body(tasks: TaskGroup) -> None:
        line = chunk(orjson.dumps({**WHOLE, "revision": 50}) + b"\n")
        first = await Service(ends(HEAD, line, b"0\r\n\r\n")).start(tasks)
        answer = HEAD + chunk(orjson.dumps(WHOLE) + b"\n") + b"0\r\n\r\n"
        second = await Service(ends(answer), tells(NEWS)).start(tasks)
        heard = Heard()
        heard.room = anyio.Event()  # the module's mailbox is full: the first list waits there
        listing = followed(1, heard, lambda low, high: low)
        listing.follow(("127.0.0.1", first.port))
        tasks.start_soon(listing.run)
        await heard.told.wait()
        listing.follow(("127.0.0.1", second.port))
        heard.room.set()
        await until(lambda: len(second.asked) >= 2)
        assert second.asked[:2] == ["/catalog/members", "/catalog/members?watch=1&from=7"]

    on_loopback(body)


@pytest.mark.parametrize("nameless", [False, True])
def test_one_entry_that_is_wrong_costs_no_other_host_its_news(nameless: bool) -> None:
    """A drain beside it is heard; the host that it speaks of stays as it was, also in a whole list."""

    async def body(tasks: TaskGroup) -> None:
        upstreams = await Upstreams("UP r1").start(tasks, 3)
        rows = [
            member(0, upstreams.addresses[0], "terminating"),
            {**member(1, "nowhere"), "size": "large"},
            *([{"host_port": 7}] if nameless else []),
            member(2, upstreams.addresses[2], "terminating"),
        ]
        service = await Service(tells({"revision": 9, "complete": True, "members": rows})).start(tasks)
        port = await serving(tasks, configuration(upstreams.addresses, service.port))
        for number in range(20):
            assert await (await opened(port, key=f"key{number}")).line() == b"UP r1\r\n"
        assert {upstream for upstream, _ in upstreams.lines} == {1}

    on_loopback(body)


LISTS = st.builds(
    lambda number, whole, text: {**NEWS, "revision": number, "complete": whole, "note": text},
    st.integers(0, 2**40),
    st.booleans(),
    st.text(max_size=20),
)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(st.tuples(LISTS, st.sampled_from([0, orjson.OPT_INDENT_2])), max_size=4), st.data())
def test_lists_are_read_however_they_are_set_and_cut(
    lists: list[tuple[dict[str, Any], int]], data: st.DataObject
) -> None:
    text = b"".join(orjson.dumps(told, option=how) + b"\n\n" for told, how in lists)
    cuts = sorted(data.draw(st.lists(st.integers(0, len(text)), max_size=6)))
    framing = Framing()
    pieces = []
    for low, high in zip([0, *cuts], [*cuts, len(text)], strict=True):
        pieces += framing.feed(text[low:high])
    assert [decoded(piece)[0].revision for piece in pieces if piece] == [
        told["revision"] for told, _ in lists
    ]
    assert pieces[1::2] == [b""] * len(lists)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(st.binary(max_size=40), max_size=5))
def test_any_bytes_on_a_watch_are_lists_or_one_plain_complaint(noise: list[bytes]) -> None:
    framing = Framing()
    try:
        for piece in noise:
            for whole in framing.feed(piece + b"\n"):
                if whole:
                    decoded(whole)
    except InvalidInputError as error:
        assert str(error).startswith("list")
