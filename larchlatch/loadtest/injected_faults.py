"""What a fault-injecting node is told to do, in a file that both the load test and the node know."""

from __future__ import annotations

from msgspec import Struct


class InjectedFaults(Struct, frozen=True):
    """The faults that a node's own process commits now.

    Attributes:
        skew: the share that its clock gains; below 0 it loses.
        about: subject of which it sends false reports; "" for none.

    """

    skew: float = 0.0
    about: str = ""
