"""Export and restore of what the decisions have learned, for a hot restart.

The next process of a node reads what this one wrote, and may be of another version: every key is an explicit
string here, and must not change when an attribute is renamed.
"""

from __future__ import annotations

from collections import deque
from typing import Any

from larchlatch.brain import Brain

# Key in the exported state, and the attribute of a host that it stands for.
HOST_VALUES = {
    "x0": "x0",
    "able": "able",
    "fills": "fills",
    "strain": "strain",
    "late": "late",
    "unreached": "unreached",
    "rest": "rest",
    "turn": "turn",
    "spent": "spent",
    "came_up": "came_up",
}
# The same for points in time: they are moved by the difference of the two processes' clocks.
HOST_TIMES = {
    "x0_at": "x0_at",
    "probed_at": "probed_at",
    "strain_at": "strain_at",
    "slow_until": "slow_until",
    "quiet_until": "quiet_until",
    "rest_until": "rest_until",
    "rested_at": "rested_at",
}
HOST_STATE = HOST_VALUES | HOST_TIMES


def export_state(brain: Brain) -> dict[str, Any]:
    """Return what was observed of hosts and demand, and spent at cold hosts, as plain JSON values."""
    rows = {
        host.name: {key: getattr(host, attribute) for key, attribute in HOST_STATE.items()}
        for host in brain.hosts.values()
    }
    return {"hosts": rows, "asked": list(brain.asked), "noted": brain.noted}


def restore_state(brain: Brain, state: dict[str, Any], clock_shift_us: int) -> None:
    """Continue from exported state; `clock_shift_us` is this process's clock less the exporter's.

    Where the state is unreadable it raises AttributeError, KeyError, TypeError, ValueError or OverflowError,
    and changes nothing.
    """
    restored = {
        host: {key: type(getattr(host, HOST_STATE[key]))(row[key]) for key in HOST_STATE}
        for host in brain.hosts.values()
        if (row := state["hosts"].get(host.name)) and row["came_up"] == host.came_up
    }
    asked = [int(at) + clock_shift_us for at in state["asked"]]
    noted = float(state["noted"])
    # Nothing is assigned before all of it has been read: half a state would be worse than none.
    for host, values in restored.items():
        for key, value in values.items():
            moved = value + clock_shift_us if key in HOST_TIMES else value
            setattr(host, HOST_STATE[key], moved)
    brain.asked, brain.noted = deque(asked), noted
