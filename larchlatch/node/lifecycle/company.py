"""What a node asks of its cluster, which it does not load where there is none."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any, Protocol

from larchlatch.node.memory.counters import Counters


class Company(Protocol):
    async def run(self) -> None:
        """Until cancelled."""

    def reread(self) -> None:
        """The operator's file may have changed."""

    def told(self) -> list[dict[str, Any]]:
        """Member by member."""


Join = Callable[[Counters, Random], Company]
