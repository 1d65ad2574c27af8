"""The commands of the emulator and the load tool, imported when one of them is called."""

from __future__ import annotations

from typing import TYPE_CHECKING

import click

if TYPE_CHECKING:
    from collections.abc import Sequence

# Named here, so that `--help` lists them without importing them.
TOOL_COMMANDS: Sequence[str] = ("emulate", "sweep", "plot", "load", "search")


def load_tool_command(name: str) -> click.Command:
    """Import a command of the tools.

    Raises:
        click.ClickException: A package that the tools need is not installed.

    """
    try:
        from larchlatch.emulator.commands import COMMANDS
    except ModuleNotFoundError as error:
        # A module of larchlatch that is missing is a fault of the program, not of the installation.
        if (error.name or "").startswith("larchlatch"):
            raise
        raise click.ClickException(
            f"{name} wants {error.name}: pip install -r requirements-tools.txt"
        ) from None
    return COMMANDS[name]
