"""Both sides of slow-start tokens at one node. No I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

from larchlatch.cluster.slow_start.issuer import TokenIssuer
from larchlatch.cluster.slow_start.requester import TokenRequester

if TYPE_CHECKING:
    from collections.abc import Collection

    from larchlatch.cluster.election.electorate import Electorate


class SlowStartTokens:
    """A node's requesting side, and its issuing side for when it holds the role of the token issuer.

    Attributes:
        requester: requests tokens, and hands this node's slow-start turns over to the issuer.
        issuer: answers requests while this node holds the role.

    """

    def __init__(self, own_name: str, electorate: Electorate, now: int) -> None:
        self.requester = TokenRequester(electorate, now)
        self.issuer = TokenIssuer(own_name, electorate)

    @property
    def enabled(self) -> bool:
        """Return whether the cluster file has the role of the token issuer."""
        return self.requester.enabled

    def follow(self, electorate: Electorate) -> None:
        """Use the electorate of a changed cluster file."""
        self.requester.follow(electorate)
        self.issuer.follow(electorate)

    def update_upstreams(
        self, now: int, upstreams: Collection[int], *, slow_start_us: int, window_us: int
    ) -> None:
        """Update the upstreams that are ready.

        Args:
            now: present time.
            upstreams: hashes of their names.
            slow_start_us: longest remaining slow start of an upstream.
            window_us: overload window in which the budget of a warming upstream is counted.

        """
        self.requester.update_slow_start(now, slow_start_us=slow_start_us, window_us=window_us)
        self.issuer.update_upstreams(upstreams, window_us=window_us)
