"""The command `soak`, which plays a soak on sockets."""

from __future__ import annotations

import click

from larchlatch.cli.load_report import report_load_test

MIN_MINUTES = 0.2
MAX_MINUTES = 720.0


@click.command()
@click.option("--seed", type=int, default=1, show_default=True, help="The seed of all that is drawn.")
@click.option(
    "--minutes",
    type=click.FloatRange(MIN_MINUTES, MAX_MINUTES),
    default=1.0,
    show_default=True,
    help="The length of the soak.",
)
@click.option("--single", is_flag=True, help="One node without a cluster, in place of a cluster of nodes.")
@click.option(
    "--address",
    default="127.0.0.1",
    show_default=True,
    help="The loopback address of IPv4 to play on; other addresses are rejected.",
)
def soak(*, seed: int, minutes: float, single: bool, address: str) -> None:
    """Play steady demand on loopback sockets while the peers of every socket of the nodes misbehave.

    Meanwhile nodes are reloaded, drained and replaced by hot restarts, and one is removed from the cluster.

    Prints the result to standard output as one line of JSON, and violations to standard error. The same seed
    draws the same faults and operations again; their order in time depends on the machine as well.

    Exit code 3 means that a rule was broken, or that a node ended, did not answer, logged an exception, or
    held descriptors or memory without clients. Exit code 4 means that the run is void: it started clients too
    late, so its figures are not reliable.

    \u0008
    Example:
      python -m larchlatch soak --seed 7 --minutes 30
    """
    # Imported only when the command runs: listing the commands for `--help` must not import the load test.
    from larchlatch.loadtest.errors import LoadTestError
    from larchlatch.loadtest.limits import check_address, raise_descriptor_limit
    from larchlatch.soak.run import run_soak
    from larchlatch.soak.scenario import soak_scenario

    scenario = soak_scenario(seed, minutes, in_cluster=not single)
    raise_descriptor_limit(scenario)
    try:
        result, violations = run_soak(scenario, check_address(address))
    except LoadTestError as error:
        raise click.ClickException(str(error)) from error
    report_load_test(scenario, result, violations)
