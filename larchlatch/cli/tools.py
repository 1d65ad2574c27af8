"""The commands of the emulator, the load test and the model checker, imported only when one is called."""

from __future__ import annotations

from importlib import import_module

import click

# The module of each command, so that the commands can be listed without importing them.
TOOL_COMMANDS = {
    "emulate": "larchlatch.cli.emulator",
    "sweep": "larchlatch.cli.emulator",
    "plot": "larchlatch.cli.emulator",
    "load": "larchlatch.cli.load",
    "soak": "larchlatch.cli.soak",
    "search": "larchlatch.cli.emulator",
}


def load_tool_command(name: str) -> click.Command:
    """Import the module of a tool command, and return the command.

    Raises:
        click.ClickException: A package that the tools require is not installed.

    """
    try:
        module = import_module(TOOL_COMMANDS[name])
    except ModuleNotFoundError as error:
        # A missing module of larchlatch itself is a fault of the program, which must not be reported as a
        # missing package.
        if (error.name or "").startswith("larchlatch"):
            raise
        raise click.ClickException(
            f"{name} requires the package {error.name}, which is not installed: "
            "run pip install -r requirements-tools.txt"
        ) from None
    command: click.Command = getattr(module, name)
    return command
