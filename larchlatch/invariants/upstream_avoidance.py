"""Checks upstream avoidance: nodes detect lost upstreams, and do not eject healthy ones.

This module does no I/O.
"""

from __future__ import annotations

from larchlatch.invariants.checker import Figures, Verdict
from larchlatch.invariants.observations import (
    FleetChanged,
    Observation,
    UpstreamEjected,
    UpstreamFailureDetected,
    UpstreamLost,
    UpstreamReturned,
)

RETURN_GRACE_US = 1_000_000  # how long after an upstream's return nodes may still eject it


class UpstreamAvoidance:
    """Checks that no healthy and reachable upstream is ejected because of other nodes' reports.

    Attributes:
        ejections: How often a node ejected an upstream because of other nodes' reports.
        wrong_ejections: How often the ejected upstream was healthy and reachable.
        detected_at: When a node first detected the loss of an upstream, by node and upstream.

    """

    def __init__(self) -> None:
        self.ejections = 0
        self.wrong_ejections = 0
        self.detected_at: dict[tuple[int, int], int] = {}
        self._lost_at: dict[int, int] = {}
        self._returned_at: dict[int, int] = {}
        self._running_since: dict[int, int] = {}
        self._detection_times_us: list[int] = []
        self._undetected = 0

    def observe(self, observation: Observation) -> None:
        """Record an observation."""
        match observation:
            case FleetChanged():
                self._update_running(observation)
            case UpstreamLost():
                self._lost_at.setdefault(observation.upstream, observation.now)
            case UpstreamReturned():
                self._end_loss(observation.now, observation.upstream)
            case UpstreamFailureDetected():
                if observation.upstream in self._lost_at:
                    pair = (observation.node, observation.upstream)
                    self.detected_at.setdefault(pair, observation.now)
            case UpstreamEjected():
                self._check_ejection(observation)

    def _update_running(self, change: FleetChanged) -> None:
        for node, running in enumerate(change.running):
            if running:
                self._running_since.setdefault(node, change.now)
            else:
                self._running_since.pop(node, None)

    def _end_loss(self, now: int, upstream: int) -> None:
        """End the loss of an upstream, and record which nodes have detected it and after what time."""
        lost_at = self._lost_at.pop(upstream, None)
        if lost_at is None:
            return
        self._returned_at[upstream] = now
        for node, running_since in self._running_since.items():
            if running_since > lost_at:
                continue
            detected_at = self.detected_at.get((node, upstream))
            if detected_at is None:
                self._undetected += 1
            else:
                self._detection_times_us.append(detected_at - lost_at)
        self.detected_at = {pair: at for pair, at in self.detected_at.items() if pair[1] != upstream}

    def _check_ejection(self, ejection: UpstreamEjected) -> None:
        self.ejections += 1
        returned_at = self._returned_at.get(ejection.upstream, -RETURN_GRACE_US)
        returned_lately = returned_at + RETURN_GRACE_US > ejection.now
        is_lost = ejection.upstream in self._lost_at
        self.wrong_ejections += ejection.reachable and not is_lost and not returned_lately

    def verdict(self) -> Verdict:
        """Return how often a healthy and reachable upstream was ejected."""
        return Verdict("upstream_avoidance", self.wrong_ejections)

    def figures(self, now: int) -> Figures:
        """Return the longest detection time, the number of missed detections, and the numbers of ejections.

        Only nodes that ran since before the loss of an upstream are expected to detect it.
        """
        for upstream in list(self._lost_at):
            self._end_loss(now, upstream)
        return {
            "avoided_s": max(self._detection_times_us, default=0) / 1e6,
            "avoided_not": self._undetected,
            "hearsay": self.ejections,
            "hearsay_wrong": self.wrong_ejections,
        }
