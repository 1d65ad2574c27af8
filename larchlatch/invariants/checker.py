"""The protocol of all invariant checkers."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING, NamedTuple, Protocol

if TYPE_CHECKING:
    from larchlatch.invariants.observations import Observation

Figures = Mapping[str, float | int | None]  # by the keys of a result


class Verdict(NamedTuple):
    """Whether a property has held.

    Attributes:
        invariant: The property's name.
        violations: The number of violations.

    """

    invariant: str
    violations: int

    @property
    def holds(self) -> bool:
        """Whether it was never violated."""
        return self.violations == 0


class InvariantChecker(Protocol):
    """Judges one property by what is observed from outside."""

    def observe(self, observation: Observation) -> None:
        """Record an observation; those that do not concern the property are ignored."""
        ...

    def verdict(self) -> Verdict:
        """Return whether the property has held so far."""
        ...

    def figures(self, now: int) -> Figures:
        """Return the property's figures by their keys in a result; `now` is the end of the scenario."""
        ...
