"""Exceptions of larchlatch.

Expected outcomes are values. Exceptions are for what stops a reader, a connection or the start of a process.
"""

from __future__ import annotations


class LarchlatchError(Exception):
    """Base of all exceptions that larchlatch raises itself."""


class InvalidInputError(LarchlatchError):
    """Input is not in the form that its page requires.

    Attributes:
        where: the file, message or key, as the reader of the message would look for it.
        problem: what is wrong there, and what was expected.

    """

    def __init__(self, where: str, problem: str) -> None:
        """Compose the message `where: problem`."""
        super().__init__(f"{where}: {problem}")
        self.where = where
        self.problem = problem


class ConfigurationError(InvalidInputError):
    """A configuration file, an operator's file or a command's value is wrong."""


class ProtocolError(InvalidInputError):
    """A message of a peer, of discovery or of the simulator is wrong."""


class StateError(LarchlatchError):
    """An operation was asked for that the present state does not allow."""
