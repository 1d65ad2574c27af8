"""How soon hosts that came up bear their share, and what was sent to them while cold. No I/O.

Judged from outside: it knows nothing of how nodes decide. A link of mean load counts as 1.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from math import sqrt

from larchlatch.scenario.amounts import us
from larchlatch.scenario.scenario import Day
from larchlatch.scenario.upstreams import Condition, Upstream

SHARE = 0.9  # of what warm hosts bear by their sizes: then a host bears its share


@dataclass(slots=True)
class Start:
    """A host's start."""

    started_at: int
    bears_at: int | None = None
    lately: deque[tuple[int, float]] = field(default_factory=deque)  # what was sent to it within a window


class Warming:
    def __init__(self, day: Day) -> None:
        self.cold = day.cold
        self.window_us, self.span_us = us(day.cold.tip_s), us(day.cold.warm_s)
        self.load_us = day.sessions.load_ms * 1000  # work a second of a mean link
        self.starts: dict[tuple[int, int], Start] = {}
        self.over = 0
        self.sent_cold = 0.0
        self.could = 0.0

    def start(self, upstream: Upstream) -> Start:
        return self.starts.setdefault((upstream.number, upstream.started_at), Start(upstream.started_at))

    def allowed(self, now: int, upstream: Upstream) -> float:
        """Links that may come in a window now: the stated multiple of what fills it, over its warm-up."""
        full = upstream.capacity(now) / self.load_us if self.load_us else 0.0
        return self.cold.overload_multiple * full * self.window_us / self.span_us if self.span_us else 0.0

    def sent(self, now: int, upstream: Upstream, load: float) -> None:
        """A link has come to a host."""
        if not upstream.started_at or now >= upstream.started_at + self.span_us or not self.load_us:
            return
        lately = self.start(upstream).lately
        while lately and lately[0][0] <= now - self.window_us:
            lately.popleft()
        lately.append((now, load / self.load_us))
        self.sent_cold += load / self.load_us
        # As many may come by chance where each of many nodes keeps to what is allowed on the mean.
        allowed = self.allowed(now, upstream)
        self.over += sum(weight for _, weight in lately) > allowed + 3 * sqrt(allowed) + 3

    def look(self, now: int, upstreams: Sequence[Upstream], since_us: int) -> None:
        """Once in a while; since_us: after so long."""
        there = [
            upstream
            for upstream in upstreams
            if upstream.condition is Condition.WELL and not upstream.draining
        ]
        warm = [h for h in there if not h.started_at or now >= h.started_at + self.span_us]
        size = sum(upstream.size for upstream in warm)
        mean = sum(upstream.load for upstream in warm) / size if size else 0.0
        for upstream in there:
            if not upstream.started_at:
                continue
            start = self.start(upstream)
            if start.bears_at is None and mean and upstream.load >= SHARE * mean * upstream.size:
                start.bears_at = now
            if now < upstream.started_at + self.span_us and self.window_us:
                self.could += self.allowed(now, upstream) * since_us / self.window_us

    def row(self, now: int) -> dict[str, float | int | None]:
        """The mean and the longest until a host bore its share (to the end, where it never did); how often
        more came than may be sent to a cold one; and how much of that was used."""
        took = [(start.bears_at or now) - start.started_at for start in self.starts.values()]
        return {
            "bears_s": round(sum(took) / len(took) / 1e6, 3) if took else None,
            "bears_most_s": max(took) / 1e6 if took else None,
            "cold_over": self.over,
            "cold_used": round(self.sent_cold / self.could, 4) if self.could else None,
        }
