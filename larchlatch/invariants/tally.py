"""What a day came to, in figures that are the same for the emulator and for sockets."""

from __future__ import annotations

from collections import Counter
from typing import Any

from hdrh.histogram import HdrHistogram

LEAST_US, MOST_US, DIGITS = 1, 600_000_000, 3


def histogram() -> Any:
    return HdrHistogram(LEAST_US, MOST_US, DIGITS)


class Tally:
    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.setup = histogram()  # microseconds from when a link was due until it stood
        self.wanted_us = 0.0  # for how long clients wanted their links, and for how long they were served
        self.served_us = 0.0

    def stood(self, took_us: int) -> None:
        self.counts["delivered"] += 1
        self.setup.record_value(max(LEAST_US, min(MOST_US, took_us)))

    def row(self) -> dict[str, Any]:
        """The figures of a day."""
        counts = self.counts
        sessions = max(1, counts["links"])
        return {
            "clients": counts["clients"],
            "links": counts["links"],
            **{name: counts[name] for name in ("delivered", "shed", "given_up", "moved", "dropped")},
            "lost_with_node": counts["lost with a node"],
            "abandoned": counts["abandoned"],
            "served": round(self.served_us / self.wanted_us, 5) if self.wanted_us else 1.0,
            "tries_per_link": round(counts["tries"] / sessions, 4),
            "probes_per_link": round(counts["probes"] / sessions, 4),
            "setup_p50_ms": self.setup.get_value_at_percentile(50) / 1000,
            "setup_p99_ms": self.setup.get_value_at_percentile(99) / 1000,
            "mid_flow_right": counts["mid right"],
            "mid_flow_wrong": counts["mid wrong"],
        }
