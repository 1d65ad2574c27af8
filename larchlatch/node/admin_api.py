"""The operators' door: HTTP/1.1, one call to a connection. It asks and tells the node's phase alone."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import anyio
import h11
import orjson
import structlog

from larchlatch.node.wire.listen import Listener, NoAccept, stream_of
from larchlatch.node.wire.stream import GONE, Ending, Lines

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.abc import SocketStream, TaskGroup

    from larchlatch.node.lifecycle_state import LifecycleState
    from larchlatch.node.metrics import Counters

BACKLOG = 64  # callers that wait to be accepted
CALLERS = 16  # calls at once; each holds a descriptor, so the oldest makes way for the next
CALL_S = 5.0  # for a whole call: a caller that says nothing holds nothing for longer
MOST_HEAD = 8192  # bytes of a call's head
MOST_BODY = 4096  # and of its body, which says nothing here
CHUNK = 4096  # bytes read at a time
PAUSE_S = 0.02  # before the next look where nothing can be accepted

log = structlog.get_logger()


class Reply(NamedTuple):
    status: int
    told: dict[str, object]
    headers: tuple[tuple[str, str], ...] = ()


class AdminApi:
    def __init__(self, phase: LifecycleState, drain: Callable[[], None], counters: Counters) -> None:
        self.phase = phase
        self.counters = counters
        self.calls: dict[str, tuple[str, Callable[[], Reply]]] = {
            "/ops/readiness": ("GET", self.readiness),
            "/ops/drain/start": ("POST", self.start_drain),
            "/ops/drain/stop": ("POST", self.stop_drain),
        }
        self.drain = drain
        self.callers: dict[anyio.CancelScope, None] = {}  # oldest first

    async def run(self, listener: Listener) -> None:
        async with anyio.create_task_group() as tasks:
            await self.accept(listener, tasks)

    async def accept(self, listener: Listener, tasks: TaskGroup) -> None:
        while True:
            try:
                sock = await listener.accept()
            except NoAccept:
                await anyio.sleep(PAUSE_S)
                continue
            if len(self.callers) >= CALLERS:
                oldest = next(iter(self.callers))
                del self.callers[oldest]
                oldest.cancel()
                self.counters.add("door: caller turned out")
            scope = anyio.CancelScope()
            self.callers[scope] = None
            tasks.start_soon(self.serve, await stream_of(sock), scope)
            await anyio.lowlevel.checkpoint()

    async def serve(self, stream: SocketStream, scope: anyio.CancelScope) -> None:
        caller = Lines(stream)
        try:
            with scope:
                scope.deadline = anyio.current_time() + CALL_S
                await self.answered(caller)
            if scope.cancelled_caught:
                self.counters.add("door: call not finished")
        except Exception:
            self.counters.add("door: call failed")
            log.exception("an operator's call failed")
        finally:
            self.callers.pop(scope, None)
            await caller.close()

    async def answered(self, caller: Lines) -> None:
        http = h11.Connection(h11.SERVER, max_incomplete_event_size=MOST_HEAD)
        try:
            reply = await self.reply(http, caller)
        except h11.RemoteProtocolError as error:
            reply = Reply(error.error_status_hint, {"error": str(error)})
        if reply is None:
            return
        self.counters.add(f"door: answered {reply.status}")
        body = orjson.dumps(reply.told) + b"\n"
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
            ("Connection", "close"),
            *reply.headers,
        ]
        head = http.send(h11.Response(status_code=reply.status, headers=headers)) or b""
        if await caller.send(head + body):
            await caller.finish(Ending.END)

    async def reply(self, http: h11.Connection, caller: Lines) -> Reply | None:
        """What a call is answered, once it is whole; None where its caller has left."""
        request: h11.Request | None = None
        size = 0
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                try:
                    http.receive_data(await caller.stream.receive(CHUNK))
                except anyio.EndOfStream:
                    http.receive_data(b"")
                except GONE:
                    return None
            elif isinstance(event, h11.Request):
                request = event
                refusal = self.refusal(request)
                if refusal is not None:
                    return refusal
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > MOST_BODY:
                    return Reply(413, {"error": "the body is too large"})
            elif isinstance(event, h11.EndOfMessage) and request is not None:
                return self.calls[path_of(request)][1]()
            else:
                return None

    def refusal(self, request: h11.Request) -> Reply | None:
        call = self.calls.get(path_of(request))
        if call is None:
            return Reply(404, {"error": "no such call", "calls": sorted(self.calls)})
        if request.method.decode() != call[0]:
            return Reply(405, {"error": f"this call is a {call[0]}"}, (("Allow", call[0]),))
        length = dict(request.headers).get(b"content-length", b"0")
        if int(length) > MOST_BODY:  # a whole number, h11 has seen to that
            return Reply(413, {"error": "the body is too large"})
        return None

    def readiness(self) -> Reply:
        # Of the process, not of the drain: a drained node is well, it only wants no clients.
        return Reply(200 if self.phase.ready else 503, self.told())

    def start_drain(self) -> Reply:
        log.info("drain", on=True, again=self.phase.draining)
        self.phase.start_drain(anyio.current_time())
        self.drain()
        return Reply(200, self.told())

    def stop_drain(self) -> Reply:
        log.info("drain", on=False, again=not self.phase.draining)
        self.phase.end_drain()
        return Reply(200, self.told())

    def told(self) -> dict[str, object]:
        phase = self.phase
        return {"ready": phase.ready, "draining": phase.draining, "stopping": phase.stopping}


def path_of(request: h11.Request) -> str:
    return request.target.decode("latin-1").partition("?")[0]
