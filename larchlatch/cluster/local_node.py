"""Holds what a node needs to join its cluster, and reads its cluster file again after a change."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from larchlatch.cluster.cluster_file import (
    check_traffic_classes,
    check_transition,
    own_node,
    read_cluster_file,
)

if TYPE_CHECKING:
    from pathlib import Path

    from larchlatch.cluster.cluster_file import ClusterConfiguration
    from larchlatch.cluster.protocol.signing import Signer


class LocalNode(NamedTuple):
    """The identity and configuration with which a node joins its cluster, checked before the node starts.

    Attributes:
        name: the node's name.
        traffic_classes: names of the traffic classes in the node's configuration.
        path: path of the cluster file.
        configuration: the content of the cluster file at the node's start.
        signer: signs messages with the node's secret key.

    """

    name: str
    traffic_classes: tuple[str, ...]
    path: Path
    configuration: ClusterConfiguration
    signer: Signer

    def read_changed_file(self, *, current: ClusterConfiguration) -> ClusterConfiguration:
        """Read the cluster file again, and return its content.

        Args:
            current: the configuration that the node uses at present.

        Raises:
            ConfigurationError: the file is invalid, or a running node can't change to it.

        """
        configuration = read_cluster_file(self.path)
        own_node(configuration, self.name)
        check_traffic_classes(configuration, self.traffic_classes)
        check_transition(configuration, before=current)
        return configuration
