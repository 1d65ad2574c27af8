"""One process of a node follows another: what clients and hosts see of it is counted by them alone."""

from __future__ import annotations

import os
import random
import signal
import socket
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import replace
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import anyio
import orjson
import pytest
from anyio.abc import TaskGroup, UNIXSocketStream

from larchlatch.cluster.keys import create_secret
from larchlatch.config.endpoints import EndpointEntry, EndpointList
from larchlatch.config.node import parse_node_configuration
from larchlatch.config.upstream import UpstreamSettings
from larchlatch.errors import InvalidInputError
from larchlatch.invariants.observations import SessionAdmitted, SessionRequested
from larchlatch.invariants.quota_safety import QuotaSafety
from larchlatch.node.clients.connections import ClientConnections
from larchlatch.node.clock import now_us
from larchlatch.node.descriptor_budget import DescriptorBudget
from larchlatch.node.hot_restart.channel import Channel, frame
from larchlatch.node.hot_restart.packets import (
    Hello,
    Packet,
    Serving,
    SessionHandover,
    StateHandover,
    Welcome,
)
from larchlatch.node.hot_restart.rendezvous import Rendezvous, hello_of
from larchlatch.node.lifecycle_state import LifecycleState
from larchlatch.node.metrics import Counters
from larchlatch.node.upstream_registry import UpstreamRegistry
from larchlatch.node.wire.lines import MOVE
from larchlatch.node.wire.stream import Ending, Lines
from larchlatch.policy.balancer import Balancer
from larchlatch.policy.state_export import export_state, restore_state
from larchlatch.policy.types import Forward, Outcome, ProbeResult, Session
from tests.support.balancer_harness import SECOND_US, SETTINGS, endpoint
from tests.support.configuration import endpoint_row, node_configuration
from tests.support.loopback import run_on_loopback, wait_until
from tests.support.node import EMPTY_CHANGE
from tests.support.node_process import NodeProcess, admin_address, call_admin_api, node_process
from tests.support.stand_ins import DiscoveryStub, UpstreamStubs

READY = "GET /ops/readiness"


class Site:
    """A node's file, its shared folder, and clients that keep count of what they were answered."""

    def __init__(self, tasks: TaskGroup, path: Path) -> None:
        self.tasks = tasks
        self.path = path
        self.seen: Counter[str] = Counter()
        self.number = 0
        self.arguments: list[str] = []  # that its processes are started with

    async def start(self, upstreams: UpstreamStubs, **changes: Any) -> Site:
        discovery = await DiscoveryStub([EMPTY_CHANGE]).start(self.tasks)
        # The stand-ins share this machine with the tests: late by its load, hosts would count as slow, and
        # links be shed as they should. Nothing here is about slow hosts.
        changes["domain"] = {"tells_delay": False, **changes.get("domain", {})}
        self.raw = node_configuration(upstreams.addresses, discovery.port, **changes)
        self.raw["listen"] = admin_address()
        self.write()
        return self

    def write(self) -> None:
        (self.path / "node.json").write_bytes(orjson.dumps(self.raw))

    @asynccontextmanager
    async def node_process(self) -> AsyncIterator[NodeProcess]:
        door = admin_address()
        async with node_process(
            self.path / "node.json",
            more=self.arguments,
            EDGE_CONTROL=door,
            TMPDIR=str(self.path),
            PYTHONUNBUFFERED="1",
        ) as running:
            running.admin_address = door
            yield running

    async def opened(self) -> Lines:
        host, _, port = self.raw["listen"].rpartition(":")
        client = Lines(await anyio.connect_tcp(host, int(port)))
        self.number += 1
        await client.send(f"OPEN id{self.number} k{self.number} c=once,t=acme,d=3000,g=g\r\n".encode())
        return client

    async def talk(self, beat_s: float = 0.02) -> None:
        """A client for as long as it is let: a line at a time, each to come back before the next."""
        try:
            client = await self.opened()
            answer = await client.line()
            self.seen["no answer" if isinstance(answer, Ending) else answer.split()[0].decode()] += 1
            number = 0
            while answer in (b"UP echo\r\n", b"UP slow echo\r\n"):
                number += 1
                sent = f"line {number} of many\r\n".encode()
                # In two pieces: a hand-over may come between them.
                await client.send(sent[:6])
                await anyio.sleep(beat_s)
                await client.send(sent[6:])
                got = await client.line()
                if got != sent:
                    self.seen["moved" if got == MOVE else "broken"] += 1
                    return
                self.seen["lines"] += 1
        except OSError:
            self.seen["turned back"] += 1

    async def talk_once(self) -> None:
        """One more client, which stays after its answer."""
        answered = sum(self.seen[word] for word in ("UP", "no answer", "turned back"))
        self.tasks.start_soon(self.talk)
        while sum(self.seen[word] for word in ("UP", "no answer", "turned back")) == answered:
            await anyio.sleep(0.01)

    async def come(self, times: int) -> None:
        for _ in range(times):
            self.tasks.start_soon(self.talk)
            await anyio.sleep(0.02)


