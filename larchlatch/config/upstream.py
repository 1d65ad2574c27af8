"""How upstreams are connected to and watched."""

from __future__ import annotations

from typing import NamedTuple


class UpstreamSettings(NamedTuple):
    """What the node's settings say of how hosts are reached and watched."""

    dial_us: int
    probes_report_load: bool
    tells_delay: bool
    strictest_us: int  # the shortest time within which a message is wanted; 0 where unknown
