"""Limits of the load test: it uses loopback addresses only, and scenarios that one machine can play."""

from __future__ import annotations

import ipaddress
import resource
from typing import TYPE_CHECKING

from larchlatch.errors import ConfigurationError

if TYPE_CHECKING:
    from larchlatch.scenario.scenario import Scenario

MAX_NODES = 16
MAX_ESTABLISHED = 4000  # established sessions at once
MAX_SESSIONS_PER_S = 500.0
MAX_SPAN_S = 600.0
DESCRIPTORS_PER_SESSION = 4  # two in this process and two in a node's
SPARE_DESCRIPTORS = 200  # for logs, proxies and connections of discovery


def check_address(text: str) -> str:
    """Return an address unchanged if the load test may use it.

    Raises:
        ConfigurationError: It is not an IPv4 loopback address.

    """
    try:
        address = ipaddress.ip_address(text)
    except ValueError:
        raise ConfigurationError("address", f"not an IP address ({text})") from None
    if address.version != 4 or not address.is_loopback:
        raise ConfigurationError("address", f"not an IPv4 loopback address ({text})")
    return text


def check_playable(scenario: Scenario) -> Scenario:
    """Return a scenario unchanged if the load test can play it; raise the limit of descriptors if needed.

    Raises:
        ConfigurationError: The scenario exceeds a limit, or uses an unsupported feature.

    """
    if scenario.packet_forwarding:
        raise ConfigurationError(
            "day", "passes: the load test does not support forwarding of packets between node processes"
        )
    established = scenario.sessions.rate * scenario.sessions.lifetime_s
    for key, asked, limit in (
        ("nodes.count", float(scenario.nodes.count), float(MAX_NODES)),
        ("links.rate", scenario.sessions.rate, MAX_SESSIONS_PER_S),
        ("span_s", scenario.span_s, MAX_SPAN_S),
        ("links.rate times links.life_s", established, float(MAX_ESTABLISHED)),
    ):
        if asked > limit:
            raise ConfigurationError(
                "day", f"{key}: {asked:g} exceeds the limit of the load test ({limit:g})"
            )
    raise_descriptor_limit(scenario)
    return scenario


def raise_descriptor_limit(scenario: Scenario) -> None:
    """Raise this process's limit of file descriptors to what a scenario needs.

    Raises:
        ConfigurationError: The system's hard limit is lower.

    """
    established = scenario.sessions.rate * scenario.sessions.lifetime_s
    wanted = int(established * DESCRIPTORS_PER_SESSION) + SPARE_DESCRIPTORS
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard != resource.RLIM_INFINITY and wanted > hard:
        raise ConfigurationError(
            "day", f"links: needs {wanted} file descriptors, but the system's hard limit is {hard}"
        )
    if soft < wanted:
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))
