"""Manages all nodes under test: starts, pauses, kills and restarts their processes."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import anyio
import orjson

from larchlatch.loadtest.addresses import free_tcp_port, free_udp_port, next_run_number, node_address
from larchlatch.loadtest.cluster_files import DatagramAddress
from larchlatch.loadtest.errors import NodeProcessError
from larchlatch.loadtest.node_process import NodeCommand, NodeProcess
from larchlatch.loadtest.node_settings import node_configuration, node_name

if TYPE_CHECKING:
    from pathlib import Path

    from larchlatch.loadtest.background_tasks import BackgroundTasks
    from larchlatch.loadtest.cluster import Cluster
    from larchlatch.loadtest.cluster_observer import ClusterObserver
    from larchlatch.loadtest.discovery_stub import DiscoveryStub, EndpointList
    from larchlatch.scenario.random_streams import RandomStreams
    from larchlatch.scenario.scenario import Scenario

START_TIMEOUT_S = 20.0
SINGLE_NODE = NodeCommand("larchlatch", [], {})  # command of a node outside a cluster


class NodeFleet:
    """The nodes under test, with all of their processes.

    Attributes:
        nodes: All nodes in the order of their numbers; empty until `assign_addresses`.
        has_admin_apis: Whether processes started from now on serve an admin API, as a hot restart needs.

    """

    def __init__(
        self,
        scenario: Scenario,
        streams: RandomStreams,
        discovery: DiscoveryStub,
        observer: ClusterObserver,
        tasks: BackgroundTasks,
    ) -> None:
        """Create the fleet.

        Args:
            scenario: The scenario.
            streams: Source of the nodes' seeds.
            discovery: The discovery stub that nodes connect to.
            observer: Is informed when processes start and stop.
            tasks: Owns the tasks that restart nodes.

        """
        self.nodes: list[NodeProcess] = []
        self.has_admin_apis = False
        self._scenario = scenario
        self._streams = streams
        self._discovery = discovery
        self._observer = observer
        self._tasks = tasks
        self._cluster: Cluster | None = None
        self._folder: Path | None = None
        self._discovery_address = ""

    # The nodes and their addresses.

    def in_rotation(self) -> list[NodeProcess]:
        """Return the nodes that clients currently connect to."""
        return [node for node in self.nodes if node.in_rotation]

    def zone_of(self, node: NodeProcess) -> int:
        """Return the zone of a node."""
        return node.number % self._scenario.zones

    def assign_addresses(self) -> list[DatagramAddress]:
        """Create all nodes with an address and a free port each; return where each may receive datagrams."""
        run_number = next_run_number()
        for number in range(self._scenario.nodes.count):
            address = node_address(run_number, number)
            self.nodes.append(NodeProcess(number, address, free_tcp_port(address)))
        return [DatagramAddress(node.address, free_udp_port(node.address)) for node in self.nodes]

    # Their processes.

    async def start(self, folder: Path, discovery_address: str, cluster: Cluster | None) -> None:
        """Start all nodes, and wait until they serve.

        Args:
            folder: Where configurations and logs are written.
            discovery_address: Address of discovery.
            cluster: The cluster that the nodes join; None for nodes outside a cluster.

        Raises:
            ExceptionGroup: Contains a `NodeProcessError` for each node that failed to start.

        """
        self._folder = folder
        self._cluster = cluster
        self._discovery_address = discovery_address
        self._observer.follow_logs([self.log_file(node) for node in self.nodes])
        async with anyio.create_task_group() as starts:
            for node in self.nodes:
                starts.start_soon(self._start_in_time, node)

    async def stop(self) -> None:
        """Kill all processes, and wait until they have ended."""
        for node in self.nodes:
            await node.stop()

    async def _start_in_time(self, node: NodeProcess) -> None:
        try:
            with anyio.fail_after(START_TIMEOUT_S):
                await self._start(node, self._known_endpoints(node))
        except TimeoutError:
            raise NodeProcessError(
                node.number, f"did not answer within {START_TIMEOUT_S:g} seconds of its start"
            ) from None

    async def _start(self, node: NodeProcess, endpoints: EndpointList) -> None:
        """Start a process with these endpoints in its configuration, and wait until it serves."""
        if self.has_admin_apis:
            node.admin_address = self._free_admin_address(node)
        command = self._command(node, endpoints, node.admin_address)
        self._observer.node_starts(node.number)
        await node.start(command, self.log_file(node))
        self._observer.node_runs(node.number, running=True)

    async def start_successor(self, node: NodeProcess) -> str:
        """Start a second process for a hot restart of a node; return the address of its admin API."""
        admin_address = self._free_admin_address(node)
        command = self._command(node, self._known_endpoints(node), admin_address)
        await node.start_successor(command, self.log_file(node))
        return admin_address

    async def complete_hot_restart(self, node: NodeProcess, admin_address: str) -> int:
        """Let the first process of a node hand over and end; return its exit code.

        Args:
            node: The node.
            admin_address: Address of the second process's admin API.

        """
        node.admin_address = admin_address
        # The first process leaves the cluster, and the second one joins it when the first has ended.
        self._observer.process_changes(node.number)
        try:
            return await node.complete_hot_restart()
        finally:
            self._observer.node_runs(node.number, running=True)

    @staticmethod
    def _free_admin_address(node: NodeProcess) -> str:
        return f"{node.address}:{free_tcp_port(node.address)}"

    def _command(self, node: NodeProcess, endpoints: EndpointList, admin_address: str) -> NodeCommand:
        """Write the configuration of a new process of a node, and return the command that starts it."""
        seed = self._streams.stream(f"node {node.number} start {node.start_count + 1}").getrandbits(64)
        configuration = node_configuration(
            self._scenario,
            node.number,
            listen=f"{node.address}:{node.port}",
            discovery=f"{self._discovery_address}:{self._discovery.ports[self.zone_of(node)]}",
            seed=f"{seed:x}",
            endpoints=endpoints,
        )
        path = self.configuration_file(node)
        path.write_bytes(orjson.dumps(configuration))
        command = SINGLE_NODE if self._cluster is None else self._cluster.command(node.number)
        environment = {"TMPDIR": str(path.parent), "EDGE_CONTROL": admin_address}
        return command._replace(
            arguments=["--config", str(path), *command.arguments],
            environment={**environment, **command.environment},
        )

    def configuration_file(self, node: NodeProcess) -> Path:
        """Return the path of a node's configuration, which its next process reads at its start."""
        return self._file(node, "json")

    def _known_endpoints(self, node: NodeProcess) -> EndpointList:
        return self._discovery.known_endpoints(self.zone_of(node))

    def log_file(self, node: NodeProcess) -> Path:
        """Return the path of the log of all of a node's processes."""
        return self._file(node, "log")

    def _file(self, node: NodeProcess, suffix: str) -> Path:
        if self._folder is None:
            raise RuntimeError("the fleet has not been started")
        return self._folder / f"{node_name(node.number)}.{suffix}"

    # Faults.

    def kill(self, node: NodeProcess) -> None:
        """Kill a node's process; unless the node is removed, a new process replaces it later."""
        if node.killed:
            return
        node.mark_killed()
        self._observer.node_runs(node.number, running=False)
        self._tasks.start(self._kill_and_restart, node, self._known_endpoints(node))

    async def _kill_and_restart(self, node: NodeProcess, endpoints: EndpointList) -> None:
        await node.stop()
        nodes = self._scenario.nodes
        await anyio.sleep(min(nodes.detection_s, nodes.restart_after_s))
        node.in_rotation = False
        if node.removed:
            return
        await anyio.sleep(max(0.0, nodes.restart_after_s - nodes.detection_s))
        await self._start(node, endpoints)
        node.mark_back()

    def pause(self, node: NodeProcess) -> None:
        """Pause a node's process; pauses of one node may overlap."""
        if node.pause():
            self._observer.node_runs(node.number, running=False)

    def resume(self, node: NodeProcess) -> None:
        """End one pause of a node; its process continues after the last one."""
        if node.resume():
            self._observer.node_runs(node.number, running=True)

    async def request_status(self, interval_s: float) -> None:
        """Make each running node log its status at an interval in seconds, until cancelled."""
        while True:
            await anyio.sleep(interval_s)
            for node in self.nodes:
                if self._observer.is_running(node.number):
                    node.send_signal(signal.SIGUSR1)
