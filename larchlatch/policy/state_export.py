"""Exports and restores the learned state of a balancer for a hot restart.

The next process of a node reads the state that this process wrote, and may run another version. So the keys
are literal strings, independent of the names of attributes, and must not change.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from larchlatch.policy.balancer import Balancer
    from larchlatch.policy.upstream import Upstream

JsonObject = dict[str, Any]

UPSTREAMS = "hosts"
ARRIVALS = "asked"
MEAN_SESSION_LOAD = "noted"
STARTED_AT = "came_up"


@dataclass(frozen=True, slots=True)
class UpstreamSnapshot:
    """The learned state of one upstream, including the slow-start budget spent there.

    The attributes are those of `Upstream` and of its backoff; times are microseconds of one process's clock.
    """

    utilization: float
    utilization_at: int
    capacity: float
    warm_capacity: float
    probed_at: int
    overload_penalty: float
    penalized_at: int
    latency_ratio: float
    slow_until: int
    unresponsive_until: int
    unreachable: bool
    backoff_delay_us: int
    backoff_until: int
    backoff_doubled_at: int
    turn: int
    spent_in_turn: float

    @classmethod
    def of(cls, upstream: Upstream) -> UpstreamSnapshot:
        """Return the snapshot of an upstream's record."""
        return cls(
            utilization=upstream.utilization,
            utilization_at=upstream.utilization_at,
            capacity=upstream.capacity,
            warm_capacity=upstream.warm_capacity,
            probed_at=upstream.probed_at,
            overload_penalty=upstream.overload_penalty,
            penalized_at=upstream.penalized_at,
            latency_ratio=upstream.latency_ratio,
            slow_until=upstream.slow_until,
            unresponsive_until=upstream.unresponsive_until,
            unreachable=upstream.unreachable,
            backoff_delay_us=upstream.backoff.delay_us,
            backoff_until=upstream.backoff.until,
            backoff_doubled_at=upstream.backoff.doubled_at,
            turn=upstream.turn,
            spent_in_turn=upstream.spent_in_turn,
        )

    def restore_to(self, upstream: Upstream) -> None:
        """Write the snapshot into an upstream's record."""
        upstream.utilization = self.utilization
        upstream.utilization_at = self.utilization_at
        upstream.capacity = self.capacity
        upstream.warm_capacity = self.warm_capacity
        upstream.probed_at = self.probed_at
        upstream.overload_penalty = self.overload_penalty
        upstream.penalized_at = self.penalized_at
        upstream.latency_ratio = self.latency_ratio
        upstream.slow_until = self.slow_until
        upstream.unresponsive_until = self.unresponsive_until
        upstream.unreachable = self.unreachable
        upstream.backoff.delay_us = self.backoff_delay_us
        upstream.backoff.until = self.backoff_until
        upstream.backoff.doubled_at = self.backoff_doubled_at
        upstream.turn = self.turn
        upstream.spent_in_turn = self.spent_in_turn

    def to_json(self) -> JsonObject:
        """Return the snapshot as JSON values."""
        return {
            "x0": self.utilization,
            "x0_at": self.utilization_at,
            "able": self.capacity,
            "fills": self.warm_capacity,
            "probed_at": self.probed_at,
            "strain": self.overload_penalty,
            "strain_at": self.penalized_at,
            "late": self.latency_ratio,
            "slow_until": self.slow_until,
            "quiet_until": self.unresponsive_until,
            "unreached": self.unreachable,
            "rest": self.backoff_delay_us,
            "rest_until": self.backoff_until,
            "rested_at": self.backoff_doubled_at,
            "turn": self.turn,
            "spent": self.spent_in_turn,
        }

    @classmethod
    def from_json(cls, raw: JsonObject, clock_shift_us: int) -> UpstreamSnapshot:
        """Return the snapshot that these JSON values describe.

        Args:
            raw: The JSON values, as `to_json` returns them.
            clock_shift_us: The difference to add to their times, in microseconds.

        Raises:
            KeyError, TypeError, ValueError, OverflowError: A value is missing or unreadable.
        """
        return cls(
            utilization=float(raw["x0"]),
            utilization_at=int(raw["x0_at"]) + clock_shift_us,
            capacity=float(raw["able"]),
            warm_capacity=float(raw["fills"]),
            probed_at=int(raw["probed_at"]) + clock_shift_us,
            overload_penalty=float(raw["strain"]),
            penalized_at=int(raw["strain_at"]) + clock_shift_us,
            latency_ratio=float(raw["late"]),
            slow_until=int(raw["slow_until"]) + clock_shift_us,
            unresponsive_until=int(raw["quiet_until"]) + clock_shift_us,
            unreachable=bool(raw["unreached"]),
            backoff_delay_us=int(raw["rest"]),
            backoff_until=int(raw["rest_until"]) + clock_shift_us,
            backoff_doubled_at=int(raw["rested_at"]) + clock_shift_us,
            turn=int(raw["turn"]),
            spent_in_turn=float(raw["spent"]),
        )


def export_state(balancer: Balancer) -> JsonObject:
    """Return the learned state of all upstreams, recent arrivals and the mean session load as JSON values."""
    rows = {
        upstream.name: {**UpstreamSnapshot.of(upstream).to_json(), STARTED_AT: upstream.started_at}
        for upstream in balancer.fleet.upstreams.values()
    }
    return {
        UPSTREAMS: rows,
        ARRIVALS: list(balancer.slow_start.arrivals.times),
        MEAN_SESSION_LOAD: balancer.fleet.mean_session_load,
    }


def restore_state(balancer: Balancer, state: JsonObject, clock_shift_us: int) -> None:
    """Restore exported state, except for upstreams that have restarted since the export.

    Args:
        balancer: The balancer to restore the state to.
        state: The result of `export_state`, decoded from JSON.
        clock_shift_us: This process's clock minus the exporting process's clock, in microseconds.

    Raises:
        AttributeError, KeyError, TypeError, ValueError, OverflowError: The state is unreadable; the balancer
            is unchanged then.
    """
    snapshots = [
        (upstream, UpstreamSnapshot.from_json(row, clock_shift_us))
        for upstream in balancer.fleet.upstreams.values()
        if (row := state[UPSTREAMS].get(upstream.name)) and row[STARTED_AT] == upstream.started_at
    ]
    arrivals = deque(int(at) + clock_shift_us for at in state[ARRIVALS])
    mean_session_load = float(state[MEAN_SESSION_LOAD])
    # The whole state has been read before anything is written, so that unreadable state is not restored in
    # part.
    for upstream, snapshot in snapshots:
        snapshot.restore_to(upstream)
    balancer.slow_start.arrivals.times = arrivals
    balancer.fleet.mean_session_load = mean_session_load
