"""Interfaces between a node and its cluster.

The node states them and the cluster implements them, so that a node without a cluster loads none of it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from random import Random
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

from larchlatch.node.metrics import Counters

if TYPE_CHECKING:
    from larchlatch.node.messages import EjectionAdvised, SlowStartTokens
    from larchlatch.policy.types import TokenCandidate


class TokenRequest(NamedTuple):
    """A warming upstream that a session would go to, and what a token for it would permit."""

    upstream: str
    candidate: TokenCandidate


class ClusterEvents(Protocol):
    """What the cluster tells its node. Neither call waits."""

    def advise_ejection(self, advice: EjectionAdvised) -> None:
        """Pass on advice; it may be dropped, as the cluster repeats it while it holds."""

    def receive_tokens(self, tokens: SlowStartTokens) -> bool:
        """Pass on the issuer's decision; return whether it was taken."""


class ClusterPort(Protocol):
    """What the balancer actor asks of the cluster, and reports to it."""

    def admit(self, traffic_class: str) -> int:
        """Charge one new session to its quotas.

        Returns:
            0 if it fits, otherwise after how many microseconds its client had better come back.

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
        """Stop admitting sessions, as another process of this node does from now on.

        Returns:
            What this process has spent of each quota in the last window.

        """

    def resume(self) -> None:
        """Admit sessions again: the other process has gone."""

    def take_over(self, used: Mapping[str, int]) -> None:
        """Admit sessions in place of the process before this one, which has spent so much of each quota."""


class ClusterService(ClusterPort, Protocol):
    """The cluster's part in a node, as its runtime drives it."""

    async def run(self) -> None:
        """Take part until cancelled."""

    def reload(self) -> None:
        """Read the cluster file again, as it may have changed."""

    def resign(self) -> None:
        """Leave the node's roles to others, as it is about to stop."""

    def role_rows(self) -> list[dict[str, Any]]:
        """Return one row a role, for operators."""

    def member_rows(self) -> list[dict[str, Any]]:
        """Return one row a member, for operators."""

    def quota_rows(self) -> list[dict[str, Any]]:
        """Return one row a quota, for operators."""


ClusterFactory = Callable[[Counters, Random, ClusterEvents], ClusterService]
