"""Exceptions that end a load test before its time."""

from __future__ import annotations

from larchlatch.errors import LarchlatchError


class LoadTestError(LarchlatchError):
    """A load test can't go on."""


class NodeProcessError(LoadTestError):
    """A node's process does not serve, though no fault of the scenario keeps it from that: a broken node."""

    def __init__(self, number: int, problem: str) -> None:
        """Compose the message.

        Args:
            number: The node's number.
            problem: What is wrong, with the last line of its log.

        """
        super().__init__(f"node {number} {problem}")
        self.number = number
        self.problem = problem


class HelperProcessError(LoadTestError):
    """A helper process of the load test has ended or answers nonsense: a broken tool, not a broken node."""

    def __init__(self, module: str, problem: str) -> None:
        """Compose the message.

        Args:
            module: The module that the process runs.
            problem: What is wrong.

        """
        super().__init__(f"helper process {module}: {problem}")
        self.module = module
        self.problem = problem
