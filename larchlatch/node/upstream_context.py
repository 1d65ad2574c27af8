"""What the parts of an upstream's actor share: the upstream's address, and what they need of the node."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from larchlatch.config.upstream import UpstreamSettings
    from larchlatch.node.descriptor_budget import DescriptorBudget
    from larchlatch.node.messages import Post
    from larchlatch.node.metrics import Counters


@dataclass(slots=True)
class UpstreamTarget:
    """An upstream as attempts and probes reach it. Its actor alone changes it, as the endpoint list does.

    Attributes:
        number: its number in the node's registry.
        name: its name in the endpoint list.
        address: host and port to connect to.
        accepts_sessions: whether the list last said that it is ready for new sessions.

    """

    number: int
    name: str
    address: tuple[str, int]
    accepts_sessions: bool = True


@dataclass(frozen=True, slots=True)
class UpstreamContext:
    """What all upstream actors of a node need of it.

    Attributes:
        settings: how upstreams are connected to and watched.
        descriptors: the file descriptors that the node may have open.
        counters: where events are counted.
        post: sends a message to the balancer actor.

    """

    settings: UpstreamSettings
    descriptors: DescriptorBudget
    counters: Counters
    post: Post
