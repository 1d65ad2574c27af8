"""Defines the exceptions of larchlatch.

Outcomes that a caller has to expect, such as a rejected session, are return values. Exceptions are for errors
that stop the parsing of an input, a connection or the start of a process. Callers tell exceptions apart by
type, never by message.
"""

from __future__ import annotations


class LarchlatchError(Exception):
    """Base class of all exceptions that larchlatch defines."""


class InvalidInputError(LarchlatchError):
    """Input is not in the form that its documentation requires.

    Attributes:
        where: The file, message or key that is invalid, named as its author would look for it.
        problem: The error found there.

    """

    def __init__(self, where: str, problem: str) -> None:
        """Compose the message `where: problem`, which is printed and logged as a single line."""
        super().__init__(f"{where}: {problem}")
        self.where = where
        self.problem = problem


class ConfigurationError(InvalidInputError):
    """A file of the operators, an environment variable or the value of a command line option is invalid."""


class ProtocolError(InvalidInputError):
    """A message from another process (a node, an upstream, discovery or the simulator) is invalid."""
