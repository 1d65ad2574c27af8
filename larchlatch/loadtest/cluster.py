"""Sets up the cluster of a scenario: its cluster files, its datagram proxy and the faults of its nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from larchlatch.loadtest import datagram_fault_proxy as proxy
from larchlatch.loadtest.cluster_files import ClusterFiles, DatagramAddress
from larchlatch.loadtest.helper_process import HelperProcess
from larchlatch.loadtest.injected_faults import InjectedFaults
from larchlatch.loadtest.node_process import NodeCommand
from larchlatch.loadtest.node_settings import node_name
from larchlatch.scenario.byzantine_exchange import INJECTED_FAULTS_VARIABLE
from larchlatch.scenario.faults import NODE_INTERNAL_FAULTS

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

    from larchlatch.loadtest.cluster_observer import ClusterObserver
    from larchlatch.scenario.datagram_paths import PathImpairment
    from larchlatch.scenario.scenario import Scenario

NODE_MODULE = "larchlatch"
FAULT_INJECTING_NODE_MODULE = "larchlatch.loadtest.fault_injecting_node"
DATAGRAM_PROXY_MODULE = "larchlatch.loadtest.datagram_fault_proxy"


class Cluster:
    """The cluster of a scenario.

    Attributes:
        nodes: Where each node receives datagrams.

    """

    def __init__(
        self,
        scenario: Scenario,
        address: str,
        folder: Path,
        nodes: Sequence[DatagramAddress],
        observer: ClusterObserver,
    ) -> None:
        """Create the cluster, whose proxy and files exist after `start`.

        Args:
            scenario: The scenario.
            address: Address of the datagram proxy.
            folder: Where the nodes' files are written.
            nodes: Where each node receives datagrams.
            observer: Is informed of partitions.

        """
        self.nodes = nodes
        self._scenario = scenario
        self._address = address
        self._folder = folder
        self._observer = observer
        self._proxy = HelperProcess(DATAGRAM_PROXY_MODULE)
        self._files: ClusterFiles | None = None
        self._injected = [InjectedFaults() for _ in nodes]
        self._counts: dict[str, int] = {}

    async def start(self) -> None:
        """Start the datagram proxy, and write each node's key and cluster file."""
        setup = proxy.Setup(self._address, self._scenario.seed, list(self.nodes))
        ports = await self._proxy.start(setup, list[list[int]])
        proxies = [[DatagramAddress(self._address, port) for port in row] for row in ports]
        self._files = ClusterFiles(self._scenario, self._folder, self.nodes, proxies)
        for number in range(len(self.nodes)):
            self._files.write(number)

    async def stop(self) -> None:
        """Stop the datagram proxy, and keep its counts."""
        self._counts = await self._proxy.stop()

    @property
    def files(self) -> ClusterFiles:
        """The cluster files, which are available once the cluster has been started."""
        if self._files is None:
            raise RuntimeError("the cluster has not been started")
        return self._files

    def bytes_per_node_and_s(self) -> int:
        """Return how many bytes were sent per node and second; 0 until the proxy has been stopped."""
        return round(self._counts.get("bytes", 0) / (self._scenario.span_s * len(self.nodes)))

    # The nodes' command lines.

    def command(self, number: int) -> NodeCommand:
        """Return the command that starts a node of the cluster, without its node configuration."""
        faults_file = str(self.injected_faults_file(number))
        return NodeCommand(self._module(), self.arguments(number), {INJECTED_FAULTS_VARIABLE: faults_file})

    def arguments(self, number: int) -> list[str]:
        """Return the arguments of `serve` that make a node join the cluster."""
        cluster_file, key_file = self.files.cluster_file(number), self.files.key_file(number)
        return ["--cluster", str(cluster_file), "--cluster-key", str(key_file)]

    def _module(self) -> str:
        """Return the module to run as a node: the fault-injecting one if the scenario needs it."""
        scenario = self._scenario
        commits_faults = any(isinstance(fault, NODE_INTERNAL_FAULTS) for fault in scenario.faults)
        return FAULT_INJECTING_NODE_MODULE if scenario.cluster.token_issuer or commits_faults else NODE_MODULE

    # Faults.

    def injected_faults_file(self, number: int) -> Path:
        """Return the path of the file from which a node reads the faults that it is to commit."""
        return self._folder / f"{node_name(number)}.orders.json"

    def set_clock_gain(self, number: int, gain: float) -> None:
        """Make a node's clock gain a share, once the node rereads its file of injected faults."""
        self._inject(number, msgspec.structs.replace(self._injected[number], skew=gain))

    def set_false_reports(self, number: int, subject: str) -> None:
        """Make a node send false reports about a subject, once the node rereads its file of faults."""
        self._inject(number, msgspec.structs.replace(self._injected[number], about=subject))

    def _inject(self, number: int, faults: InjectedFaults) -> None:
        self._injected[number] = faults
        self.injected_faults_file(number).write_bytes(msgspec.json.encode(faults))

    async def partition(self, nodes: Sequence[int], *, oneway: bool) -> None:
        """Block datagrams between these nodes and the others; oneway: those that these nodes send."""
        await self._proxy.execute(proxy.BlockNodes(list(nodes), oneway))
        self._observer.partitioned(nodes, oneway=oneway)

    async def heal_partition(self, nodes: Sequence[int], *, oneway: bool) -> None:
        """End a partition that was made with the same arguments."""
        await self._proxy.execute(proxy.UnblockNodes(list(nodes), oneway))
        self._observer.partition_healed(nodes, oneway=oneway)

    async def impair_paths(self, impairment: PathImpairment) -> None:
        """Apply an impairment to all datagrams between nodes from now on."""
        await self._proxy.execute(proxy.ImpairPaths(impairment))
