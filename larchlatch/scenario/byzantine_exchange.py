"""A cluster exchange that can be made to send false reports."""

from __future__ import annotations

from typing import TYPE_CHECKING

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

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

# Names the file from which a fault-injecting node process reads what it is to do wrong.
ORDERS_VARIABLE = "LARCHLATCH_PUPPET"

FALSE_SESSION_COUNT = 1_000_000  # sessions a window that a node claims to have, or asks for
FALSE_FAILURE_COUNT = 9  # failures in a row that a false health observation claims
SEQUENCE_LEAD = 1000  # by which a forged record is newer than its subject's own


class ByzantineExchange(Exchange):
    """An exchange that can be made to tell other nodes what is not so.

    Attributes:
        false_subject: What the false reports are about, as in a scenario file: `hosts`, `counts` or `budget`;
            empty for none.
        upstreams: Hashes of the names of all upstreams, which are reported as failed.

    """

    false_subject = ""
    upstreams: Sequence[int] = ()

    def sign(self, message: NodeRecord | DirectMessage) -> SignedMessage:
        """Return a message with its signature; this node's own record is falsified first."""
        if isinstance(message, NodeRecord) and message.name == self.membership.own_name:
            message = self._falsified(message)
        return super().sign(message)

    def _falsified(self, record: NodeRecord) -> NodeRecord:
        if self.false_subject == "hosts":
            observations = [
                HealthObservation(upstream, FALSE_FAILURE_COUNT, 0) for upstream in self.upstreams
            ]
            return msgspec.structs.replace(record, health_observations=observations)
        if self.false_subject == "budget":
            reports = [QuotaReport(report.spent, FALSE_SESSION_COUNT) for report in record.quota_reports]
            return msgspec.structs.replace(record, quota_reports=reports)
        return record

    def heartbeat(self, *, now: int, wall: int) -> HeartbeatResult:
        """Return what a heartbeat sends, with false datagrams behind it."""
        result = super().heartbeat(now=now, wall=wall)
        if self.false_subject == "counts":
            result.datagrams.extend(self._forged_records(wall))
        if self.false_subject == "budget":
            result.datagrams.extend(self._excessive_loan_requests(now, wall))
        return result

    def _forged_records(self, wall: int) -> Iterable[OutgoingDatagram]:
        """Yield records of other nodes that claim nothing spent and everything to lend."""
        for record in self.membership.present_records.values():
            forged = msgspec.structs.replace(
                record,
                sequence=record.sequence + SEQUENCE_LEAD,
                created_us=wall,
                quota_reports=[QuotaReport(0, FALSE_SESSION_COUNT) for _ in record.quota_reports],
                health_observations=[],
            )
            for member in self.membership.members:
                yield OutgoingDatagram(member, encode_datagram([self.sign(forged)]))

    def _excessive_loan_requests(self, now: int, wall: int) -> Iterable[OutgoingDatagram]:
        """Yield requests to every member for more of each quota than there is."""
        for quota in self.state.quotas.settings.quotas:
            for member in self.membership.members:
                origin = self.membership.request_origin(wall)
                request = self.state.quotas.request_loan(
                    now, origin, lender=member, quota=quota.name, amount=FALSE_SESSION_COUNT
                )
                yield self.pack(request)
