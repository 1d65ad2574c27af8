"""What comes of a datagram or a heartbeat, for whoever does the I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from larchlatch.cluster.health.observations import EjectionAdvice
    from larchlatch.cluster.membership.member import MemberChange
    from larchlatch.cluster.slow_start.notices import TokenNotice


class OutgoingDatagram(NamedTuple):
    """A datagram to be sent.

    Attributes:
        recipient: name of the member that it goes to.
        data: its bytes.

    """

    recipient: str
    data: bytes


class ExecutedOrder(NamedTuple):
    """An order of a role's holder that was carried out by this node.

    Attributes:
        role: the role's name.
        lease: fencing token of the order.
        holder: name of the node that gave it.

    """

    role: str
    lease: int
    holder: str


@dataclass(slots=True)
class ExchangeResult:
    """What came of a datagram, or of a request of this node's own.

    Attributes:
        changes: members whose state has changed.
        datagrams: what has to be sent at once.
        orders: orders that were carried out.
        token_updates: what the balancer has to be told of slow-start tokens.

    """

    changes: list[MemberChange] = field(default_factory=list)
    datagrams: list[OutgoingDatagram] = field(default_factory=list)
    orders: list[ExecutedOrder] = field(default_factory=list)
    token_updates: list[TokenNotice] = field(default_factory=list)


class HeartbeatResult(NamedTuple):
    """What came of a heartbeat.

    Attributes:
        changes: members whose state has changed.
        datagrams: what has to be sent.
        advice: what the health observations of all members come to.
        token_updates: what the balancer has to be told of slow-start tokens, before the datagrams are sent.

    """

    changes: list[MemberChange]
    datagrams: list[OutgoingDatagram]
    advice: EjectionAdvice
    token_updates: list[TokenNotice]
