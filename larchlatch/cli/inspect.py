"""The commands `check`, `cluster-key` and `version`, none of which needs a running node."""

from __future__ import annotations

from pathlib import Path

import click

from larchlatch import VERSION
from larchlatch.config.node import read_node_configuration


@click.command()
@click.option(
    "--out",
    type=click.Path(path_type=Path),
    required=True,
    help="The file to create for the secret key; it must not exist yet.",
)
def cluster_key(out: Path) -> None:
    """Create the key pair of a node in a cluster.

    Writes the secret key to a new file, for the option --cluster-key of `serve`. Prints the public key, for
    the node's entry in the cluster file.
    """
    # Imported only here: a node without a cluster must not load this package.
    from larchlatch.cluster.keys import create_secret

    click.echo(create_secret(out))


@click.command()
@click.option(
    "--config",
    envvar="EDGE_CONFIG",
    type=click.Path(path_type=Path),
    help="The configuration of a node, a JSON file.  [env: EDGE_CONFIG]",
)
@click.option("--contracts", type=click.Path(path_type=Path), help="The contracts of teams, a TOML file.")
@click.option("--cluster", type=click.Path(path_type=Path), help="A cluster file, in TOML.")
def check(config: Path | None, contracts: Path | None, cluster: Path | None) -> None:
    """Check a node's configuration, contracts or a cluster file.

    Prints a summary of a valid file. For a file that is not valid, names the key that is wrong, and ends with
    exit code 2. Checks only one file: --cluster comes before --contracts, and both come before --config.

    \u0008
    Example:
      python -m larchlatch check --config node.json
    """
    if cluster is not None:
        click.echo(describe_cluster_file(cluster))
    elif contracts is not None:
        click.echo(describe_contracts(contracts))
    elif config is not None:
        click.echo(describe_configuration(config))
    else:
        raise click.UsageError("Missing option '--config', '--contracts' or '--cluster': one is required.")


def describe_cluster_file(path: Path) -> str:
    """Return a one-line summary of a valid cluster file.

    Raises:
        InvalidInputError: The file is not valid.

    """
    # Imported only here: a node without a cluster must not load this package.
    from larchlatch.cluster.cluster_file import read_cluster_file

    cluster = read_cluster_file(path)
    nodes = len(cluster.nodes)
    sites = len({node.site for node in cluster.nodes.values()})
    electors = len(cluster.electorate.electors)
    quotas = len(cluster.quota_settings.quotas)
    return f"cluster: valid; {nodes} nodes, {sites} sites, {electors} electors, {quotas} quotas"


def describe_contracts(path: Path) -> str:
    """Return a one-line summary of valid contracts.

    Raises:
        InvalidInputError: The file is not valid.

    """
    # Contracts are read with msgspec, which need not be installed for a node without a cluster.
    from larchlatch.broker.contracts import read_contracts

    contracts = read_contracts(path)
    return f"contracts: valid; {len(contracts.teams)} teams, {len(contracts.pools)} pools"


def describe_configuration(path: Path) -> str:
    """Return a one-line summary of a node's valid configuration.

    Raises:
        InvalidInputError: The file is not valid.

    """
    configuration = read_node_configuration(path)
    upstreams = len(configuration.known_endpoints.endpoints)
    traffic_classes = len(configuration.traffic_class_names)
    zones = len(configuration.zones)
    return (
        f"{configuration.name}: valid; "
        f"{upstreams} known upstreams, {traffic_classes} traffic classes, {zones} zones"
    )


@click.command()
def version() -> None:
    """Print the version of larchlatch."""
    click.echo(VERSION)
