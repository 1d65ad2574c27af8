"""The requester and the issuer of slow-start tokens at one node. No I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

from larchlatch.cluster.slow_start.issuer import TokenIssuer
from larchlatch.cluster.slow_start.requester import TokenRequester

if TYPE_CHECKING:
    from collections.abc import Collection

    from larchlatch.cluster.election.electorate import Electorate


class SlowStartTokens:
    """One node's requester of slow-start tokens, and its issuer for the time that it holds that role.

    Attributes:
        requester: requests tokens, and hands over this node's slow-start turns to the token issuer.
        issuer: answers token requests while this node holds the role of the token issuer.

    """

    def __init__(self, own_name: str, electorate: Electorate, now: int) -> None:
        self.requester = TokenRequester(electorate, now)
        self.issuer = TokenIssuer(own_name, electorate)

    @property
    def enabled(self) -> bool:
        """Return whether the cluster file has the role of the token issuer."""
        return self.requester.enabled

    def follow(self, electorate: Electorate) -> None:
        """Apply the electorate of a changed cluster file to the requester and the issuer."""
        self.requester.follow(electorate)
        self.issuer.follow(electorate)

    def update_upstreams(
        self, now: int, upstreams: Collection[int], *, slow_start_us: int, window_us: int
    ) -> None:
        """Update the upstreams that are ready, their slow start and the overload window.

        Args:
            now: time by the node's own clock.
            upstreams: hashes of the names of the upstreams that are ready.
            slow_start_us: longest remaining slow start of any upstream, in microseconds.
            window_us: overload window for which the budget of a warming upstream is set, in microseconds.

        """
        self.requester.update_slow_start(now, slow_start_us=slow_start_us, window_us=window_us)
        self.issuer.update_upstreams(upstreams, window_us=window_us)
