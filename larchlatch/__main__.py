"""The command line."""

from __future__ import annotations

import logging
import sys
from pathlib import Path

import anyio
import click
import structlog

from larchlatch import VERSION
from larchlatch.config.node import Plan, plan_of
from larchlatch.errors import InvalidInputError
from larchlatch.node.ports import ClusterFactory
from larchlatch.node.runtime import node

WHERE = click.option(
    "--config",
    envvar="EDGE_CONFIG",
    required=True,
    type=click.Path(path_type=Path),
    help="The configuration, a JSON file.  [env: EDGE_CONFIG]",
)


def read(path: Path) -> Plan:
    """The configuration, or one line that says what is wrong with it, and exit code 2."""
    try:
        return plan_of(path)
    except InvalidInputError as error:
        click.echo(f"larchlatch: {error}", err=True)
        sys.exit(2)


TOOLS = ("emulate", "sweep", "plot", "load", "search")


class Commands(click.Group):
    """Commands of the tools are read when they are called: a node needs no more than its own."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return [*super().list_commands(ctx), *TOOLS]

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if cmd_name not in TOOLS:
            return super().get_command(ctx, cmd_name)
        try:
            from larchlatch.emulator.commands import COMMANDS
        except ModuleNotFoundError as error:
            if (error.name or "").startswith("larchlatch"):
                raise
            raise click.ClickException(
                f"{cmd_name} wants {error.name}: pip install -r requirements-tools.txt"
            ) from None
        return COMMANDS[cmd_name]

    def invoke(self, ctx: click.Context) -> object:
        try:
            return super().invoke(ctx)
        except InvalidInputError as error:
            click.echo(f"larchlatch: {error}", err=True)
            sys.exit(2)


@click.group(cls=Commands)
def cli() -> None:
    """A balancer for long-lived connections."""


@cli.command()
@WHERE
@click.option("--verbose", is_flag=True, help="Log what befalls single connections, too.")
@click.option("--cluster", type=click.Path(path_type=Path), help="Who is in the cluster, a TOML file.")
@click.option(
    "--cluster-key",
    envvar="LARCHLATCH_CLUSTER_KEY",
    type=click.Path(path_type=Path),
    help="This node's secret key, as `cluster-key` writes it.  [env: LARCHLATCH_CLUSTER_KEY]",
)
def serve(config: Path, verbose: bool, cluster: Path | None, cluster_key: Path | None) -> None:
    """Run one node until SIGTERM; SIGHUP rereads its configuration, SIGUSR1 prints its counters."""
    plan = read(config)
    join = None if cluster is None else joining(plan, cluster, cluster_key)
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
    anyio.run(node, plan, config, join, backend_options={"use_uvloop": True})


def joining(plan: Plan, path: Path, key: Path | None) -> ClusterFactory:
    """How the node joins its cluster; what is wrong with file or key is said now, not when it runs."""
    from larchlatch.cluster.cluster_file import fits_traffic_classes, fleet_of, own_seal, secret_of
    from larchlatch.cluster.service import Cluster  # nodes without a cluster load none of it

    if key is None:
        raise click.UsageError("--cluster wants '--cluster-key' as well")
    fleet = fleet_of(path)
    seal = own_seal(fleet, plan.name, secret_of(key))
    fits_traffic_classes(fleet, plan.traffic_classes)
    return lambda counters, chance, events: Cluster(
        plan.name, plan.traffic_classes, path, fleet, seal, counters, chance, events
    )


@cli.command()
@click.option("--out", type=click.Path(path_type=Path), required=True, help="The secret key; must not exist.")
def cluster_key(out: Path) -> None:
    """Make a node's key: the secret one into a file, the public one, for the cluster file, printed."""
    from larchlatch.cluster.cluster_file import new_secret

    click.echo(new_secret(out))


@cli.command()
@click.option("--config", envvar="EDGE_CONFIG", type=click.Path(path_type=Path), help="A configuration.")
@click.option("--contracts", type=click.Path(path_type=Path), help="Contracts of teams, a TOML file.")
@click.option("--cluster", type=click.Path(path_type=Path), help="Who is in the cluster, a TOML file.")
def check(config: Path | None, contracts: Path | None, cluster: Path | None) -> None:
    """Read a configuration, contracts or a cluster file, and say what is wrong with it."""
    if cluster is not None:
        from larchlatch.cluster.cluster_file import fleet_of

        fleet = fleet_of(cluster)
        sites = {peer.site for peer in fleet.peers.values()}
        budgets = len(fleet.dealing.limits)
        who = f"{len(fleet.peers)} nodes, {len(sites)} sites, {len(fleet.roster.electors)} electors"
        click.echo(f"cluster: in order; {who}, {budgets} budgets")
        return
    if contracts is not None:
        from larchlatch.broker.contracts import contracts_of  # msgspec is not for nodes

        told = contracts_of(contracts)
        click.echo(f"contracts: in order; {len(told.teams)} teams, {len(told.pools)} pools")
        return
    if config is None:
        raise click.UsageError("Missing option '--config', '--contracts' or '--cluster'.")
    plan = read(config)
    click.echo(
        f"{plan.name}: in order; {len(plan.known.members)} hosts known, {len(plan.traffic_classes)} tariffs, "
        f"{len(plan.zones)} zones"
    )


@cli.command()
def version() -> None:
    """Print the version."""
    click.echo(VERSION)


if __name__ == "__main__":
    cli()
