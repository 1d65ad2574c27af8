"""Interfaces between a node and its cluster.

The node states them and the cluster implements them, so that a node without a cluster loads none of it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from random import Random
from typing import TYPE_CHECKING, NamedTuple, Protocol

from larchlatch.node.metrics import Counters

if TYPE_CHECKING:
    from larchlatch.node.messages import EjectionAdvised, SlowStartTokens
    from larchlatch.policy.types import TokenCandidate

StatusRow = Mapping[str, object]  # one log row for operators, by field name


class TokenRequest(NamedTuple):
    """A warming upstream that a session would go to, and what a token for it would permit."""

    upstream: str
    candidate: TokenCandidate


class ClusterEvents(Protocol):
    """What the cluster tells its node. Neither call waits."""

    def advise_ejection(self, advice: EjectionAdvised) -> None:
        """Pass advice on; it may be dropped, as the cluster repeats it for as long as it applies."""

    def receive_tokens(self, tokens: SlowStartTokens) -> bool:
        """Pass the token issuer's decision on; return whether the node had room for it."""


class ClusterRequests(Protocol):
    """What the balancer actor asks of the cluster and reports to it."""

    def admit(self, traffic_class: str) -> int:
        """Charge one new session to its quotas.

        Returns:
            0 if it fits, otherwise after how many microseconds its client is advised to try again.

        """

    def update_endpoints(self, ready: Iterable[str], *, slow_start_us: int, overload_window_us: int) -> None:
        """Follow the endpoint list.

        Args:
            ready: names of the upstreams that are ready.
            slow_start_us: for how long at most one of them is still warming up.
            overload_window_us: window in which sessions to a warming upstream are counted.

        """

    def request_token(self, session: int, requests: list[TokenRequest]) -> None:
        """Ask for a token that lets a session go to one of these warming upstreams."""

    def observe_reachability(self, upstream: str, *, reached: bool | None) -> None:
        """Report whether an upstream could be connected to; None if sessions there broke off or stall."""

    def hand_over(self) -> dict[str, int]:
        """Stop admitting sessions, as the successor does so from now on.

        Returns:
            What this process has spent of each quota in the last window.

        """

    def resume(self) -> None:
        """Admit sessions again, as the successor has ended."""

    def take_over(self, used: Mapping[str, int]) -> None:
        """Admit sessions in place of the predecessor, which has spent so much of each quota."""


class ClusterPort(ClusterRequests, Protocol):
    """A node's part in its cluster, as the runtime starts and stops it and reports on it."""

    async def run(self) -> None:
        """Take part until cancelled."""

    def reload(self) -> None:
        """Read the cluster file again, as it may have changed."""

    def resign(self) -> None:
        """Hand the node's roles over to others, as it is about to stop."""

    def role_rows(self) -> Sequence[StatusRow]:
        """Return one row for each role, for operators."""

    def member_rows(self) -> Sequence[StatusRow]:
        """Return one row for each other member, for operators."""

    def quota_rows(self) -> Sequence[StatusRow]:
        """Return one row for each quota, for operators."""


ClusterFactory = Callable[[Counters, Random, ClusterEvents], ClusterPort]
