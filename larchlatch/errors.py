"""Exceptions of larchlatch.

Outcomes that a caller has to expect, such as a rejected session, are return values. Exceptions are for faults
that stop a reader, a connection or the start of a process. They are caught by type, never by their message.
"""

from __future__ import annotations


class LarchlatchError(Exception):
    """Base of all exceptions that larchlatch raises itself."""


class InvalidInputError(LarchlatchError):
    """Input is not in the form that its documentation requires.

    Attributes:
        where: The file, message or key, as its author would look for it.
        problem: What is wrong there, and what was expected.

    """

    def __init__(self, where: str, problem: str) -> None:
        """Compose the message `where: problem`, which is printed and logged as a single line."""
        super().__init__(f"{where}: {problem}")
        self.where = where
        self.problem = problem


class ConfigurationError(InvalidInputError):
    """A file of the operators, an environment variable or the value of a command's option is wrong."""


class ProtocolError(InvalidInputError):
    """A message from another process is wrong: a node, an upstream, discovery or the simulator."""
