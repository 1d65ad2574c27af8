"""Tests of the command line: what it imports when, and how it reports invalid input."""

from __future__ import annotations

from pathlib import Path
from types import ModuleType
from typing import Any

import click
import pytest
from click.testing import CliRunner

from larchlatch import VERSION
from larchlatch.__main__ import cli
from larchlatch.cli.main import EXIT_INVALID_INPUT
from larchlatch.cli.tools import TOOL_COMMANDS, load_tool_command


def test_all_commands_are_listed() -> None:
    """A command of the tools that is missing in `TOOL_COMMANDS` could not be called."""
    result = CliRunner().invoke(cli, ["--help"])
    assert result.exit_code == 0
    for name in (
        "check",
        "cluster-key",
        "emulate",
        "load",
        "plot",
        "search",
        "serve",
        "soak",
        "sweep",
        "version",
    ):
        assert f"  {name} " in result.stdout
    assert CliRunner().invoke(cli, ["version"]).stdout == f"{VERSION}\n"


@pytest.mark.parametrize("name", TOOL_COMMANDS)
def test_a_command_of_the_tools_is_found_by_its_name(name: str) -> None:
    """A wrong module in `TOOL_COMMANDS` would show only when the command is called."""
    assert load_tool_command(name).name == name


@pytest.mark.parametrize("options", [["check"], ["serve"]])
def test_wrong_input_ends_a_command_with_one_line_and_exit_code_2(options: list[str], tmp_path: Path) -> None:
    """An operator who names a wrong file would see a traceback if the error were not caught."""
    result = CliRunner().invoke(cli, [*options, "--config", str(tmp_path / "none")])
    assert result.exit_code == EXIT_INVALID_INPUT == 2
    assert result.stderr.startswith("larchlatch: configuration: can't be read (")
    assert result.stderr.count("\n") == 1 and result.stdout == ""


@pytest.mark.parametrize("missing", ["numpy", "larchlatch.scenario"])
def test_a_package_that_the_tools_lack_is_named(missing: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """A tool without its package must say what to install; a missing module of larchlatch must be raised.

    Reported as a missing package, a module that is missing by mistake would send the user to pip in vain.
    """

    def import_module(name: str) -> ModuleType:
        raise ModuleNotFoundError(f"No module named {missing!r}", name=missing)

    monkeypatch.setattr("larchlatch.cli.tools.import_module", import_module)
    is_own_module = missing.startswith("larchlatch")
    expected: Any = ModuleNotFoundError if is_own_module else click.ClickException
    with pytest.raises(expected) as caught:
        load_tool_command("emulate")
    assert is_own_module or (
        "emulate requires the package numpy, which is not installed: "
        "run pip install -r requirements-tools.txt"
    ) in str(caught.value)
