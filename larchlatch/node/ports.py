"""Interfaces between a node and its cluster.

They are declared in the node's package, so that a node without a cluster loads no code of the cluster.
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
    """A warming upstream to which a session may go with a token, by name and with its token budget."""

    upstream: str
    candidate: TokenCandidate


class ClusterEvents(Protocol):
    """Events that the cluster reports to its node. Neither call waits."""

    def advise_ejection(self, advice: EjectionAdvised) -> None:
        """Report ejection advice. It may be dropped, as the cluster repeats it for as long as it applies."""

    def receive_tokens(self, tokens: SlowStartTokens) -> bool:
        """Report the token issuer's decision; return whether the node had room for it."""


class ClusterRequests(Protocol):
    """Requests and reports of the balancer actor to the cluster."""

    def admit(self, traffic_class: str) -> int:
        """Charge one new session to its quotas.

        Returns:
            0 if the session fits, otherwise after how many microseconds its client is advised to try again.

        """

    def update_endpoints(self, ready: Iterable[str], *, slow_start_us: int, overload_window_us: int) -> None:
        """Report the state of the endpoint list.

        Args:
            ready: names of the upstreams that are ready.
            slow_start_us: how long it takes until none of them is in slow start, in microseconds.
            overload_window_us: the window for counting sessions to a warming upstream, in microseconds.

        """

    def request_token(self, session: int, requests: list[TokenRequest]) -> None:
        """Request a token that permits a session to go to one of these warming upstreams."""

    def observe_reachability(self, upstream: str, *, reached: bool | None) -> None:
        """Report whether an upstream was reached; None if sessions there were reset or get no answers."""

    def hand_over(self) -> dict[str, int]:
        """Stop admitting sessions, as the successor admits them from now on.

        Returns:
            How much of each quota this process has used in the last window.

        """

    def resume(self) -> None:
        """Admit sessions again, as the successor has ended."""

    def take_over(self, used: Mapping[str, int]) -> None:
        """Admit sessions in place of the predecessor.

        Args:
            used: how much of each quota the predecessor has used in the last window.

        """


class ClusterPort(ClusterRequests, Protocol):
    """A node's part in its cluster, which the runtime starts, stops and reports on."""

    async def run(self) -> None:
        """Take part in the cluster until cancelled."""

    def reload(self) -> None:
        """Read the cluster file again, as it may have changed."""

    def resign(self) -> None:
        """Hand the node's roles over to other members, as it is about to stop."""

    def role_rows(self) -> Sequence[StatusRow]:
        """Return one status row for each role, for operators."""

    def member_rows(self) -> Sequence[StatusRow]:
        """Return one status row for each other member, for operators."""

    def quota_rows(self) -> Sequence[StatusRow]:
        """Return one status row for each quota, for operators."""


ClusterFactory = Callable[[Counters, Random, ClusterEvents], ClusterPort]
