"""Samples all upstreams periodically: reports message latency, and drops sessions under overload."""

from __future__ import annotations

from itertools import islice
from typing import TYPE_CHECKING

from larchlatch.emulator.clock import Priority
from larchlatch.invariants.observations import UpstreamsSampled
from larchlatch.scenario.amounts import SECOND, us
from larchlatch.scenario.upstreams import Condition

if TYPE_CHECKING:
    from larchlatch.emulator.context import SimulationContext
    from larchlatch.emulator.session_table import EstablishedSession
    from larchlatch.emulator.upstream_fleet import UpstreamFleet
    from larchlatch.scenario.upstreams import SimulatedUpstream

INTERVAL_US = SECOND
REPORTED_SHARE = 0.34  # share of the latency objective above which a latency is reported


class UpstreamSampling:
    """Samples all upstreams once per `INTERVAL_US`."""

    def __init__(self, context: SimulationContext, fleet: UpstreamFleet) -> None:
        self._context = context
        self._fleet = fleet
        # The pairs of node and upstream whose last reported latency was long.
        self._long_latency_pairs: set[tuple[int, int]] = set()

    def tick(self) -> None:
        """Sample all upstreams now, and schedule the next sample."""
        context = self._context
        now = context.clock.now
        context.clock.schedule(now + INTERVAL_US, Priority.ENVIRONMENT, self.tick)
        context.slow_start.observe(UpstreamsSampled(now, context.upstreams, INTERVAL_US))
        for upstream in context.upstreams:
            if upstream.condition is Condition.HEALTHY:
                context.sessions.count_served_time(upstream)  # its speed changes in its slow start
                self._report_latency(upstream)
                self._drop_sessions(upstream)

    def _report_latency(self, upstream: SimulatedUpstream) -> None:
        """Report a long latency to each node with sessions there, and the first short one after it."""
        objective_us = us(self._context.scenario.sessions.message_ms / 1e3)
        latency_us = upstream.message_latency_us(self._context.clock.now, objective_us)
        is_long = latency_us > REPORTED_SHARE * objective_us
        if not (is_long or self._long_latency_pairs):
            return
        for number, (record, node) in self._first_session_by_node(upstream).items():
            pair = (number, upstream.number)
            if is_long or pair in self._long_latency_pairs:
                receive = node.receive_message_latency
                clock = self._context.clock
                clock.schedule(clock.now, Priority.NOTIFICATION, receive, record, latency_us)
            if is_long:
                self._long_latency_pairs.add(pair)
            else:
                self._long_latency_pairs.discard(pair)

    def _first_session_by_node(self, upstream: SimulatedUpstream) -> dict[int, EstablishedSession]:
        first: dict[int, EstablishedSession] = {}
        for established in self._context.sessions.established_on(upstream):
            first.setdefault(established.node.number, established)
        return first

    def _drop_sessions(self, upstream: SimulatedUpstream) -> None:
        count = upstream.sessions_to_drop(self._context.clock.now)
        established = self._context.sessions.established
        dropped = [number for number in islice(upstream.sessions, count) if number in established]
        self._fleet.reset_sessions(upstream, [established[number] for number in dropped])
