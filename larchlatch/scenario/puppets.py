"""What nodes are made to do that no sound one does: wrong clocks, and lies. The same for both players."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import msgspec

from larchlatch.cluster.exchange.exchange import Exchange
from larchlatch.cluster.exchange.results import HeartbeatResult, OutgoingDatagram
from larchlatch.cluster.protocol.codec import encode_datagram
from larchlatch.cluster.protocol.messages import (
    DirectMessage,
    HealthObservation,
    NodeRecord,
    QuotaReport,
    SignedMessage,
)

ORDERS = "LARCHLATCH_PUPPET"  # the variable that names a puppet's orders, a file
FAR = 1_000_000  # links a window that a liar claims to have, or wants


class Drift:
    """A clock that may gain or lose; it never jumps."""

    def __init__(self, real: int) -> None:
        self.real = self.shown = real
        self.share = 0.0

    def at(self, real: int) -> int:
        return self.shown + int((real - self.real) * (1 + self.share))

    def run(self, real: int, share: float) -> None:
        """From now on it gains that share."""
        self.shown, self.real, self.share = self.at(real), real, share


class Lying(Exchange):
    """An exchange that can be made to tell what is not so."""

    about = ""
    upstreams: Sequence[int] = ()  # hashes of all hosts' names

    def sign(self, message: NodeRecord | DirectMessage) -> SignedMessage:
        if isinstance(message, NodeRecord) and message.name == self.membership.own_name:
            if self.about == "hosts":
                observations = [HealthObservation(upstream, 9, 0) for upstream in self.upstreams]
                message = msgspec.structs.replace(message, health_observations=observations)
            if self.about == "budget":
                reports = [QuotaReport(report.spent, FAR) for report in message.quota_reports]
                message = msgspec.structs.replace(message, quota_reports=reports)
        return super().sign(message)

    def heartbeat(self, *, now: int, wall: int) -> HeartbeatResult:
        beat = super().heartbeat(now=now, wall=wall)
        if self.about == "counts":
            beat.datagrams.extend(self.false_records(now, wall))
        if self.about == "budget":
            beat.datagrams.extend(self.greedy_asks(now, wall))
        return beat

    def false_records(self, now: int, wall: int) -> Iterable[OutgoingDatagram]:
        """Others' records, newer than their own, with nothing spent and all to lend."""
        for record in self.membership.present_records.values():
            false = msgspec.structs.replace(
                record,
                sequence=record.sequence + 1000,
                created_us=wall,
                quota_reports=[QuotaReport(0, FAR) for _ in record.quota_reports],
                health_observations=[],
            )
            for other in self.membership.members:
                yield OutgoingDatagram(other, encode_datagram([self.sign(false)]))

    def greedy_asks(self, now: int, wall: int) -> Iterable[OutgoingDatagram]:
        """All that there is, of all budgets, from everybody."""
        for limit in self.state.quotas.settings.quotas:
            for other in self.membership.members:
                origin = self.membership.request_origin(wall)
                ask = self.state.quotas.request_loan(now, origin, lender=other, quota=limit.name, amount=FAR)
                yield self.pack(ask)
