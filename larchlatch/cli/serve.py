"""The command `serve`, which runs a node."""

from __future__ import annotations

import logging
from pathlib import Path
from typing import TYPE_CHECKING

import anyio
import click
import structlog

from larchlatch.config.node import NodeConfiguration, read_node_configuration
from larchlatch.node.runtime import run_node

if TYPE_CHECKING:
    from larchlatch.node.ports import ClusterFactory


@click.command()
@click.option(
    "--config",
    envvar="EDGE_CONFIG",
    required=True,
    type=click.Path(path_type=Path),
    help="The configuration of the node, a JSON file.  [env: EDGE_CONFIG]",
)
@click.option("--verbose", is_flag=True, help="Also log the events of individual sessions.")
@click.option(
    "--cluster", type=click.Path(path_type=Path), help="The cluster file, in TOML; requires --cluster-key."
)
@click.option(
    "--cluster-key",
    envvar="LARCHLATCH_CLUSTER_KEY",
    type=click.Path(path_type=Path),
    help="The file with this node's secret key, written by `cluster-key`.  [env: LARCHLATCH_CLUSTER_KEY]",
)
def serve(*, config: Path, verbose: bool, cluster: Path | None, cluster_key: Path | None) -> None:
    """Run one node until SIGTERM or SIGINT.

    SIGHUP makes the node read its configuration and its cluster file again; SIGUSR1 makes it log its
    counters and its state.

    \u0008
    Example:
      python -m larchlatch serve --config node.json
    """
    configuration = read_node_configuration(config)
    cluster_factory = None if cluster is None else make_cluster_factory(configuration, cluster, cluster_key)
    configure_log(verbose=verbose)
    anyio.run(run_node, configuration, config, cluster_factory, backend_options={"use_uvloop": True})


def configure_log(*, verbose: bool) -> None:
    """Configure the log: one line of JSON per event, on standard output."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.DEBUG if verbose else logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(),
    )


def make_cluster_factory(
    configuration: NodeConfiguration, path: Path, key_path: Path | None
) -> ClusterFactory:
    """Return a factory of the cluster service, which the node calls when it starts.

    The cluster file and the key are read now, so that the node does not start if one of them is not valid.

    Raises:
        click.UsageError: The option for the key is missing.
        InvalidInputError: The cluster file or the key is not valid, or they do not match each other or the
            configuration.

    """
    # Imported only here: a node without a cluster must not load this package.
    from larchlatch.cluster.cluster_file import check_traffic_classes, read_cluster_file
    from larchlatch.cluster.keys import own_signer, read_secret
    from larchlatch.cluster.local_node import LocalNode
    from larchlatch.cluster.service import ClusterService

    if key_path is None:
        raise click.UsageError("Missing option '--cluster-key': it is required with '--cluster'.")
    name, traffic_classes = configuration.name, configuration.traffic_class_names
    cluster = read_cluster_file(path)
    signer = own_signer(cluster, name, read_secret(key_path))
    check_traffic_classes(cluster, traffic_classes)
    local_node = LocalNode(name, tuple(traffic_classes), path, cluster, signer)
    return lambda counters, random_source, balancer_actor: ClusterService(
        local_node, counters, random_source, balancer_actor
    )
