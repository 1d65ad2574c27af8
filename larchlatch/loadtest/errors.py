"""Exceptions that end a load test early."""

from __future__ import annotations

from larchlatch.errors import LarchlatchError


class LoadTestError(LarchlatchError):
    """The load test can't continue."""


class NodeProcessError(LoadTestError):
    """A node's process does not serve, and no fault of the scenario explains it: the node is defective."""

    def __init__(self, number: int, problem: str) -> None:
        """Compose the message.

        Args:
            number: The node's number.
            problem: What went wrong, with the last line of the node's log if it ended.

        """
        super().__init__(f"node {number} {problem}")
        self.number = number
        self.problem = problem


class HelperProcessError(LoadTestError):
    """A helper process ended or sent an invalid reply: the load test is defective, not a node."""

    def __init__(self, module: str, problem: str) -> None:
        """Compose the message.

        Args:
            module: The module that the process runs.
            problem: What went wrong.

        """
        super().__init__(f"helper process {module}: {problem}")
        self.module = module
        self.problem = problem
