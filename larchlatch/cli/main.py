"""The command `larchlatch` and its subcommands."""

from __future__ import annotations

import sys

import click

from larchlatch.cli.inspect import check, cluster_key, version
from larchlatch.cli.serve import serve
from larchlatch.cli.tools import TOOL_COMMANDS, load_tool_command
from larchlatch.errors import InvalidInputError

EXIT_INVALID_INPUT = 2


class LazyGroup(click.Group):
    """A command group that imports the commands of the tools only when they are called.

    A node must start fast and use no memory for the tools, whose packages need not be installed with a node.
    """

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands, without importing the tools."""
        return [*super().list_commands(ctx), *TOOL_COMMANDS]

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Return the command of that name; None if there is none."""
        if cmd_name in TOOL_COMMANDS:
            return load_tool_command(cmd_name)
        return super().get_command(ctx, cmd_name)

    def invoke(self, ctx: click.Context) -> object:
        """Run a command; invalid input ends it with one line on standard error and exit code 2."""
        try:
            return super().invoke(ctx)
        except InvalidInputError as error:
            click.echo(f"larchlatch: {error}", err=True)
            sys.exit(EXIT_INVALID_INPUT)


@click.group(cls=LazyGroup)
def cli() -> None:
    """A balancer for long-lived client connections."""


for command in (serve, check, cluster_key, version):
    cli.add_command(command)
