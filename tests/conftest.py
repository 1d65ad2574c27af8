"""Marks the tests listed in KNOWN-RED.txt, which fail because of known open faults, as expected failures.

Each line of the list has the form `file::test | cause | issue`. The entries are printed at the end of a run.
A run fails if a listed test passes, until its line is removed from the list.
"""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

import pytest

KNOWN_RED = "KNOWN-RED.txt"
MOST_RED = 3
pytest_plugins = ["pytester"]


class Red(NamedTuple):
    test: str  # file and name in the form of pytest's node IDs
    cause: str
    issue: str


def known_red(path: Path) -> list[Red]:
    """Return the entries of the list.

    Raises:
        UsageError: An entry is malformed, or there are too many entries.
    """
    reds = []
    for number, line in enumerate(path.read_text().splitlines() if path.exists() else (), 1):
        if not line.strip():
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise pytest.UsageError(f"{path.name}:{number}: not 'file::test | cause | issue'")
        reds.append(Red(*parts))
    if len(reds) > MOST_RED:
        raise pytest.UsageError(f"{path.name}: {len(reds)} tests, {MOST_RED} at most")
    return reds


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    for red in known_red(config.rootpath / KNOWN_RED):
        listed = [item for item in items if red.test in (item.nodeid, item.nodeid.partition("[")[0])]
        for item in listed:
            item.add_marker(pytest.mark.xfail(reason=f"{red.cause} ({red.issue})", strict=True))
        # A run of selected files shows nothing about tests in others, but a test whose file does not exist
        # is an error in every run.
        file = red.test.partition("::")[0]
        there = (config.rootpath / file).exists()
        if not listed and (not there or any(item.nodeid.startswith(f"{file}::") for item in items)):
            raise pytest.UsageError(f"{KNOWN_RED}: no such test: {red.test}")


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter, exitstatus: int, config: pytest.Config
) -> None:
    for red in known_red(config.rootpath / KNOWN_RED):
        terminalreporter.write_line(f"known red: {red.test}: {red.cause} ({red.issue})")
