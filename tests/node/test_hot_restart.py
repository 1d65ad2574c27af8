"""Hot restart: a successor takes over from the process that serves while clients are connected.

The clients count their answers, echoed lines, migrations and failures, and the upstreams count requests.
"""

from __future__ import annotations

import os
import signal
import socket
from collections import Counter
from contextlib import suppress
from pathlib import Path

import anyio
import pytest
from anyio.abc import TaskGroup

from larchlatch.cluster.keys import create_secret
from larchlatch.config.node import parse_node_configuration
from larchlatch.invariants.observations import SessionAdmitted, SessionRequested
from larchlatch.invariants.quota_safety import QuotaSafety
from larchlatch.node.clock import now_us
from larchlatch.node.hot_restart.channel import frame
from larchlatch.node.hot_restart.packets import (
    Hello,
    Serving,
    StateHandover,
    Welcome,
)
from larchlatch.node.hot_restart.rendezvous import Rendezvous, hello_of
from larchlatch.node.wire.stream import Ending, LineConnection
from tests.support.balancer_harness import SECOND_US
from tests.support.configuration import endpoint_row, node_configuration
from tests.support.hot_restart import READY, RestartedNode, connect_to_rendezvous
from tests.support.loopback import run_on_loopback, wait_until
from tests.support.node_process import NodeProcess, admin_address, call_admin_api
from tests.support.stand_ins import DiscoveryStub, UpstreamStubs


@pytest.mark.parametrize("mode", ["proxy", "pass"])
def test_two_hot_restarts_under_load_affect_no_client(mode: str, tmp_path: Path) -> None:
    """Guards against sessions that a handover loses, rejects, or attempts twice while new clients connect.

    All sessions are non-idempotent, so a second attempt of one is an error.
    """

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP echo").start(tasks, 3)
        node = await RestartedNode(tasks, tmp_path).start(upstreams, domain={"mode": mode})
        async with node.node_process() as first:
            for _ in range(15):
                tasks.start_soon(node.run_client)
            tasks.start_soon(node.start_clients, 100)
            await anyio.sleep(0.3)
            async with node.node_process() as second:
                assert (await call_admin_api(second.admin_address, READY))[0] == 200
                first.signal(signal.SIGTERM)
                async with node.node_process() as third:
                    second.signal(signal.SIGTERM)
                    assert await first.exit_code() == 0
                    assert await second.exit_code() == 0
                    lines_before = node.seen["lines"]
                    await anyio.sleep(0.5)
                    assert node.seen["lines"] > lines_before + node.seen["UP"], (
                        "established sessions continue"
                    )
                    assert (await call_admin_api(third.admin_address, READY))[0] == 200
        seen = node.seen
        assert set(seen) <= {"UP", "lines", "moved", "broken"}, "rejected or without an answer"
        assert seen["UP"] >= 30 and seen["broken"] <= seen["UP"]
        ids = Counter(endpoint.split()[1] for _, endpoint in upstreams.lines)
        assert max(ids.values()) == 1, "a non-idempotent session was attempted twice"
        assert len(ids) == seen["UP"]

    run_on_loopback(body)


def test_no_line_is_lost_or_duplicated_in_a_hot_restart(tmp_path: Path) -> None:
    """Guards against data lost in a handover that happens between the two pieces in which a line is sent."""

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP echo").start(tasks, 2)
        node = await RestartedNode(tasks, tmp_path).start(upstreams)
        async with node.node_process() as first, anyio.create_task_group() as clients:
            for _ in range(25):
                clients.start_soon(node.run_client, 0.005)
            await anyio.sleep(0.3)
            async with node.node_process():
                first.signal(signal.SIGTERM)
                assert await first.exit_code() == 0
                assert node.seen["UP"] == 25 and set(node.seen) == {"UP", "lines"}
                clients.cancel_scope.cancel()

    run_on_loopback(body)


