"""Commands that check or make an operator's files, and `version`. None of them needs a running node."""

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
    help="The file for the secret key; it must not exist.",
)
def cluster_key(out: Path) -> None:
    """Create a node's key: write the secret key to a file, print the public key for the cluster file."""
    # A node without a cluster must not load this package.
    from larchlatch.cluster.keys import create_secret

    click.echo(create_secret(out))


@click.command()
@click.option(
    "--config",
    envvar="EDGE_CONFIG",
    type=click.Path(path_type=Path),
    help="A node's configuration, in JSON.  [env: EDGE_CONFIG]",
)
@click.option("--contracts", type=click.Path(path_type=Path), help="Contracts of teams, in TOML.")
@click.option("--cluster", type=click.Path(path_type=Path), help="A cluster file, in TOML.")
def check(config: Path | None, contracts: Path | None, cluster: Path | None) -> None:
    r"""Check a node's configuration, contracts or a cluster file, and name the key that is wrong.

    \b
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
        raise click.UsageError("Missing option '--config', '--contracts' or '--cluster'.")


def describe_cluster_file(path: Path) -> str:
    """Return a summary of a valid cluster file, in one line.

    Raises:
        InvalidInputError: The file is not valid.

    """
    # A node without a cluster must not load this package.
    from larchlatch.cluster.cluster_file import read_cluster_file

    cluster = read_cluster_file(path)
    nodes = len(cluster.nodes)
    sites = len({node.site for node in cluster.nodes.values()})
    electors = len(cluster.electorate.electors)
    budgets = len(cluster.quota_settings.quotas)
    return f"cluster: in order; {nodes} nodes, {sites} sites, {electors} electors, {budgets} budgets"


def describe_contracts(path: Path) -> str:
    """Return a summary of valid contracts, in one line.

    Raises:
        InvalidInputError: The file is not valid.

    """
    # Contracts are read with msgspec, which a node need not have.
    from larchlatch.broker.contracts import read_contracts

    contracts = read_contracts(path)
    return f"contracts: in order; {len(contracts.teams)} teams, {len(contracts.pools)} pools"


def describe_configuration(path: Path) -> str:
    """Return a summary of a node's valid configuration, in one line.

    Raises:
        InvalidInputError: The file is not valid.

    """
    configuration = read_node_configuration(path)
    upstreams = len(configuration.known_endpoints.endpoints)
    traffic_classes = len(configuration.traffic_class_names)
    zones = len(configuration.zones)
    return (
        f"{configuration.name}: in order; {upstreams} hosts known, {traffic_classes} tariffs, {zones} zones"
    )


@click.command()
def version() -> None:
    """Print the version."""
    click.echo(VERSION)
