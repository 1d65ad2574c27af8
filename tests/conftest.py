"""Marks the tests listed in KNOWN-RED.txt, which fail because of known open faults, as expected failures.

Each line of the list has the form `file::test | cause | issue`. The entries are printed at the end of a run.
A run fails if a listed test passes, until its line is removed from the list.
"""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

import pytest

KNOWN_FAILURES_FILE = "KNOWN-RED.txt"
pytest_plugins = ["pytester"]


class KnownFailure(NamedTuple):
    test: str  # file and name in the form of pytest's node IDs
    cause: str
    issue: str


def read_known_failures(path: Path) -> list[KnownFailure]:
    """Return the entries of the list.

    Raises:
        UsageError: An entry is malformed, or a test has two entries.
    """
    failures: list[KnownFailure] = []
    for number, line in enumerate(path.read_text().splitlines() if path.exists() else (), 1):
        if not line.strip():
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise pytest.UsageError(f"{path.name}:{number}: not 'file::test | cause | issue'")
        failure = KnownFailure(*parts)
        if any(failure.test == other.test for other in failures):
            raise pytest.UsageError(f"{path.name}:{number}: listed twice: {failure.test}")
        failures.append(failure)
    return failures


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    for failure in read_known_failures(config.rootpath / KNOWN_FAILURES_FILE):
        listed = [item for item in items if failure.test in (item.nodeid, item.nodeid.partition("[")[0])]
        for item in listed:
            item.add_marker(pytest.mark.xfail(reason=f"{failure.cause} ({failure.issue})", strict=True))
        # A run of selected files shows nothing about tests in others, but a test whose file does not exist
        # is an error in every run.
        file = failure.test.partition("::")[0]
        file_exists = (config.rootpath / file).exists()
        if not listed and (not file_exists or any(item.nodeid.startswith(f"{file}::") for item in items)):
            raise pytest.UsageError(f"{KNOWN_FAILURES_FILE}: no such test: {failure.test}")


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter, exitstatus: int, config: pytest.Config
) -> None:
    for failure in read_known_failures(config.rootpath / KNOWN_FAILURES_FILE):
        terminalreporter.write_line(f"known red: {failure.test}: {failure.cause} ({failure.issue})")
