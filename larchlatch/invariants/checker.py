"""The protocol that all invariant checkers implement."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING, NamedTuple, Protocol

if TYPE_CHECKING:
    from larchlatch.invariants.observations import Observation

Figures = Mapping[str, float | int | None]  # values by the key under which a result shows them


class Verdict(NamedTuple):
    """The result of checking one property.

    Attributes:
        invariant: The name of the property.
        violations: The number of violations.

    """

    invariant: str
    violations: int

    @property
    def holds(self) -> bool:
        """Whether the property was never violated."""
        return self.violations == 0


class InvariantChecker(Protocol):
    """Checks one property by observations from outside the nodes."""

    def observe(self, observation: Observation) -> None:
        """Record an observation; ignore it if it does not concern the property."""
        ...

    def verdict(self) -> Verdict:
        """Return how often the property has been violated so far."""
        ...

    def figures(self, now: int) -> Figures:
        """Return the property's figures, by their keys in the result; `now` is the end of the scenario."""
        ...