def test_both_processes_together_keep_within_the_descriptor_limit(tmp_path: Path) -> None:
    """Guards against a successor that uses its whole limit while the predecessor has descriptors open."""

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP echo").start(tasks, 2)
        node = await RestartedNode(tasks, tmp_path).start(upstreams)
        limit = node.raw["limits"]["sockets"] = 256
        node.write()
        max_open = 0

        async def count_descriptors(*processes: NodeProcess) -> None:
            nonlocal max_open
            while True:
                open_descriptors = 0
                for running in processes:
                    with suppress(OSError):  # the process has ended
                        open_descriptors += len(os.listdir(f"/proc/{running.process.pid}/fd"))
                max_open = max(max_open, open_descriptors)
                await anyio.sleep(0.005)

        async with node.node_process() as first, anyio.create_task_group() as clients:
            for _ in range(140):  # more than there are descriptors for: some wait, some are shed
                clients.start_soon(node.run_client, 0.2)
            await anyio.sleep(1.0)
            async with node.node_process() as second:
                clients.start_soon(count_descriptors, first, second)
                first.signal(signal.SIGTERM)
                assert await first.exit_code() == 0
                await anyio.sleep(0.5)
                assert node.seen["moved"] == node.seen["broken"] == node.seen["turned back"] == 0
                assert 100 < max_open <= limit
                clients.cancel_scope.cancel()

    run_on_loopback(body)


def test_a_drain_continues_over_a_hot_restart(tmp_path: Path) -> None:
    """Guards against a drain that ends with a process: operators started it for the whole node."""

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP echo").start(tasks, 2)
        node = await RestartedNode(tasks, tmp_path).start(upstreams)
        async with node.node_process() as first:
            for _ in range(20):
                tasks.start_soon(node.run_client)
            await anyio.sleep(0.3)
            async with node.node_process() as second:
                # The drain starts at the predecessor while the successor serves.
                assert (await call_admin_api(first.admin_address, "POST /ops/drain/start"))[0] == 200
            # The successor has been killed: the predecessor accepts clients again, and its drain continues.
            async with node.node_process() as second:
                first.signal(signal.SIGTERM)
                assert '"draining":true' in (await call_admin_api(second.admin_address, READY))[1]
                host, _, port = node.raw["listen"].rpartition(":")
                front = LineConnection(await anyio.connect_tcp(host, int(port)))
                await front.send(b"PING\r\n")
                assert await front.line() == b"NO\r\n"
                assert await first.exit_code() == 0
                while node.seen["moved"] < node.seen["UP"]:
                    await anyio.sleep(0.02)
                assert node.seen["UP"] == 20 and not node.seen["broken"]
                assert (await call_admin_api(second.admin_address, "POST /ops/drain/stop"))[0] == 200
                await front.send(b"PING\r\n")
                assert await front.line() == b"PONG\r\n"

    run_on_loopback(body)


