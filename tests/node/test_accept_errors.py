"""Errors of one connection in an accept loop: the loop goes on, and so does the node."""

from __future__ import annotations

import errno
import socket
from typing import Any

import anyio
import pytest
from anyio.abc import TaskGroup

from larchlatch.node.admin_api import AdminApi, AdminCounter
from larchlatch.node.clients.connections import ClientConnections
from larchlatch.node.hot_restart import predecessor
from larchlatch.node.lifecycle_state import LifecycleState
from larchlatch.node.metrics import Counters
from larchlatch.node.wire.listen import AcceptError, Listener
from larchlatch.policy import admission
from tests.support.clients import open_session, read_to_end
from tests.support.loopback import run_on_loopback, wait_until
from tests.support.node import start_node_with
from tests.support.sockets import connect_and_reset
from tests.support.stand_ins import UpstreamStubs

CONNECTION_ERRORS = [
    errno.ECONNABORTED,
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.EPERM,
    # Network errors of the new connection that accept(2) names for TCP.
    errno.ENETDOWN,
    errno.EPROTO,
    errno.ENOPROTOOPT,
    errno.EHOSTDOWN,
    errno.ENONET,
    errno.EHOSTUNREACH,
    errno.EOPNOTSUPP,
    errno.ENETUNREACH,
]


class FailingSocket(socket.socket):
    """A listening socket whose `accept` fails with the given errors, in turn, and then accepts."""

    def __init__(self, listening: socket.socket, *errors: int) -> None:
        super().__init__(fileno=listening.detach())
        self._errors = list(errors)

    def accept(self) -> tuple[socket.socket, Any]:
        if self._errors:
            raise OSError(self._errors.pop(0), "from the test")
        return super().accept()


def failing_listener(*errors: int) -> Listener:
    return Listener(FailingSocket(Listener.bind(("127.0.0.1", 0), 16).sock, *errors))


@pytest.mark.parametrize("error", CONNECTION_ERRORS, ids=lambda error: errno.errorcode[error])
def test_an_error_of_one_connection_leaves_the_listener_usable(error: int) -> None:
    """Guards against a listener that takes a connection's network error for one of its own."""

    async def accept() -> None:
        listener = failing_listener(error)
        with listener.sock, pytest.raises(AcceptError):
            await listener.accept()

    anyio.run(accept)


def test_connections_behind_an_erroneous_one_are_accepted_at_the_stop() -> None:
    """Guards against clients in the backlog that are reset because one before them had left."""
    listener = failing_listener(errno.ECONNABORTED, errno.ENETDOWN)
    with listener.sock, socket.create_connection(listener.address):
        accepted = listener.accept_nowait()
        assert accepted is not None and listener.accept_nowait() is None
        accepted.close()


@pytest.mark.parametrize("error", [errno.EMFILE, errno.ENOMEM, errno.EBADF])
def test_accepting_at_the_stop_ends_if_no_connection_can_be_accepted(error: int) -> None:
    """Guards against a stop that tries for ever while no descriptor is free."""
    listener = failing_listener(error)
    with listener.sock, socket.create_connection(listener.address):
        assert listener.accept_nowait() is None


def test_an_error_of_the_listening_socket_is_raised() -> None:
    """Guards against a loop that would try for ever to accept from a socket that is closed."""

    async def accept() -> None:
        listener = failing_listener(errno.EINVAL)
        with listener.sock, pytest.raises(OSError, match="from the test"):
            await listener.accept()

    anyio.run(accept)


def test_callers_of_the_admin_api_are_served_after_a_network_error() -> None:
    """Guards against a node that one caller's network error ends."""

    async def body(tasks: TaskGroup) -> None:
        counters = Counters()
        api = AdminApi(LifecycleState(1.0, sessions_outlive_node=False), lambda: None, counters)
        listener = failing_listener(errno.EHOSTUNREACH, errno.ENETDOWN)
        tasks.start_soon(api.run, listener)
        connect_and_reset(listener.address)
        await wait_until(lambda: counters.counts[AdminCounter.CALLER_LOST] == 1)

    run_on_loopback(body)


def test_a_successor_is_accepted_after_its_connection_could_not_be_at_first() -> None:
    """Guards against a serving process that ends because no descriptor was free for its successor."""

    async def body(tasks: TaskGroup) -> None:
        listener = failing_listener(errno.EMFILE, errno.EAGAIN)
        with socket.create_connection(listener.address):
            sock = await predecessor._accept_one(listener.sock)
            assert not sock.getblocking()
            sock.close()

    run_on_loopback(body)


def test_a_fault_in_the_accept_loop_ends_only_the_connection_that_it_is_about(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a node that ends because of one late request; that client gets its one final answer."""

    def fail(connections: ClientConnections, sock: socket.socket, request: object) -> bool:
        raise ValueError("from the test")

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP r1").start(tasks)
        port = await start_node_with(tasks, upstreams)
        first = await open_session(port)
        assert await first.line() == b"UP r1\r\n"
        with monkeypatch.context() as patch:
            patch.setattr(admission, "is_overdue", lambda *, waited_us, setup_us: True)
            patch.setattr(ClientConnections, "shed_overdue", fail)
            assert await read_to_end(await open_session(port)) == [b"ERR\r\n"]
        later = await open_session(port)
        assert await later.line() == b"UP r1\r\n"

    run_on_loopback(body)
