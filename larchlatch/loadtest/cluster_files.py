"""Writes the cluster file of each node, in which the other nodes have addresses of the datagram proxy."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from larchlatch.cluster.keys import create_secret
from larchlatch.loadtest.node_settings import node_name, zone_name

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

    from larchlatch.scenario.scenario import Scenario


class DatagramAddress(NamedTuple):
    """An address and port at which a process receives datagrams."""

    address: str
    port: int


class ClusterFiles:
    """Writes the nodes' cluster files and keys into a folder.

    Attributes:
        removed: Numbers of the nodes that are omitted from files written from now on.

    """

    def __init__(
        self,
        scenario: Scenario,
        folder: Path,
        nodes: Sequence[DatagramAddress],
        proxies: Sequence[Sequence[DatagramAddress]],
    ) -> None:
        """Create the nodes' secret keys, and write them into the folder.

        Args:
            scenario: The scenario.
            folder: Where files are written.
            nodes: Where each node receives datagrams.
            proxies: For each sender and receiver, where the proxy receives the sender's datagrams for it.

        """
        self.removed: set[int] = set()
        self._scenario = scenario
        self._folder = folder
        self._nodes = nodes
        self._proxies = proxies
        self._keys = [create_secret(self.key_file(number)) for number in range(len(nodes))]

    def cluster_file(self, number: int) -> Path:
        """Return the path of a node's cluster file."""
        return self._folder / f"{node_name(number)}.cluster.toml"

    def key_file(self, number: int) -> Path:
        """Return the path of a node's secret key."""
        return self._folder / f"{node_name(number)}.key"

    def write(self, number: int) -> None:
        """Write a node's cluster file."""
        lines = [*self._quota_lines(), *self._role_lines()]
        for other in range(len(self._nodes)):
            if other not in self.removed:
                lines += self._node_lines(number, other)
        self.cluster_file(number).write_text("\n".join(lines) + "\n")

    def _node_lines(self, number: int, other: int) -> list[str]:
        """Return the entry of node `other` in the cluster file of node `number`."""
        target = self._nodes[other] if other == number else self._proxies[number][other]
        return [
            "[[nodes]]",
            f'name = "{node_name(other)}"',
            f'address = "{target.address}:{target.port}"',
            f'site = "{zone_name(other % self._scenario.zones)}"',
            f'key = "{self._keys[other]}"',
        ]

    def _quota_lines(self) -> list[str]:
        cluster = self._scenario.cluster
        if not cluster.sessions_per_s:
            return [f"beat_ms = {cluster.heartbeat_ms}", f"skew = {cluster.max_clock_skew}"]
        traffic_classes = ", ".join(
            f'"t{index}"' for index in range(len(self._scenario.sessions.idempotencies))
        )
        return [
            f"beat_ms = {cluster.heartbeat_ms}",
            f"floor = {cluster.floor}",
            f"window_ms = {round(cluster.window_s * 1000)}",
            f"term_ms = {round(cluster.term_s * 1000)}",
            f"skew = {cluster.max_clock_skew}",
            "[[budgets]]",
            'name = "all"',
            f"links_per_s = {cluster.sessions_per_s}",
            f"tariffs = [{traffic_classes}]",
        ]

    def _role_lines(self) -> list[str]:
        cluster = self._scenario.cluster
        if not cluster.has_roles:
            return []
        electors = ", ".join(f'"{node_name(number)}"' for number in range(cluster.electors))
        lines = ["[duties]", f"electors = [{electors}]", f"term_ms = {round(cluster.term_s * 1000)}"]
        if cluster.quota_allocator:
            lines.append("allot = true")
        if cluster.token_issuer:
            lines.append("pace = true")
        return lines
