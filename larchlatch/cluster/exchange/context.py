"""What all parts of one node's exchange work with."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from larchlatch.cluster.exchange.results import OutgoingDatagram
    from larchlatch.cluster.exchange.state import SharedState
    from larchlatch.cluster.membership.membership import Membership
    from larchlatch.cluster.protocol.messages import DirectMessage


@dataclass(frozen=True, slots=True)
class ExchangeContext:
    """What each part of one node's exchange reads, updates and calls.

    Attributes:
        membership: the members, as this node knows them.
        state: the state that the members share.
        pack: returns the signed datagram that carries one message to its recipient.
        count: adds one to the counter of this name.

    """

    membership: Membership
    state: SharedState
    pack: Callable[[DirectMessage], OutgoingDatagram]
    count: Callable[[str], None]
