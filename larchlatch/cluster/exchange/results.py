"""Results of a datagram or a heartbeat: what the caller, which does the I/O, sends, logs and passes on."""

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
        recipient: name of the member that it is sent to.
        data: its bytes.

    """

    recipient: str
    data: bytes


class ExecutedOrder(NamedTuple):
    """An order from a role's holder that this node has executed.

    Attributes:
        role: the role's name.
        lease: fencing token of the order.
        holder: name of the node that gave the order.

    """

    role: str
    lease: int
    holder: str


@dataclass(slots=True)
class ExchangeResult:
    """The result of handling a received datagram, or of a request of this node.

    Attributes:
        changes: members whose state has changed.
        datagrams: datagrams to send at once.
        orders: orders that this node has executed, to be logged.
        token_updates: notices about slow-start tokens for the balancer.

    """

    changes: list[MemberChange] = field(default_factory=list)
    datagrams: list[OutgoingDatagram] = field(default_factory=list)
    orders: list[ExecutedOrder] = field(default_factory=list)
    token_updates: list[TokenNotice] = field(default_factory=list)


class HeartbeatResult(NamedTuple):
    """The result of a heartbeat.

    Attributes:
        changes: members whose state has changed.
        datagrams: datagrams to send.
        advice: upstreams to probe or eject, according to the health observations of all members.
        token_updates: notices about slow-start tokens; the balancer has to receive them before the datagrams
            are sent.

    """

    changes: list[MemberChange]
    datagrams: list[OutgoingDatagram]
    advice: EjectionAdvice
    token_updates: list[TokenNotice]