@pytest.mark.parametrize("mode", ["proxy", "pass"])
def test_two_upgrades_on_end_under_load_touch_no_client(mode: str, tmp_path: Path) -> None:
    """Exclusive links all along: each host counts what it is sent, each client what it is answered."""

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP echo").start(tasks, 3)
        site = await Site(tasks, tmp_path).start(upstreams, domain={"mode": mode})
        async with site.node_process() as first:
            for _ in range(15):
                tasks.start_soon(site.talk)
            tasks.start_soon(site.come, 100)
            await anyio.sleep(0.3)
            async with site.node_process() as second:
                assert (await call_admin_api(second.admin_address, READY))[0] == 200
                first.signal(signal.SIGTERM)
                async with site.node_process() as third:
                    second.signal(signal.SIGTERM)
                    assert await first.ended() == 0
                    assert await second.ended() == 0
                    before = site.seen["lines"]
                    await anyio.sleep(0.5)
                    assert site.seen["lines"] > before + site.seen["UP"], "links that stand go on"
                    assert (await call_admin_api(third.admin_address, READY))[0] == 200
        seen = site.seen
        assert set(seen) <= {"UP", "lines", "moved", "broken"}, "turned back or without an answer"
        assert seen["UP"] >= 30 and seen["broken"] <= seen["UP"]
        ids = Counter(endpoint.split()[1] for _, endpoint in upstreams.lines)
        assert max(ids.values()) == 1, "an exclusive link tried twice"
        assert len(ids) == seen["UP"]

    run_on_loopback(body)


def test_no_line_is_lost_or_doubled_over_an_upgrade(tmp_path: Path) -> None:
    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP echo").start(tasks, 2)
        site = await Site(tasks, tmp_path).start(upstreams)
        async with site.node_process() as first, anyio.create_task_group() as clients:
            for _ in range(25):
                clients.start_soon(site.talk, 0.005)
            await anyio.sleep(0.3)
            async with site.node_process():
                first.signal(signal.SIGTERM)
                assert await first.ended() == 0
                assert site.seen["UP"] == 25 and set(site.seen) == {"UP", "lines"}
                clients.cancel_scope.cancel()

    run_on_loopback(body)


def test_descriptors_of_both_together_keep_within_the_limit(tmp_path: Path) -> None:
    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP echo").start(tasks, 2)
        site = await Site(tasks, tmp_path).start(upstreams)
        limit = site.raw["limits"]["sockets"] = 256
        site.write()
        most = 0

        async def watch(*processes: NodeProcess) -> None:
            nonlocal most
            while True:
                held = 0
                for running in processes:
                    with suppress(OSError):  # it has ended
                        held += len(os.listdir(f"/proc/{running.process.pid}/fd"))
                most = max(most, held)
                await anyio.sleep(0.005)

        async with site.node_process() as first, anyio.create_task_group() as clients:
            for _ in range(140):  # more than there is room for: some wait, some are shed
                clients.start_soon(site.talk, 0.2)
            await anyio.sleep(1.0)
            async with site.node_process() as second:
                clients.start_soon(watch, first, second)
                first.signal(signal.SIGTERM)
                assert await first.ended() == 0
                await anyio.sleep(0.5)
                assert site.seen["moved"] == site.seen["broken"] == site.seen["turned back"] == 0
                assert 100 < most <= limit
                clients.cancel_scope.cancel()

    run_on_loopback(body)


