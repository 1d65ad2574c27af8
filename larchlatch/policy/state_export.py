"""Export and restore of what the decisions have learned, for a hot restart.

The next process of a node reads what this one wrote, and may be of another version: every key is an explicit
string here, and must not change when an attribute is renamed.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from larchlatch.policy.balancer import Balancer

# Key in the exported state, and the attribute of a host that it stands for.
UPSTREAM_VALUES = {
    "x0": "utilization",
    "able": "able",
    "fills": "fills",
    "strain": "strain",
    "late": "late",
    "unreached": "unreached",
    "rest": "rest",
    "turn": "turn",
    "spent": "spent",
    "came_up": "started_at",
}
# The same for points in time: they are moved by the difference of the two processes' clocks.
UPSTREAM_TIMES = {
    "x0_at": "utilization_at",
    "probed_at": "probed_at",
    "strain_at": "strain_at",
    "slow_until": "slow_until",
    "quiet_until": "quiet_until",
    "rest_until": "rest_until",
    "rested_at": "rested_at",
}
UPSTREAM_STATE = UPSTREAM_VALUES | UPSTREAM_TIMES


def export_state(balancer: Balancer) -> dict[str, Any]:
    """Return what was observed of hosts and demand, and spent at cold hosts, as plain JSON values."""
    rows = {
        upstream.name: {key: getattr(upstream, attribute) for key, attribute in UPSTREAM_STATE.items()}
        for upstream in balancer.upstreams.values()
    }
    return {"hosts": rows, "asked": list(balancer.asked), "noted": balancer.noted}


def restore_state(balancer: Balancer, state: dict[str, Any], clock_shift_us: int) -> None:
    """Continue from exported state; `clock_shift_us` is this process's clock less the exporter's.

    Where the state is unreadable it raises AttributeError, KeyError, TypeError, ValueError or OverflowError,
    and changes nothing.
    """
    restored = {
        upstream: {key: type(getattr(upstream, UPSTREAM_STATE[key]))(row[key]) for key in UPSTREAM_STATE}
        for upstream in balancer.upstreams.values()
        if (row := state["hosts"].get(upstream.name)) and row["came_up"] == upstream.started_at
    }
    asked = [int(at) + clock_shift_us for at in state["asked"]]
    noted = float(state["noted"])
    # Nothing is assigned before all of it has been read: half a state would be worse than none.
    for upstream, values in restored.items():
        for key, value in values.items():
            moved = value + clock_shift_us if key in UPSTREAM_TIMES else value
            setattr(upstream, UPSTREAM_STATE[key], moved)
    balancer.asked, balancer.noted = deque(asked), noted
