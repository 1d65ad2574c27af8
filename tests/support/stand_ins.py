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
        self.out = 0  # number of attempts in flight
        self.most_out = 0  # the largest number of attempts that were in flight at once
        self.ended_connections = 0  # number of connections that the node has ended
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
        self.ended_connections += 1
        await session.close()


class DiscoveryStub:
    """A discovery service on loopback that answers each request with the next of the given lists of entries.

    It closes the connection after each list but the last one, whose watch stays open.
    """

    def __init__(self, *entry_lists: list[dict[str, Any]] | None) -> None:
        self.entry_lists = list(entry_lists)  # None stands for a line that is not JSON
        self.port = 0
        self.request_lines: list[str] = []
        self.ended_watches = 0  # number of watches that the node has ended

    async def start(self, tasks: TaskGroup) -> DiscoveryStub:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        self.port = port_of(listener)
        tasks.start_soon(listener.serve, self.serve)
        return self

    async def serve(self, stream: SocketStream) -> None:
        async with stream:
            try:
                request = await stream.receive()
            except anyio.EndOfStream:
                return  # the node has ended before it sent its request
            request_line = request.split(b"\r\n")[0].decode()
            self.request_lines.append(request_line)
            await stream.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            if self.entry_lists:
                entries = self.entry_lists.pop(0)
                rows = [b"{nonsense\n"] if entries is None else [orjson.dumps(row) + b"\n" for row in entries]
                for line in rows:
                    await stream.send(b"%x\r\n%s\r\n" % (len(line), line))
            if "watch" not in request_line:
                await stream.send(b"0\r\n\r\n")
            elif not self.entry_lists:
                with suppress(anyio.BrokenResourceError):
                    while True:
                        await stream.send(b"1\r\n\n\r\n")
                        await anyio.sleep(0.1)
                self.ended_watches += 1