def test_a_drain_goes_on_over_an_upgrade(tmp_path: Path) -> None:
    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP echo").start(tasks, 2)
        site = await Site(tasks, tmp_path).start(upstreams)
        async with site.node_process() as first:
            for _ in range(20):
                tasks.start_soon(site.talk)
            await anyio.sleep(0.3)
            async with site.node_process() as second:
                # Told of the drain just before it is followed.
                assert (await call_admin_api(first.admin_address, "POST /ops/drain/start"))[0] == 200
            # That one failed and is gone: the first one takes clients again, and drains.
            async with site.node_process() as second:
                first.signal(signal.SIGTERM)
                assert '"draining":true' in (await call_admin_api(second.admin_address, READY))[1]
                host, _, port = site.raw["listen"].rpartition(":")
                front = Lines(await anyio.connect_tcp(host, int(port)))
                await front.send(b"PING\r\n")
                assert await front.line() == b"NO\r\n"
                assert await first.ended() == 0
                while site.seen["moved"] < site.seen["UP"]:
                    await anyio.sleep(0.02)
                assert site.seen["UP"] == 20 and not site.seen["broken"]
                assert (await call_admin_api(second.admin_address, "POST /ops/drain/stop"))[0] == 200
                await front.send(b"PING\r\n")
                assert await front.line() == b"PONG\r\n"

    run_on_loopback(body)


async def reached(site: Site) -> Channel:
    """The Unix socket of the process that serves, as a new one would find it."""
    os.environ["TMPDIR"] = str(site.path)
    rendezvous = Rendezvous.for_node(parse_node_configuration(site.raw, admin_address()))
    assert rendezvous is not None
    while (sock := rendezvous.connect()) is None:
        await anyio.sleep(0.01)
    return Channel(await UNIXSocketStream.from_socket(sock))


