"""This node as its cluster file describes it."""

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
    """What a node needs to join its cluster, read and checked before it starts.

    Attributes:
        name: the node's name.
        traffic_classes: names of the traffic classes that the node has.
        path: the cluster file.
        configuration: the content of the file at the start.
        signer: signs with the node's key.

    """

    name: str
    traffic_classes: tuple[str, ...]
    path: Path
    configuration: ClusterConfiguration
    signer: Signer

    def read_changed_file(self, *, present: ClusterConfiguration) -> ClusterConfiguration:
        """Return the content of the cluster file now.

        Args:
            present: the configuration that the node uses.

        Raises:
            ConfigurationError: the file is wrong, or the running node can't change to it.

        """
        configuration = read_cluster_file(self.path)
        own_node(configuration, self.name)
        check_traffic_classes(configuration, self.traffic_classes)
        check_transition(configuration, before=present)
        return configuration
