"""Runs one load test: creates all its parts, plays the scenario, stops everything and returns the result."""

from __future__ import annotations

import asyncio
import signal
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING, Any

import anyio
import uvloop

from larchlatch.invariants.observations import UpstreamsSampled
from larchlatch.invariants.scenario_checkers import ClusterCheckers
from larchlatch.invariants.session_figures import SessionFigures
from larchlatch.loadtest.background_tasks import BackgroundTasks
from larchlatch.loadtest.client_population import ClientPopulation
from larchlatch.loadtest.client_sessions import ClientSessions
from larchlatch.loadtest.cluster import Cluster
from larchlatch.loadtest.cluster_observer import ClusterObserver
from larchlatch.loadtest.discovery_stub import DiscoveryStub
from larchlatch.loadtest.errors import LoadTestError
from larchlatch.loadtest.fault_injection import NodeProcessFaults, ProxyFaults, UpstreamStubFaults
from larchlatch.loadtest.node_fleet import NodeFleet
from larchlatch.loadtest.outside_observer import OutsideObserver
from larchlatch.loadtest.report import LoadTestResult, result_row
from larchlatch.loadtest.scenario_clock import ScenarioClock
from larchlatch.loadtest.tool_monitor import ToolMonitor
from larchlatch.loadtest.upstream_stub import UpstreamStub
from larchlatch.loadtest.zone_connections import ZoneConnections
from larchlatch.node.clock import now_us
from larchlatch.scenario.clients import client_arrivals
from larchlatch.scenario.fault_injection import FaultInjector
from larchlatch.scenario.faults import ZoneIsolation
from larchlatch.scenario.random_streams import RandomStreams
from larchlatch.scenario.upstreams import Condition, create_upstreams

if TYPE_CHECKING:
    from collections.abc import Callable

    from larchlatch.loadtest.node_process import NodeProcess
    from larchlatch.scenario.clients import Client
    from larchlatch.scenario.faults import AnyFault
    from larchlatch.scenario.scenario import Scenario
    from larchlatch.scenario.upstreams import SimulatedUpstream

STATUS_INTERVAL_S = 1.0
SLOW_START_INTERVAL_S = 1.0
EXIT_TERMINATED = 128 + signal.SIGTERM  # the exit code that shells report for a process ended by SIGTERM
MAX_FINAL_ANSWER_WAIT_S = 2.0  # wait after the scenario for clients without a final answer


