"""Runs a soak: a load test whose nodes' peers misbehave, with operations on the nodes and checks of them."""

from __future__ import annotations

from collections import Counter
from functools import partial
from itertools import count
from typing import TYPE_CHECKING, Any

import anyio

from larchlatch.invariants.observations import SessionRequested
from larchlatch.loadtest.background_tasks import BackgroundTasks
from larchlatch.loadtest.fault_injection import NodeProcessFaults
from larchlatch.loadtest.node_log import NodeLogReader
from larchlatch.loadtest.run import LoadTestRun, play_to_end
from larchlatch.node.clock import now_us
from larchlatch.node.wire.lines import PING
from larchlatch.scenario.random_streams import RandomStreams
from larchlatch.soak.admin_calls import READINESS, request_head, split_address
from larchlatch.soak.connection_faults import StubFaults
from larchlatch.soak.faulty_callers import FaultyCallers, FaultyRendezvousCallers, JunkDatagrams, Step
from larchlatch.soak.faulty_stubs import FaultyDiscoveryStub, FaultyUpstreamStub
from larchlatch.soak.inspection import NodeInspector
from larchlatch.soak.operations import Operator
from larchlatch.soak.scenario import OPERATED_NODES
from larchlatch.soak.soak_observer import SoakCheck, SoakObserver

if TYPE_CHECKING:
    from pathlib import Path

    from larchlatch.loadtest.discovery_stub import DiscoveryStub
    from larchlatch.loadtest.node_process import NodeProcess
    from larchlatch.loadtest.report import LoadTestResult
    from larchlatch.loadtest.upstream_stub import UpstreamStub
    from larchlatch.scenario.clients import Client
    from larchlatch.scenario.scenario import Scenario
    from larchlatch.scenario.upstreams import SimulatedUpstream

UPSTREAM_FAULT_SHARE = 0.02  # of all that upstreams send
DISCOVERY_FAULT_SHARE = 0.1  # of all that discovery sends
CLIENT_INTERVAL_S = 0.8  # mean time between two misbehaving clients of a node
ADMIN_INTERVAL_S = 0.7  # between two misbehaving callers of a node's admin API
RENDEZVOUS_INTERVAL_S = 1.5
DATAGRAM_INTERVAL_S = 0.05
REMOVAL_AT_SHARE = 0.4  # of the soak, when a node is removed from the cluster
LENT_POLL_S = 0.1
LENT_POLLS = 60  # for which the removal waits until that node has lent
CLUSTER_FILE_AFTER_S = 0.5  # from the end of the removed node to the others' new cluster files
CLUSTER_FILE_SPREAD_S = 0.5  # within which all of them read the new file
AGREEMENT_POLL_S = 0.1
AGREEMENT_POLLS = 80
EXCEPTION_KEY = "exception"  # of log rows about exceptions
LOGGED_KEYS = (EXCEPTION_KEY,)
CLUSTER_VIOLATIONS = ("two_holders", "members_wrong")  # figures of the cluster's checkers that have to be 0
CLIENT_MESSAGE = b"still here\r\n"


