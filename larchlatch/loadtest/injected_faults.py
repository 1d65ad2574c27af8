"""The file that tells a fault-injecting node which faults to commit, as both sides decode it."""

from __future__ import annotations

from msgspec import Struct


class InjectedFaults(Struct, frozen=True):
    """The faults that a node process is to commit from now on.

    Attributes:
        skew: The share of time that its clock gains; a negative share makes it lose time.
        about: The subject about which it sends false reports; empty for none.

    """

    skew: float = 0.0
    about: str = ""