class LoadTestRun:
    """Plays a scenario on sockets, and owns all processes, sockets, tasks and files of the run.

    Attributes:
        scenario: The scenario.
        streams: Source of all random numbers.
        clients: All clients that will arrive.
        checkers: The checkers of the cluster's invariants.
        observer: Checks the rules of sessions from outside.
        cluster_observer: Observes the cluster for its checkers.
        figures: Counts and times of sessions.
        stubs: The upstream stubs.
        discovery: The discovery stub, which serves the endpoint list.
        fleet: The nodes under test.
        cluster: The nodes' cluster; None before the start, and if the scenario has none.
        zone_connections: The connections between zones.
        sessions: Runs the clients' sessions.
        population: Starts and runs the clients.
        monitor: Measures the lag of the load test's own event loop.
        clock: The time of the scenario.
        tasks: Owns all background tasks.

    """

    def __init__(self, scenario: Scenario, address: str = "127.0.0.1") -> None:
        """Prepare a run; `address` is the loopback address of everything except the nodes."""
        self.scenario = scenario
        self.streams = RandomStreams(scenario.seed)
        self.clients = list(client_arrivals(scenario, self.streams))
        self.tasks = BackgroundTasks()
        self.clock = ScenarioClock()
        self.figures = SessionFigures()
        self.monitor = ToolMonitor()
        self.checkers = ClusterCheckers(scenario, now_us())
        self.observer = OutsideObserver(scenario, self.checkers.quota)
        by_key = {f"k{client.key}": client for client in self.clients}
        self.stubs = [self._create_stub(upstream, by_key) for upstream in create_upstreams(scenario)]
        self.discovery = self._create_discovery()
        self.zone_connections = ZoneConnections(self.stubs)
        self.cluster_observer = ClusterObserver(scenario, self.checkers, self.zone_connections.is_connected)
        self.fleet = NodeFleet(scenario, self.streams, self.discovery, self.cluster_observer, self.tasks)
        self.cluster: Cluster | None = None
        self.sessions = ClientSessions(scenario, self.clock, self.observer, self.figures)
        self.population = ClientPopulation(
            scenario, self.streams, self.clock, self.sessions, self.fleet, self.figures
        )
        self._address = address

    def _create_stub(self, upstream: SimulatedUpstream, clients: dict[str, Client]) -> UpstreamStub:
        return UpstreamStub(upstream, self.scenario, clients, self.observer)

    def _create_discovery(self) -> DiscoveryStub:
        return DiscoveryStub(self.scenario, self._discovery_delays())

    def _discovery_delays(self) -> Callable[[], float]:
        discovery, delays = self.scenario.discovery, self.streams.stream("list")
        return lambda: delays.uniform(discovery.min_delay_ms / 1e3, discovery.max_delay_ms / 1e3)

    async def play(self) -> dict[str, Any]:
        """Play the scenario, and return the row of its figures.

        Everything that was started is stopped in all cases, also on errors and cancellation.

        Raises:
            ExceptionGroup: Contains a `LoadTestError` if the load test could not continue.

        """
        with tempfile.TemporaryDirectory() as folder:
            try:
                async with self.tasks:
                    try:
                        await self._start(Path(folder))
                        await self.run()
                        self.cluster_observer.read_logs()
                    finally:
                        self._close_servers()
            finally:
                with anyio.CancelScope(shield=True):
                    await self._stop_processes()
        return self.result_row()

    def result_row(self) -> dict[str, Any]:
        """Return the figures of the finished run, by the keys under which they are printed."""
        return result_row(self)

    def violations(self) -> list[str]:
        """Return descriptions of the first violations of rules."""
        return self.observer.descriptions

    # Start and end.

    async def _start(self, folder: Path) -> None:
        """Start everything, and wait until all nodes serve."""
        for stub in self.stubs:
            await self._start_stub(stub)
        await self.discovery.listen(self._address, self.tasks)
        datagram_addresses = self.fleet.assign_addresses()
        if any(isinstance(fault, ZoneIsolation) for fault in self.scenario.faults):
            ports = await self.zone_connections.start_proxy(self._address, self.scenario.zones)
            self.discovery.proxy_ports = ports
        if self.scenario.cluster.on:
            self.cluster = Cluster(
                self.scenario, self._address, folder, datagram_addresses, self.cluster_observer
            )
            await self.cluster.start()
            self.tasks.start(self.cluster_observer.run)
            if self.observer.quota is not None:
                self.tasks.start(self.fleet.request_status, STATUS_INTERVAL_S)
        await self.fleet.start(folder, self._address, self.cluster)

    async def _start_stub(self, stub: UpstreamStub) -> None:
        """Make an upstream stub listen and list it, or only reserve its port if it is to start later."""
        await stub.listen(self._address, self.tasks)
        if stub.upstream.condition is Condition.ABSENT:
            stub.close()
        else:
            self.discovery.list_at_start(stub)
        self.tasks.start(stub.drop_when_overloaded)

    def _close_servers(self) -> None:
        for stub in self.stubs:
            stub.close()
        self.discovery.close()

    async def _stop_processes(self) -> None:
        await self.fleet.stop()
        if self.cluster is not None:
            await self.cluster.stop()
        await self.zone_connections.stop()

    # The scenario.

    async def run(self) -> None:
        """Play the scenario with the processes and stubs that have been started."""
        self.clock.begin()
        self.tasks.start(self.monitor.run)
        self.tasks.start(self._observe_slow_start)
        injector = self._fault_injector()
        for index, fault in enumerate(self.scenario.faults):
            self.tasks.start(self._inject, index, fault, injector)
        await self.population.run(self.clients, self.tasks)
        await self.clock.sleep_until(self.scenario.span_s)
        # Clients without a final answer may still receive it; established sessions end with the scenario.
        await anyio.sleep(min(MAX_FINAL_ANSWER_WAIT_S, self.scenario.sessions.wait_ms / 1e3))

    async def _observe_slow_start(self) -> None:
        observed_at = now_us()
        while True:
            await anyio.sleep(SLOW_START_INTERVAL_S)
            now = now_us()
            upstreams = [stub.upstream for stub in self.stubs]
            self.observer.slow_start.observe(UpstreamsSampled(now, upstreams, now - observed_at))
            observed_at = now

    # Faults.

    async def _inject(
        self, index: int, fault: AnyFault, injector: FaultInjector[UpstreamStub, NodeProcess]
    ) -> None:
        await self.clock.sleep_until(fault.at_s)
        fault.apply(injector, self.streams.stream(f"fault {index}"))

    def _fault_injector(self) -> FaultInjector[UpstreamStub, NodeProcess]:
        return FaultInjector(
            upstreams=UpstreamStubFaults(
                self.stubs, self.discovery, self.zone_connections, self.cluster_observer, self.tasks
            ),
            nodes=NodeProcessFaults(self.fleet, self.cluster, self.cluster_observer, self.tasks.call_later),
            network=ProxyFaults(self.zone_connections, self.cluster, self.discovery, self.tasks),
            clients=self.sessions,
            scheduler=self.tasks,
        )


def run_load_test(scenario: Scenario, address: str) -> LoadTestResult:
    """Play a scenario on sockets, and return its figures and the rules that were violated.

    Raises:
        LoadTestError: The run could not continue: a node or the load test itself is defective.

    """
    return play_to_end(LoadTestRun(scenario, address))


def play_to_end(run: LoadTestRun) -> LoadTestResult:
    """Play a prepared run in an event loop of its own.

    SIGINT and SIGTERM end the run early, once everything that it started has been stopped.

    Raises:
        LoadTestError: The run could not continue: a node or the load test itself is defective.

    """
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        try:
            row = runner.run(_play_until_terminated(run))
        except asyncio.CancelledError:  # by SIGTERM; for SIGINT the runner raises KeyboardInterrupt instead
            raise SystemExit(EXIT_TERMINATED) from None
        except BaseExceptionGroup as group:
            raise _cause_of(group) from group
    return LoadTestResult(row, run.violations())


async def _play_until_terminated(run: LoadTestRun) -> dict[str, Any]:
    task = asyncio.current_task()
    loop = asyncio.get_running_loop()
    if task is not None:
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        return await run.play()
    finally:
        loop.remove_signal_handler(signal.SIGTERM)


def _cause_of(group: BaseExceptionGroup) -> BaseException:
    """Return the first `LoadTestError` of a group, or the group itself if it contains other errors."""
    expected, unexpected = group.split(LoadTestError)
    if expected is None or unexpected is not None:
        return group
    cause: BaseException = expected
    while isinstance(cause, BaseExceptionGroup):
        cause = cause.exceptions[0]
    return cause
