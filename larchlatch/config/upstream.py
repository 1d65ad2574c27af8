"""The settings of a node for connecting to upstreams and monitoring them."""

from __future__ import annotations

from typing import NamedTuple


class UpstreamSettings(NamedTuple):
    """The settings for connecting to upstreams and monitoring them.

    Attributes:
        connect_timeout_us: The time allowed for establishing a connection.
        probes_report_load: Whether an upstream reports its load in its answers to probes.
        reports_delay: Whether the delay of messages is reported to the balancer.
        strictest_message_objective_us: The shortest message objective of any traffic class, which is the time
            within which its messages should be answered; 0 if no traffic class has one.

    """

    connect_timeout_us: int
    probes_report_load: bool
    reports_delay: bool
    strictest_message_objective_us: int
