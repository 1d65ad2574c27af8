"""Stand-ins for upstreams and for the discovery service, on loopback."""

from __future__ import annotations

from contextlib import suppress
from functools import partial
from typing import Any

import anyio
import orjson
from anyio.abc import SocketStream, TaskGroup

from larchlatch.node.wire.stream import Ending, LineConnection
from tests.support.loopback import port_of


class UpstreamStubs:
    """Upstreams on loopback that give attempts the listed answers in turn and count attempts in flight."""

    def __init__(self, *answers: str) -> None:
        self.answers = list(answers)  # the last one is given to all further attempts
        self.lines: list[tuple[int, str]] = []  # upstream and request line of each attempt
        self.out = 0
        self.most_out = 0
        self.ended = 0  # connections that the node has ended
        self.addresses: list[str] = []

    async def start(self, tasks: TaskGroup, number: int = 1) -> UpstreamStubs:
        for upstream in range(number):
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            self.addresses.append(f"127.0.0.1:{port_of(listener)}")
            tasks.start_soon(listener.serve, partial(self.serve, upstream))
        return self

    async def serve(self, upstream: int, stream: SocketStream) -> None:
        session = LineConnection(stream)
        line = await session.line()
        if isinstance(line, Ending):
            return
        answer = self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]
        self.lines.append((upstream, line.decode()))
        self.out += 1
        self.most_out = max(self.most_out, self.out)
        if answer == "reset":
            self.out -= 1
            await session.close(reset=True)
            return
        if answer.startswith("late "):
            await anyio.sleep(0.6)
            answer = answer.removeprefix("late ")
        established = answer.startswith("UP")
        self.out -= established
        if answer != "silent":
            await session.send(answer.encode() if answer.endswith("…") else f"{answer}\r\n".encode())
        while not isinstance(got := await session.line(), Ending):
            if answer == "UP echo":
                await session.send(got)
            elif answer == "UP slow echo":
                await anyio.sleep(0.15)
                await session.send(got)
            elif answer == "UP half":
                await session.send(b"half a li")
            elif answer == "UP flood":  # more than all buffers on the way to the node hold
                while await session.send(b"x" * 4000 + b"\r\n"):
                    pass
        self.out -= not established
        self.ended += 1
        await session.close()


class DiscoveryStub:
    """A discovery service on loopback that answers each request with the next story, a list of entries.

    It closes the connection after each story but the last one, whose watch stays open.
    """

    def __init__(self, *stories: list[dict[str, Any]] | None) -> None:
        self.stories = list(stories)  # None: a line that is not JSON
        self.port = 0
        self.asked: list[str] = []
        self.left = 0  # watches that the node has ended

    async def start(self, tasks: TaskGroup) -> DiscoveryStub:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        self.port = port_of(listener)
        tasks.start_soon(listener.serve, self.serve)
        return self

    async def serve(self, stream: SocketStream) -> None:
        async with stream:
            asked = (await stream.receive()).split(b"\r\n")[0].decode()
            self.asked.append(asked)
            await stream.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            if self.stories:
                story = self.stories.pop(0)
                rows = [b"{nonsense\n"] if story is None else [orjson.dumps(entry) + b"\n" for entry in story]
                for line in rows:
                    await stream.send(b"%x\r\n%s\r\n" % (len(line), line))
            if "watch" not in asked:
                await stream.send(b"0\r\n\r\n")
            elif not self.stories:
                with suppress(anyio.BrokenResourceError):
                    while True:
                        await stream.send(b"1\r\n\n\r\n")
                        await anyio.sleep(0.1)
                self.left += 1