class SoakRun(LoadTestRun):
    """Plays a soak, and owns everything that it starts."""

    def __init__(self, scenario: Scenario, address: str = "127.0.0.1") -> None:
        """Prepare a soak; `address` is the loopback address of everything except the nodes."""
        # The base class creates the stubs, which use these.
        streams = RandomStreams(scenario.seed)
        self.upstream_faults = StubFaults(streams.stream("soak upstreams"), UPSTREAM_FAULT_SHARE)
        self.discovery_faults = StubFaults(streams.stream("soak discovery"), DISCOVERY_FAULT_SHARE)
        super().__init__(scenario, address)
        self.soak_observer = SoakObserver()
        operations = self.streams.stream("soak operations")
        operated_count = min(OPERATED_NODES, scenario.nodes.count)
        self.operator = Operator(operations, self.fleet, self.soak_observer, operated_count)
        self.inspector = NodeInspector(self.fleet, self.operator, self.soak_observer, scenario.upstream_count)
        self.callers: list[FaultyCallers | FaultyRendezvousCallers] = []
        self._session_numbers = count(1)
        self._finished = False
        self._logs = NodeLogReader([], LOGGED_KEYS)
        self._client_draws = self.streams.stream("soak sessions")

    def _create_stub(self, upstream: SimulatedUpstream, clients: dict[str, Client]) -> UpstreamStub:
        return FaultyUpstreamStub(upstream, self.scenario, clients, self.observer, self.upstream_faults)

    def _create_discovery(self) -> DiscoveryStub:
        return FaultyDiscoveryStub(self.scenario, self._discovery_delays(), self.discovery_faults)

    async def _start(self, folder: Path) -> None:
        self.fleet.has_admin_apis = True
        await super()._start(folder)
        self._logs = NodeLogReader([self.fleet.log_file(node) for node in self.fleet.nodes], LOGGED_KEYS)
        self._folder = folder
        await self.inspector.measure_idle()

    # The soak.

    async def run(self) -> None:
        """Play the soak until its end, or until a process has ended; then inspect the idle nodes."""
        finished = anyio.Event()
        async with anyio.create_task_group() as group:
            watch = anyio.CancelScope()
            group.start_soon(self._watch, watch)
            group.start_soon(self.operator.run, finished)
            await self._play_until_ended()
            finished.set()
            self.upstream_faults.stop()
            self.discovery_faults.stop()
            watch.cancel()
        if not self.inspector.ended.is_set():
            await self._wait_for_agreement()
            await self.inspector.inspect_idle()
            self._finished = True

    async def _wait_for_agreement(self) -> None:
        """Wait until all nodes agree on the members, as the last operation may just have ended."""
        for _ in range(AGREEMENT_POLLS):
            if not self.checkers.membership.differing_pairs:
                return
            await anyio.sleep(AGREEMENT_POLL_S)

    async def _stop_processes(self) -> None:
        """Stop everything; the nodes gracefully, and checked, if the soak was played to its end."""
        if self._finished:
            await self.inspector.stop_nodes()
        self._read_exceptions()
        await super()._stop_processes()

    async def _watch(self, scope: anyio.CancelScope) -> None:
        with scope:
            await self.inspector.watch()

    async def _play_until_ended(self) -> None:
        """Play the scenario with misbehaving callers; stop early if a process has ended."""
        async with anyio.create_task_group() as group:

            async def cancel_when_ended() -> None:
                await self.inspector.ended.wait()
                group.cancel_scope.cancel()

            group.start_soon(cancel_when_ended)
            async with BackgroundTasks() as callers:
                self._start_callers(callers)
                await super().run()
            group.cancel_scope.cancel()

    def _start_callers(self, tasks: BackgroundTasks) -> None:
        for node in self.fleet.nodes:
            name = f"soak node {node.number}"
            self.callers += [
                FaultyCallers(
                    self.streams.stream(f"{name} clients"),
                    CLIENT_INTERVAL_S,
                    partial(_client_address, node),
                    self._client_conversation,
                ),
                FaultyCallers(
                    self.streams.stream(f"{name} admin"),
                    ADMIN_INTERVAL_S,
                    partial(_admin_address, node),
                    _admin_conversation,
                ),
            ]
        rendezvous = self.streams.stream("soak rendezvous")
        self.callers.append(FaultyRendezvousCallers(rendezvous, RENDEZVOUS_INTERVAL_S, self._folder))
        for caller in self.callers:
            tasks.start(caller.run, tasks)
        if self.cluster is not None:
            self._start_cluster_faults(tasks)

    def _start_cluster_faults(self, tasks: BackgroundTasks) -> None:
        if self.cluster is None:
            return
        for node, address in zip(self.fleet.nodes, self.cluster.nodes, strict=True):
            rng = self.streams.stream(f"soak node {node.number} datagrams")
            tasks.start(JunkDatagrams(rng, DATAGRAM_INTERVAL_S, address).run)
        tasks.start(self._remove_node)

    def _client_conversation(self) -> list[Step]:
        client = self._client_draws.choice(self.clients)
        session = f"f{next(self._session_numbers)}"
        if self.observer.quota is not None:
            self.observer.quota.observe(SessionRequested(now_us(), session))
        wait_ms = round(self.scenario.sessions.wait_ms)
        request = f"OPEN {session} k{client.key} c=t{client.traffic_class},d={wait_ms},g=g{client.group}\r\n"
        return [
            Step(PING, awaits_answer=True),
            Step(request.encode(), awaits_answer=True),
            Step(CLIENT_MESSAGE, awaits_answer=True),
            Step(CLIENT_MESSAGE, awaits_answer=False),
        ]

    async def _remove_node(self) -> None:
        """Remove the last node from the cluster, as docs/operating-cluster.md says."""
        await self.clock.sleep_until(REMOVAL_AT_SHARE * self.scenario.span_s)
        node = self.fleet.nodes[-1]
        await self._wait_until_lent(node)
        faults = NodeProcessFaults(self.fleet, self.cluster, self.cluster_observer, self.tasks.call_later)
        async with self.operator.lock:
            faults.decommission(node)
            await anyio.sleep(CLUSTER_FILE_AFTER_S)
            delays = self.streams.stream("soak cluster file")
            faults.update_cluster_files([node], partial(delays.uniform, 0, CLUSTER_FILE_SPREAD_S))
            await anyio.sleep(CLUSTER_FILE_SPREAD_S)
            self.cluster_observer.read_logs()
            self.cluster_observer.member_removed(node.number)

    async def _wait_until_lent(self, node: NodeProcess) -> None:
        """Wait until a node has lent, if it does so in time, as its removal then ends the loans of others."""
        for _ in range(LENT_POLLS):
            if self.cluster_observer.lent_by(node.number):
                return
            await anyio.sleep(LENT_POLL_S)

    # The result.

    def _read_exceptions(self) -> None:
        for event in self._logs.read():
            last_line = str(event.fields[EXCEPTION_KEY]).rstrip().rpartition("\n")[2]
            description = f"node {event.node}: {event.fields.get('event')}: {last_line}"
            self.soak_observer.report(SoakCheck.NO_UNEXPECTED_ERROR, description)

    def result_row(self) -> dict[str, Any]:
        """Return the figures of the finished soak, by the keys under which they are printed."""
        row = super().result_row()
        violations = {check.value: number for check, number in self.soak_observer.violations.items()}
        violations |= {key: row[key] for key in CLUSTER_VIOLATIONS if key in row}
        faults = sum((caller.counts for caller in self.callers), Counter())
        return {
            **row,
            "broken": {**row["broken"], **violations},
            "operations": dict(sorted(self.operator.counts.items())),
            "faulty_callers": dict(sorted(faults.items())),
            "upstream_faults": self.upstream_faults.counts.total(),
            "discovery_faults": self.discovery_faults.counts.total(),
            "memory_mb": max(self.inspector.memory_mb.values(), default=0.0),
        }

    def violations(self) -> list[str]:
        """Return descriptions of the first violations of rules and checks."""
        return [*super().violations(), *self.soak_observer.descriptions]


def run_soak(scenario: Scenario, address: str) -> LoadTestResult:
    """Play a soak, and return its figures and the rules and checks that were violated.

    Raises:
        LoadTestError: The run could not continue: a node or the soak itself is defective.

    """
    return play_to_end(SoakRun(scenario, address))


def _admin_conversation() -> list[Step]:
    head = request_head(READINESS)
    first_line, _, rest = head.partition(b"\r\n")
    return [
        Step(first_line + b"\r\n", awaits_answer=False),
        Step(rest, awaits_answer=True),
        Step(head, awaits_answer=False),
    ]


def _client_address(node: NodeProcess) -> tuple[str, int]:
    return node.address, node.port


def _admin_address(node: NodeProcess) -> tuple[str, int]:
    return split_address(node.admin_address)
