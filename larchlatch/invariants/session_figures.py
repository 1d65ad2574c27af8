"""Counts the outcomes of sessions in a scenario, in the same figures for the emulator and the load test."""

from __future__ import annotations

from collections import Counter
from enum import StrEnum
from typing import Any

from hdrh.histogram import HdrHistogram

# The range and the precision of recorded times.
MIN_TIME_US = 1
MAX_TIME_US = 600_000_000
SIGNIFICANT_DIGITS = 3


class SessionEvent(StrEnum):
    """The counted events of clients and their sessions; traces and counts use their values."""

    CLIENT_ARRIVED = "clients"
    REQUESTED = "links"
    ESTABLISHED = "delivered"
    SHED = "shed"
    FAILED = "given_up"
    MIGRATED = "moved"
    DROPPED = "dropped"
    FINISHED = "finished"
    LOST_WITH_NODE = "lost with a node"
    LOST_BY_CLIENT = "lost by the client"
    UNANSWERED = "ended unanswered"
    NO_NODE = "no node there"
    ABANDONED = "abandoned"
    ATTEMPTED = "tries"
    PROBED = "probes"
    FORWARDED_TO_SAME_UPSTREAM = "mid right"
    FORWARDED_TO_OTHER_UPSTREAM = "mid wrong"


def time_histogram() -> Any:
    """Return an empty histogram of times in microseconds."""
    return HdrHistogram(MIN_TIME_US, MAX_TIME_US, SIGNIFICANT_DIGITS)


class SessionFigures:
    """Counts and times of sessions.

    Attributes:
        counts: How often each event happened, by the value of a `SessionEvent`.
        setup_times: Histogram of the times from a client's request to its established session, including
            retries, in microseconds.
        wanted_us: The total time for which clients wanted to be served, in microseconds.
        served_us: The total time for which clients were served, in microseconds; in the emulator, the time at
            an overloaded upstream counts in part.

    """

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.setup_times = time_histogram()
        self.wanted_us = 0.0
        self.served_us = 0.0

    def record_established(self, setup_us: int) -> None:
        """Count an established session.

        Args:
            setup_us: The time since the client first requested the session, in microseconds.

        """
        self.counts[SessionEvent.ESTABLISHED] += 1
        self.setup_times.record_value(max(MIN_TIME_US, min(MAX_TIME_US, setup_us)))

    def figures(self) -> dict[str, Any]:
        """Return the figures by their keys in a result."""
        counts = self.counts
        sessions = max(1, counts[SessionEvent.REQUESTED])
        outcomes = (
            SessionEvent.ESTABLISHED,
            SessionEvent.SHED,
            SessionEvent.FAILED,
            SessionEvent.MIGRATED,
            SessionEvent.DROPPED,
        )
        return {
            "clients": counts[SessionEvent.CLIENT_ARRIVED],
            "links": counts[SessionEvent.REQUESTED],
            **{event.value: counts[event] for event in outcomes},
            "lost_with_node": counts[SessionEvent.LOST_WITH_NODE],
            "abandoned": counts[SessionEvent.ABANDONED],
            "served": round(self.served_us / self.wanted_us, 5) if self.wanted_us else 1.0,
            "tries_per_link": round(counts[SessionEvent.ATTEMPTED] / sessions, 4),
            "probes_per_link": round(counts[SessionEvent.PROBED] / sessions, 4),
            "setup_p50_ms": self.setup_times.get_value_at_percentile(50) / 1000,
            "setup_p99_ms": self.setup_times.get_value_at_percentile(99) / 1000,
            "mid_flow_right": counts[SessionEvent.FORWARDED_TO_SAME_UPSTREAM],
            "mid_flow_wrong": counts[SessionEvent.FORWARDED_TO_OTHER_UPSTREAM],
        }
