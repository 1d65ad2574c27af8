"""The part of the configuration that an upstream actor works by."""

from __future__ import annotations

from typing import NamedTuple


class UpstreamSettings(NamedTuple):
    """How upstreams are connected to and watched.

    Attributes:
        connect_timeout_us: The time for establishing a connection.
        probes_report_load: Whether the answer to a probe carries the load of the upstream.
        reports_delay: Whether the delay of messages is to be reported to the balancer.
        strictest_message_objective_us: The shortest time within which a traffic class wants its messages
            answered; 0 where none states one.

    """

    connect_timeout_us: int
    probes_report_load: bool
    reports_delay: bool
    strictest_message_objective_us: int
