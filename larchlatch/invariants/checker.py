"""The protocol that all invariant checkers have in common."""

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
        violations: How often it was violated.

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
        """Take an observation; those of no concern to the property are ignored."""
        ...

    def verdict(self) -> Verdict:
        """Return whether the property has held up to now."""
        ...

    def figures(self, now: int) -> Figures:
        """Return the property's figures for a result, by their keys; the scenario is over at `now`."""
        ...
