"""What a node asks of its cluster, which it does not load where there is none."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from random import Random
from typing import TYPE_CHECKING, Any, Protocol

from larchlatch.node.metrics import Counters

if TYPE_CHECKING:
    from larchlatch.policy.types import TokenCandidate


class Hearing(Protocol):
    """What a cluster tells the module's actor."""

    def advise(self, looks: list[str], failed: list[tuple[str, int]]) -> None:
        """Hosts to look at now; and those that others have found gone, each with how many have."""

    def pace(self, until: int, upstream: str, session: int, at: int) -> bool:
        """Until then turns at cold hosts are another node's; a host, where one is named, to which a link may
        go until `at`. Whether it is heard.
        """


class Fellows(Protocol):
    """What the module's actor asks of it, and tells it."""

    def admit(self, traffic_class: str) -> int:
        """Whether one more new link fits the shared budgets: 0, or in how many microseconds to come back."""

    def listed(self, upstreams: Iterable[str], slow_start_us: int, window_us: int) -> None:
        """The hosts that are ready; for how long one may be cold, and in which time its budget counts."""

    def sought(self, session: int, wants: list[tuple[str, TokenCandidate]]) -> None:
        """A link would go to one of these cold hosts."""

    def saw(self, upstream: str, good: bool | None) -> None:
        """Whether a connection to a host was had; None: links there broke off, or say nothing."""

    def cede(self) -> dict[str, int]:
        """Another process of this node admits links from now on; what this one spent in the last window."""

    def resume(self) -> None:
        """It does no more."""

    def take_over(self, used: Mapping[str, int]) -> None:
        """This process admits links from now on, and the one before it no more."""


class Company(Fellows, Protocol):
    async def run(self) -> None:
        """Until cancelled."""

    def reread(self) -> None:
        """The operator's file may have changed."""

    def retire(self) -> None:
        """This node is about to end: its duties go to others."""

    def tasks(self) -> list[dict[str, Any]]:
        """Duty by duty."""

    def told(self) -> list[dict[str, Any]]:
        """Member by member."""

    def shares(self) -> list[dict[str, Any]]:
        """Budget by budget."""


Join = Callable[[Counters, Random, Hearing], Company]