@pytest.mark.parametrize("how", ["silent end", "nonsense", "other version", "other node", "after it served"])
def test_a_new_process_that_fails_leaves_the_old_one_serving(
    how: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("TMPDIR", "")

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP echo").start(tasks, 2)
        site = await Site(tasks, tmp_path).start(upstreams)
        async with site.node_process() as first:
            for _ in range(5):
                tasks.start_soon(site.talk)
            # Else one may wait in the queue still when the new process says that it serves, and stay there.
            await wait_until(lambda: site.seen["UP"] == 5)
            channel = await reached(site)
            greeting = hello_of(parse_node_configuration(site.raw))
            if how == "nonsense":
                await channel.stream.send(b"GET / HTTP/1.1\r\n\r\n")
                assert await channel.receive() is None
            elif how == "other version":
                await channel.stream.send(b"LL\x63" + frame(greeting, 0)[3:])
                assert await channel.receive() is None
            elif how == "other node":
                await channel.send(Hello("n9", greeting.listen))
                assert await channel.receive() is None
            elif how == "after it served":
                for said, word in ((greeting, Welcome), (Serving(), StateHandover)):
                    await channel.send(said)
                    came = await channel.receive()
                    assert came is not None and isinstance(came[0], word)
                    for sock in came[1]:
                        sock.close()
                # Nobody takes clients now: who comes waits in the queue that both would share.
                tasks.start_soon(site.talk)
                await anyio.sleep(0.2)
                assert site.seen["UP"] == 5
            await channel.close()
            await site.talk_once()
            before = site.seen["lines"]
            await anyio.sleep(0.3)
            assert site.seen["lines"] > before
            assert set(site.seen) == {"UP", "lines"}
            # And a sound one still finds it.
            async with site.node_process():
                first.signal(signal.SIGTERM)
                assert await first.ended() == 0
                assert set(site.seen) == {"UP", "lines"}

    run_on_loopback(body)


def test_the_old_process_killed_halfway_leaves_the_new_one_with_what_it_has(tmp_path: Path) -> None:
    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP echo").start(tasks, 2)
        site = await Site(tasks, tmp_path).start(upstreams)
        async with site.node_process() as first:
            for _ in range(30):
                tasks.start_soon(site.talk)
            await anyio.sleep(0.5)
            async with site.node_process() as second:
                first.signal(signal.SIGTERM)
                await anyio.sleep(0.6)  # some of the links have been handed over, some not
                first.signal(signal.SIGKILL)
                await second.next_event("hot_restart_predecessor_ended")
                await site.talk_once()
                await anyio.sleep(0.3)
                assert 0 < site.seen["broken"] < 30, "those handed over go on, the others ended with it"
                before = site.seen["lines"]
                await anyio.sleep(0.3)
                assert site.seen["lines"] > before

    run_on_loopback(body)


def test_a_stale_or_foreign_file_in_the_folder_costs_nothing(tmp_path: Path) -> None:
    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP echo").start(tasks)
        site = await Site(tasks, tmp_path).start(upstreams)
        rendezvous = Rendezvous(tmp_path, parse_node_configuration(site.raw, admin_address()))
        (tmp_path / rendezvous.name).write_bytes(b"no socket at all")
        async with site.node_process() as first:
            await site.talk_once()
            first.signal(signal.SIGKILL)
            await first.ended()
        async with site.node_process() as second:  # the socket of the first one is there still
            await site.talk_once()
            async with site.node_process():
                second.signal(signal.SIGTERM)
                assert await second.ended() == 0
        assert site.seen["UP"] == 2

    run_on_loopback(body)


def test_an_upgrade_while_the_list_is_out_of_reach_goes_by_what_the_old_one_heard(tmp_path: Path) -> None:
    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP echo").start(tasks, 2)
        told = [endpoint_row(n, at) for n, at in enumerate(upstreams.addresses)]
        site = await Site(tasks, tmp_path).start(upstreams)
        discovery = await DiscoveryStub([{"revision": 9, "complete": True, "members": told}], []).start(tasks)
        # The file has never heard of these hosts, and from now on nobody tells of them.
        site.raw["known"] = {"revision": 1, "complete": True, "members": []}
        site.raw["discovery"] = f"127.0.0.1:{discovery.port}"
        site.write()
        async with site.node_process() as first:
            await site.talk_once()
            async with site.node_process() as second:
                first.signal(signal.SIGTERM)
                await site.talk_once()
                assert await first.ended() == 0
                assert site.seen["UP"] == 2 and set(site.seen) <= {"UP", "lines"}
                assert (await call_admin_api(second.admin_address, READY))[0] == 200

    run_on_loopback(body)


def test_two_processes_of_a_node_keep_together_within_its_budget(tmp_path: Path) -> None:
    judge = QuotaSafety(20.0, SECOND_US)
    late: list[int] = []
    out: set[str] = set()  # links without an answer yet: none may be when the last process ends

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP echo").start(tasks, 3)
        site = await Site(tasks, tmp_path).start(upstreams)
        key, address = create_secret(tmp_path / "n0.key"), admin_address()
        (tmp_path / "cluster.toml").write_text(
            f'[[budgets]]\nname = "all"\nlinks_per_s = 20\ntariffs = ["once"]\n'
            f'[[nodes]]\nname = "n0"\naddress = "{address}"\nkey = "{key}"\n'
        )
        site.arguments = [
            "--cluster",
            str(tmp_path / "cluster.toml"),
            "--cluster-key",
            str(tmp_path / "n0.key"),
        ]

        async def session() -> None:
            began = now_us()
            client = await site.opened()
            ident = str(began)
            judge.observe(SessionRequested(began, ident))
            out.add(ident)
            answer = await client.line()
            out.discard(ident)
            assert not isinstance(answer, Ending) and answer.split()[0] in (b"UP", b"BUSY")
            if answer.startswith(b"UP"):
                judge.observe(SessionAdmitted(now_us(), ident))
            await client.close()

        async def come() -> None:
            while anyio.current_time() < end:
                tasks.start_soon(session)
                await anyio.sleep(0.02)

        async with site.node_process() as first:
            end = anyio.current_time() + 14.0
            tasks.start_soon(come)
            await anyio.sleep(6.0)
            async with site.node_process() as second:
                assert (await call_admin_api(second.admin_address, READY))[0] == 200
                ceded = now_us()
                first.signal(signal.SIGTERM)
                assert await first.ended() == 0
                await wait_until(lambda: anyio.current_time() > end + 0.1 and not out)
                late.extend(admission.seen_at for admission in judge.admissions if admission.seen_at > ceded)

    run_on_loopback(body)
    assert judge.excess() == 0 and judge.used_share() > 0.3
    assert len(late) >= 10, "the next process goes on at its floor at once"


def connected() -> tuple[socket.socket, socket.socket]:
    """Two ends of a connection, as a link's are."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        ours = socket.create_connection(server.getsockname())
        theirs, _ = server.accept()
    ours.setblocking(False)
    return ours, theirs


def test_a_link_handed_over_waits_for_its_host_from_then_on() -> None:
    """While it changed hands nobody read: a process that has just begun must not call its hosts quiet."""

    async def body(tasks: TaskGroup) -> None:
        async def post(_: object) -> None: ...

        counters, room = Counters(), DescriptorBudget(64)
        reach = UpstreamSettings(250_000, False, True, 50_000)
        upstreams = UpstreamRegistry([], reach, room, counters, post)
        entry = EndpointEntry("s-0", ("127.0.0.1", 1), "a", 3, endpoint(0).state, 1.0, 9000)
        upstreams.update(EndpointList(1, True, [entry]))
        mailbox = SimpleNamespace(post=post)
        module: Any = SimpleNamespace(mailbox=mailbox, upstreams=upstreams, shed_waiting_over_us=0)
        phase = LifecycleState(5.0, sessions_outlive_node=False)
        door = ClientConnections(module, ["once"], [], 3_000_000, room, counters, anyio.Event(), phase)
        began = now_us()
        for asked_at in (began - 2 * SECOND_US, 0):
            pairs = [connected(), connected()]
            told = SessionHandover(
                b"OPEN id1 k1 c=once,d=9\r\n", "s-0", 1.5, asked_at, int(Outcome.RESET), b"", b""
            )
            tasks.start_soon(door.adopt, told, [ours for ours, _ in pairs])
            await wait_until(lambda: bool(door.sessions.established))
            [record] = door.sessions.established.values()
            assert record.awaiting_answer_since >= began if asked_at else record.awaiting_answer_since == 0
            for _, theirs in pairs:
                theirs.close()
            await wait_until(lambda: not door.sessions.established)

    run_on_loopback(body)


def test_a_process_that_was_stopped_takes_no_sound_host_for_quiet(tmp_path: Path) -> None:
    """What its hosts answered meanwhile lies unread: it moves no link, and turns nobody away."""

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP slow echo").start(tasks, 3)
        site = await Site(tasks, tmp_path).start(upstreams)
        async with site.node_process() as running, anyio.create_task_group() as clients:
            for _ in range(30):
                clients.start_soon(site.talk, 0.0)
            await wait_until(lambda: site.seen["UP"] == 30)
            for _ in range(3):
                running.signal(signal.SIGSTOP)
                await anyio.sleep(0.9)
                running.signal(signal.SIGCONT)
                await anyio.sleep(0.3)
            running.signal(signal.SIGUSR1)
            told = await running.next_event("counters")
            assert not {"upstream_unresponsive", "sessions_migrated", "sessions_shed"} & set(told), told
            assert told.get("upstream_not_judged_node_lag", 0) >= 3
            assert set(site.seen) == {"UP", "lines"}
            clients.cancel_scope.cancel()

    run_on_loopback(body)


PACKETS: list[Packet] = [
    Hello("n0", "127.0.0.1:3000"),
    Welcome(
        EndpointList(
            7, True, [EndpointEntry("s-0", ("127.0.0.1", 3000), "a", 3, endpoint(0).state, 1.0, 9000)]
        )
    ),
    Serving(),
    StateHandover({"hosts": {}, "asked": [], "noted": 0.0}, ["id1", "idé"], 12, 0.5, 17),
    SessionHandover(
        b"OPEN id1 k1 c=once,d=9\r\n", "s-0", 1.5, 0, int(Outcome.RESET), b"half a l\xff", b"one\r\ntwo"
    ),
]


@pytest.mark.parametrize("packet", PACKETS, ids=[type(packet).__name__ for packet in PACKETS])
def test_a_packet_cut_at_any_byte_is_no_packet_and_leaves_no_descriptor(packet: Packet) -> None:
    async def body(tasks: TaskGroup) -> None:
        data = frame(packet, 1)
        for cut in range(len(data) + 1):
            ours, theirs = socket.socketpair()
            held = len(os.listdir("/proc/self/fd"))
            socket.send_fds(ours, [data[:cut]], [ours.fileno()] if cut else [])
            ours.shutdown(socket.SHUT_WR)
            theirs.setblocking(False)
            came = await Channel(await UNIXSocketStream.from_socket(theirs)).receive()
            if cut < len(data):
                assert came is None
            else:
                assert came is not None and came[0] == packet
                came[1][0].close()
            assert len(os.listdir("/proc/self/fd")) == held
            ours.close()
            theirs.close()

    run_on_loopback(body)


@pytest.mark.parametrize(
    "text",
    [
        b"",
        b"{",
        b"[]",
        b"{}",
        b'{"kind":"Nothing"}',
        b'{"kind":"StateHandover"}',
        b'{"kind":"Welcome","members":{}}',
    ],
)
def test_a_packet_that_is_nonsense_is_told_as_that(text: bytes) -> None:
    async def body(tasks: TaskGroup) -> None:
        ours, theirs = socket.socketpair()
        ours.send(b"LL\x01\x00" + len(text).to_bytes(4) + text)
        theirs.setblocking(False)
        with pytest.raises(InvalidInputError, match="packet"):
            await Channel(await UNIXSocketStream.from_socket(theirs)).receive()
        ours.close()
        theirs.close()

    run_on_loopback(body)


# What Brain hands on.


def balancer(started_at: int, **deployment_settings: Any) -> Balancer:
    made = Balancer(
        replace(SETTINGS, probes=True, probes_report_load=True, reports_delay=False, **deployment_settings),
        random.Random(3),
    )
    made.update_endpoints(
        100 * SECOND_US,
        [endpoint(0), endpoint(1), endpoint(2, started_at=started_at)],
        whole=True,
        asked=True,
    )
    return made


def filled(made: Balancer, now: int, first: int, times: int) -> int:
    """How many of so many new links go to the cold host."""
    went = 0
    for number in range(first, first + times):
        session = Session(number, 0, number, number, now + 2 * SECOND_US)
        for upstream in made.fleet.upstreams.values():
            upstream.probed_at = now
            made.record_probe(
                now,
                upstream.number,
                ProbeResult(True, *((0.05, 0.0) if upstream.started_at else (0.5, 50.0))),
            )
        answer = made.place(now, session)
        if isinstance(answer, Forward):
            went += answer.upstream == 2
            made.outcome(now, session, Outcome.ESTABLISHED)
    return went


def test_a_cold_hosts_budget_is_spent_once_by_both_processes() -> None:
    now = 100 * SECOND_US
    for seed in range(20):
        started_at = now - 14 * SECOND_US - seed * SECOND_US // 20
        alone, old, new = (balancer(started_at, nodes=1) for _ in range(3))
        whole = filled(alone, now, 1000 * seed, 400)
        assert whole > 0
        idle = balancer(started_at, nodes=1)
        idle.release_slow_start_budget(released=True)
        assert filled(idle, now, 1000 * seed, 400) == 0, "spent though it is another's"
        spent = filled(old, now, 1000 * seed, 200)
        old.release_slow_start_budget(released=True)
        restore_state(new, export_state(old), 0)
        assert filled(old, now, 5000 + 1000 * seed, 50) == 0, "spent after it was ceded"
        assert spent + filled(new, now, 1000 * seed + 200, 200) <= whole + 1
        old.release_slow_start_budget(released=False)  # the new one failed: the window is spent all the same
        assert spent + filled(old, now, 1000 * seed + 200, 200) <= whole + 1


def test_what_was_learned_comes_with_the_clocks_difference_and_not_for_a_host_started_anew() -> None:
    now, shift = 100 * SECOND_US, 7 * SECOND_US
    old, new = balancer(0), balancer(now - SECOND_US)
    for upstream in (0, 1, 2):
        old.record_probe(now, upstream, ProbeResult(True, 0.9, 90.0))
        old.record_unresponsive(now, upstream)
    plain = orjson.loads(orjson.dumps(export_state(old)))
    restore_state(new, plain, shift)
    for number in (0, 1):
        assert new.fleet.upstreams[number].utilization == 0.9
        assert new.fleet.upstreams[number].slow_until == old.fleet.upstreams[number].slow_until + shift
    assert new.fleet.upstreams[2].utilization == 0.0, "the process that was seen there is gone"


@pytest.mark.parametrize(
    "change", [{"hosts": {"host-0": {"came_up": 0}}}, {"asked": ["x"]}, {"noted": None}, {"hosts": 3}]
)
def test_what_can_not_be_read_leaves_no_half_of_it_behind(change: dict[str, Any]) -> None:
    old, new = balancer(0), balancer(0)
    old.record_probe(100 * SECOND_US, 1, ProbeResult(True, 0.9, 90.0))
    before = export_state(new)
    with pytest.raises((KeyError, TypeError, ValueError, AttributeError)):
        restore_state(new, {**export_state(old), **change}, 0)
    assert export_state(new) == before


def test_a_platform_without_unix_sockets_costs_the_upgrade_alone(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Danger: where the system refuses the family, a node with a door and a TMPDIR would not start at all.
    def refused(family: int, kind: int) -> socket.socket:
        raise OSError(97, "Address family not supported by protocol")

    rendezvous = Rendezvous(tmp_path, parse_node_configuration(node_configuration([], 1)))
    monkeypatch.setattr(socket, "socket", refused)
    assert rendezvous.connect() is None and rendezvous.listen() is None
