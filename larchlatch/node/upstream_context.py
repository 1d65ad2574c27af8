"""What the components of an upstream's actor share: the upstream's address, and resources of the node."""

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
    """Where to reach an upstream. Only the upstream's actor changes this, when the endpoint list changes.

    Attributes:
        number: the upstream's number in the node's registry.
        name: the upstream's name in the endpoint list.
        address: host and port to connect to.
        accepts_sessions: whether the endpoint list has it as ready for new sessions.

    """

    number: int
    name: str
    address: tuple[str, int]
    accepts_sessions: bool = True


@dataclass(frozen=True, slots=True)
class UpstreamContext:
    """Settings and resources of a node that all its upstream actors use.

    Attributes:
        settings: how upstreams are connected to and watched.
        descriptors: the budget of file descriptors that the node may have open.
        counters: where events are counted.
        post: sends a message to the balancer actor.

    """

    settings: UpstreamSettings
    descriptors: DescriptorBudget
    counters: Counters
    post: Post
