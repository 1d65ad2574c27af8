"""Serves the admin API: operators' calls over HTTP/1.1 that read or change the node's lifecycle state."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

import anyio
import h11
import orjson
import structlog

from larchlatch.node.fault_barrier import FaultBarrier
from larchlatch.node.wire.http import next_event
from larchlatch.node.wire.listen import AcceptError, Listener
from larchlatch.node.wire.stream import CONNECTION_ENDED_ERRORS, Ending, LineConnection

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    from anyio.abc import TaskGroup

    from larchlatch.node.lifecycle_state import LifecycleState
    from larchlatch.node.metrics import Counters
    from larchlatch.node.wire.http import HttpEvent

BACKLOG = 64  # connections that the operating system queues until they are accepted
MAX_CALLERS = 16  # served at once, as each uses a descriptor; a further one evicts the oldest
CALL_TIMEOUT_S = 5.0  # for a whole call, response included
MAX_HEAD_BYTES = 8192  # the longest head of a call
MAX_BODY_BYTES = 4096  # the longest body of a call; bodies are ignored
READ_BYTES = 4096  # per read
ACCEPT_RETRY_S = 0.02  # the pause after a connection could not be accepted

log = structlog.get_logger()


class AdminCounter(StrEnum):
    """Names of the counters of the admin API."""

    CALLER_EVICTED = "admin_caller_evicted"  # the oldest caller was evicted for a new one
    CALLER_LOST = "admin_caller_lost"  # a caller had ended its connection before the node could read from it
    CALL_UNFINISHED = "admin_call_unfinished"  # a call was evicted, or not complete in CALL_TIMEOUT_S
    CALL_ERROR = "admin_call_error"  # a fault of the node while it served a call


def response_counter(status: int) -> str:
    """Return the name of the counter for responses with an HTTP status."""
    return f"admin_response_{status}"


class Reply(NamedTuple):
    """The response to a call.

    Attributes:
        status: the HTTP status.
        body: the body, which is sent as JSON.
        headers: the names and values of headers that are sent in addition to those of every response.

    """

    status: int
    body: dict[str, object]
    headers: tuple[tuple[str, str], ...] = ()


class Route(NamedTuple):
    """The HTTP method that a path accepts, and the function that carries the call out."""

    method: str
    handler: Callable[[], Reply]


class AdminApi:
    """Serves the calls for readiness and for the start and stop of a drain, one call per connection.

    Args:
        lifecycle: the node's lifecycle state.
        drain: starts to release sessions; called after the lifecycle state has changed to draining.
        counters: the counters of calls.

    """

    def __init__(self, lifecycle: LifecycleState, drain: Callable[[], None], counters: Counters) -> None:
        self._lifecycle = lifecycle
        self._drain = drain
        self._counters = counters
        self._routes = {
            "/ops/readiness": Route("GET", self._readiness),
            "/ops/drain/start": Route("POST", self._start_drain),
            "/ops/drain/stop": Route("POST", self._stop_drain),
        }
        self._callers: dict[anyio.CancelScope, None] = {}  # oldest first

    async def run(self, listener: Listener) -> None:
        """Accept connections on a listener and serve their calls until cancelled."""
        async with anyio.create_task_group() as tasks:
            await self._accept(listener, tasks)

    async def _accept(self, listener: Listener, tasks: TaskGroup) -> None:
        while True:
            try:
                sock = await listener.accept()
            except AcceptError:
                await anyio.sleep(ACCEPT_RETRY_S)
                continue
            if len(self._callers) >= MAX_CALLERS:
                self._evict_oldest()
            scope = anyio.CancelScope()
            self._callers[scope] = None
            tasks.start_soon(self._serve, sock, scope)
            # `accept` does not wait while connections are queued: accepted callers are served here meanwhile.
            await anyio.lowlevel.checkpoint()

    def _evict_oldest(self) -> None:
        oldest = next(iter(self._callers))
        del self._callers[oldest]
        oldest.cancel()
        self._counters.add(AdminCounter.CALLER_EVICTED)

    async def _serve(self, sock: socket.socket, scope: anyio.CancelScope) -> None:
        """Serve one connection until its call is answered or its scope is cancelled."""
        try:
            barrier = FaultBarrier(self._counters, counter=AdminCounter.CALL_ERROR, event="admin_call_error")
            with barrier, scope:
                scope.deadline = anyio.current_time() + CALL_TIMEOUT_S
                await self._serve_caller(sock)
            if scope.cancelled_caught:
                self._counters.add(AdminCounter.CALL_UNFINISHED)
        finally:
            self._callers.pop(scope, None)

    async def _serve_caller(self, sock: socket.socket) -> None:
        connection = await LineConnection.of_socket(sock)
        if connection is None:
            self._counters.add(AdminCounter.CALLER_LOST)
            return
        try:
            await self._answer(connection)
        finally:
            await connection.close()

    async def _answer(self, connection: LineConnection) -> None:
        """Read one call and send its response, unless the caller has left before."""
        http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        try:
            reply = await self._handle_call(http, connection)
        except h11.RemoteProtocolError as error:
            reply = Reply(error.error_status_hint, {"error": str(error)})
        if reply is None:
            return
        self._counters.add(response_counter(reply.status))
        if await connection.send(encode_response(http, reply)):
            await connection.finish(Ending.END)

    async def _handle_call(self, http: h11.Connection, connection: LineConnection) -> Reply | None:
        """Read one call, carry it out and return its response, or None if the caller has left before."""
        request: h11.Request | None = None
        body_size = 0
        while (event := await receive_event(http, connection)) is not None:
            if isinstance(event, h11.Request):
                request = event
                rejection = self._rejection(request)
                if rejection is not None:
                    return rejection
            elif isinstance(event, h11.Data):
                body_size += len(event.data)
                if body_size > MAX_BODY_BYTES:
                    return Reply(413, {"error": "the body is too large"})
            elif isinstance(event, h11.EndOfMessage) and request is not None:
                return self._routes[path_of(request)].handler()
            else:
                break
        return None

    def _rejection(self, request: h11.Request) -> Reply | None:
        """Return the response to a call that is rejected by its head, or None if the head is valid."""
        route = self._routes.get(path_of(request))
        if route is None:
            return Reply(404, {"error": "no such call", "calls": sorted(self._routes)})
        if request.method.decode() != route.method:
            return Reply(405, {"error": f"this call is a {route.method}"}, (("Allow", route.method),))
        length = dict(request.headers).get(b"content-length", b"0")
        if int(length) > MAX_BODY_BYTES:  # h11 has checked that the header is a number
            return Reply(413, {"error": "the body is too large"})
        return None

    def _readiness(self) -> Reply:
        # Readiness is a state of the process: a draining node is ready, though no clients are sent to it.
        return Reply(200 if self._lifecycle.ready else 503, self._state())

    def _start_drain(self) -> Reply:
        log.info("drain_started", repeated=self._lifecycle.draining)
        self._lifecycle.start_drain(anyio.current_time())
        self._drain()
        return Reply(200, self._state())

    def _stop_drain(self) -> Reply:
        log.info("drain_stopped", repeated=not self._lifecycle.draining)
        self._lifecycle.end_drain()
        return Reply(200, self._state())

    def _state(self) -> dict[str, object]:
        state = self._lifecycle
        return {"ready": state.ready, "draining": state.draining, "stopping": state.stopping}


def path_of(request: h11.Request) -> str:
    """Return the path of a request's target, without the query."""
    return request.target.decode("latin-1").partition("?")[0]


async def receive_event(http: h11.Connection, connection: LineConnection) -> HttpEvent | None:
    """Return the next h11 event of a call, or None if the connection is broken.

    Raises:
        h11.RemoteProtocolError: the caller has violated HTTP/1.1.

    """
    try:
        return await next_event(http, connection.stream, READ_BYTES)
    except CONNECTION_ENDED_ERRORS:
        return None


def encode_response(http: h11.Connection, reply: Reply) -> bytes:
    """Return the bytes of a response, whose headers say that the connection is closed after it."""
    body = orjson.dumps(reply.body) + b"\n"
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
        ("Connection", "close"),
        *reply.headers,
    ]
    head = http.send(h11.Response(status_code=reply.status, headers=headers)) or b""
    return head + body
