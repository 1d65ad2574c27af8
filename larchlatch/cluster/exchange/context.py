"""Defines what the components of one node's exchange share."""

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
    """The state and the functions that all components of one node's exchange use.

    Attributes:
        membership: this node's view of the members.
        state: this node's copy of the state that the members share.
        pack: returns the signed datagram that carries one message to its recipient.
        count: adds one to the counter of this name.

    """

    membership: Membership
    state: SharedState
    pack: Callable[[DirectMessage], OutgoingDatagram]
    count: Callable[[str], None]
