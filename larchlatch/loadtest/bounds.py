"""What the load tool will play at all: loopback, and no more than one machine carries."""

from __future__ import annotations

import ipaddress
import resource

from larchlatch.errors import ConfigurationError
from larchlatch.scenario.scenario import Day

MOST_NODES = 16
MOST_STANDING = 4000  # links at once: each has two descriptors here and two at a node
MOST_RATE = 500.0  # links a second
MOST_SPAN_S = 600.0
SPARE = 200  # descriptors for all else


def address_of(text: str) -> str:
    """An address to play on; anything but loopback is refused."""
    try:
        address = ipaddress.ip_address(text)
    except ValueError:
        raise ConfigurationError("address", f"no address ({text})") from None
    if address.version != 4 or not address.is_loopback:
        raise ConfigurationError("address", f"not a loopback address of IPv4 ({text})")
    return text


def playable(day: Day) -> Day:
    """The day, if it can be played on sockets."""
    if day.passes:
        raise ConfigurationError(
            "day", "passes: packets can't be made to pass through another process on sockets"
        )
    standing = day.sessions.rate * day.sessions.life_s
    for key, asked, most in (
        ("nodes.count", float(day.nodes.count), float(MOST_NODES)),
        ("links.rate", day.sessions.rate, MOST_RATE),
        ("span_s", day.span_s, MOST_SPAN_S),
        ("links.rate times links.life_s", standing, float(MOST_STANDING)),
    ):
        if asked > most:
            raise ConfigurationError("day", f"{key}: {asked:g} is more than is played on sockets ({most:g})")
    wanted = int(standing * 4) + SPARE
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard != resource.RLIM_INFINITY and wanted > hard:
        raise ConfigurationError("day", f"links: {wanted} descriptors are wanted, the system grants {hard}")
    if soft < wanted:
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))
    return day