@pytest.mark.parametrize(
    "failure", ["silent end", "nonsense", "other version", "other node", "after it served"]
)
def test_the_predecessor_continues_to_serve_if_the_successor_fails(
    failure: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a predecessor that stops serving, or loses clients, for a successor that fails."""
    monkeypatch.setenv("TMPDIR", "")

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP echo").start(tasks, 2)
        node = await RestartedNode(tasks, tmp_path).start(upstreams)
        async with node.node_process() as first:
            for _ in range(5):
                tasks.start_soon(node.run_client)
            # A client still in the backlog would not be accepted once the successor reports that it serves.
            await wait_until(lambda: node.seen["UP"] == 5)
            channel = await connect_to_rendezvous(node)
            hello = hello_of(parse_node_configuration(node.raw))
            if failure == "nonsense":
                await channel.stream.send(b"GET / HTTP/1.1\r\n\r\n")
                assert await channel.receive() is None
            elif failure == "other version":
                await channel.stream.send(b"LL\x63" + frame(hello, 0)[3:])
                assert await channel.receive() is None
            elif failure == "other node":
                await channel.send(Hello("n9", hello.listen))
                assert await channel.receive() is None
            elif failure == "after it served":
                for packet, expected in ((hello, Welcome), (Serving(), StateHandover)):
                    await channel.send(packet)
                    received = await channel.receive()
                    assert received is not None and isinstance(received[0], expected)
                    for sock in received[1]:
                        sock.close()
                # Neither process accepts clients now; new ones wait in the backlog of the shared socket.
                tasks.start_soon(node.run_client)
                await anyio.sleep(0.2)
                assert node.seen["UP"] == 5
            await channel.close()
            await node.start_client()
            lines_before = node.seen["lines"]
            await anyio.sleep(0.3)
            assert node.seen["lines"] > lines_before
            assert set(node.seen) == {"UP", "lines"}
            # A real successor can still take over.
            async with node.node_process():
                first.signal(signal.SIGTERM)
                assert await first.exit_code() == 0
                assert set(node.seen) == {"UP", "lines"}

    run_on_loopback(body)


def test_the_successor_keeps_its_sessions_if_the_predecessor_is_killed(tmp_path: Path) -> None:
    """Guards against sessions lost at the successor when the predecessor is killed during the handover."""

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP echo").start(tasks, 2)
        node = await RestartedNode(tasks, tmp_path).start(upstreams)
        async with node.node_process() as first:
            for _ in range(30):
                tasks.start_soon(node.run_client)
            await anyio.sleep(0.5)
            async with node.node_process() as second:
                first.signal(signal.SIGTERM)
                await anyio.sleep(0.6)  # some of the sessions have been handed over, some not
                first.signal(signal.SIGKILL)
                await second.next_event("hot_restart_predecessor_ended")
                await node.start_client()
                await anyio.sleep(0.3)
                assert 0 < node.seen["broken"] < 30, (
                    "sessions handed over continue, the others ended with the predecessor"
                )
                lines_before = node.seen["lines"]
                await anyio.sleep(0.3)
                assert node.seen["lines"] > lines_before

    run_on_loopback(body)


def test_a_stale_or_foreign_rendezvous_file_does_no_harm(tmp_path: Path) -> None:
    """Guards against a node that can't start or be restarted because its rendezvous file exists already.

    The file is either no socket, or the socket of a process that was killed.
    """

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP echo").start(tasks)
        node = await RestartedNode(tasks, tmp_path).start(upstreams)
        rendezvous = Rendezvous(tmp_path, parse_node_configuration(node.raw, admin_address()))
        (tmp_path / rendezvous.name).write_bytes(b"no socket at all")
        async with node.node_process() as first:
            await node.start_client()
            first.signal(signal.SIGKILL)
            await first.exit_code()
        async with node.node_process() as second:  # the socket file of the first process still exists
            await node.start_client()
            async with node.node_process():
                second.signal(signal.SIGTERM)
                assert await second.exit_code() == 0
        assert node.seen["UP"] == 2

    run_on_loopback(body)


def test_a_hot_restart_without_discovery_uses_the_predecessors_list(tmp_path: Path) -> None:
    """Guards against a successor without upstreams: its configuration names none, and discovery is silent."""

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP echo").start(tasks, 2)
        rows = [endpoint_row(n, at) for n, at in enumerate(upstreams.addresses)]
        node = await RestartedNode(tasks, tmp_path).start(upstreams)
        discovery = await DiscoveryStub([{"revision": 9, "complete": True, "members": rows}], []).start(tasks)
        # The configuration names no upstream. Discovery lists them once and then sends nothing.
        node.raw["known"] = {"revision": 1, "complete": True, "members": []}
        node.raw["discovery"] = f"127.0.0.1:{discovery.port}"
        node.write()
        async with node.node_process() as first:
            await node.start_client()
            async with node.node_process() as second:
                first.signal(signal.SIGTERM)
                await node.start_client()
                assert await first.exit_code() == 0
                assert node.seen["UP"] == 2 and set(node.seen) <= {"UP", "lines"}
                assert (await call_admin_api(second.admin_address, READY))[0] == 200

    run_on_loopback(body)


def test_two_processes_of_a_node_together_keep_within_its_quota(tmp_path: Path) -> None:
    """Guards against a successor that admits a full quota on top of what the predecessor admitted."""
    checker = QuotaSafety(20.0, SECOND_US)
    admitted_after_handover: list[int] = []
    unanswered: set[str] = set()  # sessions without an answer; must be empty when the last process ends

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP echo").start(tasks, 3)
        node = await RestartedNode(tasks, tmp_path).start(upstreams)
        key, address = create_secret(tmp_path / "n0.key"), admin_address()
        (tmp_path / "cluster.toml").write_text(
            f'[[budgets]]\nname = "all"\nlinks_per_s = 20\ntariffs = ["once"]\n'
            f'[[nodes]]\nname = "n0"\naddress = "{address}"\nkey = "{key}"\n'
        )
        node.arguments = [
            "--cluster",
            str(tmp_path / "cluster.toml"),
            "--cluster-key",
            str(tmp_path / "n0.key"),
        ]

        async def session() -> None:
            started_at = now_us()
            client = await node.open_session()
            session_id = str(started_at)
            checker.observe(SessionRequested(started_at, session_id))
            unanswered.add(session_id)
            answer = await client.line()
            unanswered.discard(session_id)
            assert not isinstance(answer, Ending) and answer.split()[0] in (b"UP", b"BUSY")
            if answer.startswith(b"UP"):
                checker.observe(SessionAdmitted(now_us(), session_id))
            await client.close()

        async def send_requests() -> None:
            while anyio.current_time() < requests_end_at:
                tasks.start_soon(session)
                await anyio.sleep(0.02)

        async with node.node_process() as first:
            requests_end_at = anyio.current_time() + 14.0
            tasks.start_soon(send_requests)
            await anyio.sleep(6.0)
            async with node.node_process() as second:
                assert (await call_admin_api(second.admin_address, READY))[0] == 200
                handed_over_at = now_us()
                first.signal(signal.SIGTERM)
                assert await first.exit_code() == 0
                await wait_until(lambda: anyio.current_time() > requests_end_at + 0.1 and not unanswered)
                admitted_after_handover.extend(
                    admission.seen_at
                    for admission in checker.admissions
                    if admission.seen_at > handed_over_at
                )

    run_on_loopback(body)
    assert checker.excess() == 0 and checker.used_share() > 0.3
    assert len(admitted_after_handover) >= 10, "the successor admitted too few sessions after the handover"


def test_a_process_that_was_stopped_judges_no_upstream_unresponsive(tmp_path: Path) -> None:
    """Guards against upstreams that are judged unresponsive although the node itself did not run.

    While the process is stopped, their answers stay unread. It must migrate no session and shed no client.
    """

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP slow echo").start(tasks, 3)
        node = await RestartedNode(tasks, tmp_path).start(upstreams)
        async with node.node_process() as running, anyio.create_task_group() as clients:
            for _ in range(30):
                clients.start_soon(node.run_client, 0.0)
            await wait_until(lambda: node.seen["UP"] == 30)
            for _ in range(3):
                running.signal(signal.SIGSTOP)
                await anyio.sleep(0.9)
                running.signal(signal.SIGCONT)
                await anyio.sleep(0.3)
            running.signal(signal.SIGUSR1)
            counters = await running.next_event("counters")
            assert not {"upstream_unresponsive", "sessions_migrated", "sessions_shed"} & set(counters), (
                counters
            )
            assert counters.get("upstream_not_judged_node_lag", 0) >= 3
            assert set(node.seen) == {"UP", "lines"}
            clients.cancel_scope.cancel()

    run_on_loopback(body)


def test_a_platform_without_unix_sockets_only_lacks_hot_restart(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a node with an admin API and a TMPDIR that can't start without Unix sockets."""

    def raise_unsupported(family: int, kind: int) -> socket.socket:
        raise OSError(97, "Address family not supported by protocol")

    rendezvous = Rendezvous(tmp_path, parse_node_configuration(node_configuration([], 1)))
    monkeypatch.setattr(socket, "socket", raise_unsupported)
    assert rendezvous.connect() is None and rendezvous.listen() is None
