"""Passes the balancer actor's requests and reports to the cluster; without a cluster every call does nothing.

The balancer identifies upstreams and traffic classes by number, the cluster by name: this module translates.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from larchlatch.node.ports import TokenRequest
from larchlatch.node.upstream_registry import slow_start_left_us

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from larchlatch.node.ports import ClusterRequests
    from larchlatch.node.upstream_registry import UpstreamRegistry
    from larchlatch.policy.types import DeploymentSettings, Session, TokenCandidates


class ClusterAdapter:
    """Forwards calls to the cluster, with names in place of numbers."""

    def __init__(
        self,
        cluster: ClusterRequests | None,
        upstreams: UpstreamRegistry,
        traffic_classes: Sequence[str],
        settings: DeploymentSettings,
    ) -> None:
        """Prepare to forward calls.

        Args:
            cluster: this node's part in its cluster; None for a node without a cluster.
            upstreams: the upstreams that this node knows, by number and name.
            traffic_classes: names of the traffic classes, by number.
            settings: the deployment settings.

        """
        self._cluster = cluster
        self._upstreams = upstreams
        self._traffic_classes = traffic_classes
        self._settings = settings

    def charge_quota(self, session: Session) -> int | None:
        """Charge a new session to the quota of its traffic class.

        Returns:
            None if the session fits; otherwise after how many microseconds its client is advised to try
            again, or 0 for no advice.

        """
        # A session in mid-flow is not new: it was charged at the node where it was first requested.
        if self._cluster is None or session.mid_flow:
            return None
        retry_after_us = self._cluster.admit(self._traffic_classes[session.traffic_class])
        return min(retry_after_us, self._settings.max_retry_after_us) if retry_after_us else None

    def request_token(self, session_number: int, candidates: TokenCandidates) -> None:
        """Request a slow-start token that permits a session to go to one of these warming upstreams."""
        if self._cluster is None or not candidates:
            return
        names = self._upstreams.names
        requests = [TokenRequest(names[candidate.upstream], candidate) for candidate in candidates]
        self._cluster.request_token(session_number, requests)

    def observe_reachability(self, upstream: int, *, reached: bool | None) -> None:
        """Report whether an upstream was reached; None if sessions there were reset or get no answers."""
        name = self._upstreams.names.get(upstream)
        if self._cluster is not None and name is not None:
            self._cluster.observe_reachability(name, reached=reached)

    def update_endpoints(self, now: int) -> None:
        """Report which upstreams are ready, and how long it takes until none of them is in slow start."""
        if self._cluster is None:
            return
        ready = self._upstreams.ready_entries()
        self._cluster.update_endpoints(
            [entry.name for entry in ready],
            slow_start_us=slow_start_left_us(ready, slow_start_us=self._settings.slow_start_us, now=now),
            overload_window_us=self._settings.overload_window_us,
        )

    def hand_over(self) -> dict[str, int] | None:
        """Stop admitting sessions, as the successor admits them from now on.

        Returns:
            How much of each quota this process has used in the last window; None without a cluster.

        """
        return None if self._cluster is None else self._cluster.hand_over()

    def resume(self) -> None:
        """Admit sessions again, as the successor has ended."""
        if self._cluster is not None:
            self._cluster.resume()

    def take_over(self, quota_usage: Mapping[str, int] | None) -> None:
        """Admit sessions in place of the predecessor.

        Args:
            quota_usage: how much of each quota it has used in the last window; None if it had no cluster.

        """
        if self._cluster is not None and quota_usage is not None:
            self._cluster.take_over(quota_usage)
