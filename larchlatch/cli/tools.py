"""The commands of the tools for trying designs, imported only when one of them is called."""

from __future__ import annotations

from importlib import import_module

import click

# The module of each command, so that the commands can be listed without importing them.
TOOL_COMMANDS = {
    "emulate": "larchlatch.cli.emulator",
    "sweep": "larchlatch.cli.emulator",
    "plot": "larchlatch.cli.emulator",
    "load": "larchlatch.cli.load",
    "search": "larchlatch.cli.emulator",
}


def load_tool_command(name: str) -> click.Command:
    """Return a command of the tools, importing its module.

    Raises:
        click.ClickException: A package that the tools need is not installed.

    """
    try:
        module = import_module(TOOL_COMMANDS[name])
    except ModuleNotFoundError as error:
        # A module of larchlatch that is missing is a fault of the program, not of the installation.
        if (error.name or "").startswith("larchlatch"):
            raise
        raise click.ClickException(
            f"{name} wants {error.name}: pip install -r requirements-tools.txt"
        ) from None
    command: click.Command = getattr(module, name)
    return command
