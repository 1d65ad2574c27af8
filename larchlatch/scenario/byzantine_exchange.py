"""A cluster exchange that sends false reports to other nodes when a fault demands it."""

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

# The environment variable that holds the path of the file from which a node process reads its faults.
INJECTED_FAULTS_VARIABLE = "LARCHLATCH_PUPPET"

FALSE_SESSION_COUNT = 1_000_000  # sessions per window that false reports and loan requests state
FALSE_FAILURE_COUNT = 9  # consecutive failures that a false health observation states
SEQUENCE_LEAD = 1000  # added to the true record's sequence number, so that the forged one seems newer


class ByzantineExchange(Exchange):
    """An exchange that can send false reports to other nodes, as a Byzantine node does.

    Attributes:
        false_subject: The subject of the false reports, as in a scenario file: `hosts` for the health of
            upstreams, `counts` for the quota usage of other nodes, `budget` for what this node would lend and
            borrow; empty if reports are true.
        upstreams: Hashes of the names of all upstreams; reports about `hosts` state that all of them failed.

    """

    false_subject = ""
    upstreams: Sequence[int] = ()

    def sign(self, message: NodeRecord | DirectMessage) -> SignedMessage:
        """Return a message with its signature; falsify it first if it is this node's own record."""
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
        """Return the result of a heartbeat, with false datagrams appended to those that it sends."""
        result = super().heartbeat(now=now, wall=wall)
        if self.false_subject == "counts":
            result.datagrams.extend(self._forged_records(wall))
        if self.false_subject == "budget":
            result.datagrams.extend(self._excessive_loan_requests(now, wall))
        return result

    def _forged_records(self, wall: int) -> Iterable[OutgoingDatagram]:
        """Yield forged records of other nodes, which state that these spent nothing and can lend a lot."""
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
        """Yield a loan request to every member for each quota, for more sessions than the quota allows."""
        for quota in self.state.quotas.settings.quotas:
            for member in self.membership.members:
                origin = self.membership.request_origin(wall)
                request = self.state.quotas.request_loan(
                    now, origin, lender=member, quota=quota.name, amount=FALSE_SESSION_COUNT
                )
                yield self.pack(request)
