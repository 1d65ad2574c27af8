"""Which scenarios the load test plays: on loopback alone, and no more than one machine carries."""

from __future__ import annotations

import ipaddress
import resource
from typing import TYPE_CHECKING

from larchlatch.errors import ConfigurationError

if TYPE_CHECKING:
    from larchlatch.scenario.scenario import Scenario

MAX_NODES = 16
MAX_ESTABLISHED = 4000  # sessions at once: each has two descriptors here and two at a node
MAX_SESSIONS_PER_S = 500.0
MAX_SPAN_S = 600.0
DESCRIPTORS_PER_SESSION = 4
SPARE_DESCRIPTORS = 200  # for logs, proxies and discovery


def check_address(text: str) -> str:
    """Return an address to play on.

    Raises:
        ConfigurationError: It is not a loopback address of IPv4.

    """
    try:
        address = ipaddress.ip_address(text)
    except ValueError:
        raise ConfigurationError("address", f"no address ({text})") from None
    if address.version != 4 or not address.is_loopback:
        raise ConfigurationError("address", f"not a loopback address of IPv4 ({text})")
    return text


def check_playable(scenario: Scenario) -> Scenario:
    """Return a scenario that can be played on sockets, after raising the limit of descriptors as it needs.

    Raises:
        ConfigurationError: It is too large, or asks for what sockets can't do.

    """
    if scenario.packet_forwarding:
        raise ConfigurationError(
            "day", "passes: packets can't be made to pass through another process on sockets"
        )
    established = scenario.sessions.rate * scenario.sessions.lifetime_s
    for key, asked, limit in (
        ("nodes.count", float(scenario.nodes.count), float(MAX_NODES)),
        ("links.rate", scenario.sessions.rate, MAX_SESSIONS_PER_S),
        ("span_s", scenario.span_s, MAX_SPAN_S),
        ("links.rate times links.life_s", established, float(MAX_ESTABLISHED)),
    ):
        if asked > limit:
            raise ConfigurationError("day", f"{key}: {asked:g} is more than is played on sockets ({limit:g})")
    _raise_descriptor_limit(int(established * DESCRIPTORS_PER_SESSION) + SPARE_DESCRIPTORS)
    return scenario


def _raise_descriptor_limit(wanted: int) -> None:
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard != resource.RLIM_INFINITY and wanted > hard:
        raise ConfigurationError("day", f"links: {wanted} descriptors are wanted, the system grants {hard}")
    if soft < wanted:
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))
