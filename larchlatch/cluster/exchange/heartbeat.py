"""Updates a node's state at each heartbeat, and composes the datagrams that it sends."""

from __future__ import annotations

from typing import TYPE_CHECKING

from larchlatch.cluster.exchange.results import HeartbeatResult, OutgoingDatagram
from larchlatch.cluster.protocol.codec import encode_datagram

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from larchlatch.cluster.exchange.context import ExchangeContext
    from larchlatch.cluster.exchange.handlers import MessageHandlers
    from larchlatch.cluster.health.observations import EjectionAdvice
    from larchlatch.cluster.protocol.messages import NodeRecord, SignedMessage


class HeartbeatSender:
    """Updates a node's shared state at each heartbeat, and composes the datagrams to the other members.

    Attributes:
        sites: site of each member.

    """

    def __init__(
        self,
        context: ExchangeContext,
        handlers: MessageHandlers,
        sites: Mapping[str, str],
        sign: Callable[[NodeRecord], SignedMessage],
    ) -> None:
        self.sites = sites
        self._membership = context.membership
        self._state = context.state
        self._handlers = handlers
        self._sign = sign
        self._pack = context.pack

    def heartbeat(self, *, now: int, wall: int) -> HeartbeatResult:
        """Update the state at a heartbeat, and return what the caller has to send, log and pass on.

        Args:
            now: monotonic time in microseconds.
            wall: Unix time in microseconds.

        """
        changes = self._membership.advance(now)
        self._state.quotas.compare_digests(now, self._membership.configuration_digests())
        present = self._membership.present_records
        # Only the ages of records with observations or promises are needed; most records have neither.
        reporting = {
            name: record for name, record in present.items() if record.health_observations or record.promises
        }
        ages = {name: max(0, wall - record.created_us) for name, record in reporting.items()}
        origin = self._membership.request_origin(wall)
        ballots = self._state.election.tick(now, origin, present, ages)
        self._handlers.loans.update_allocator(now)
        tokens = self._handlers.tokens.heartbeat(now, wall=wall)
        datagrams = self._record_datagrams(now=now, wall=wall)
        datagrams += self._handlers.loans.heartbeat(now, wall=wall, present=present)
        datagrams += map(self._pack, ballots)
        datagrams += tokens.datagrams
        advice = self._advise_ejection(now, reporting, ages, present)
        return HeartbeatResult(changes, datagrams, advice, tokens.token_updates)

    def _own_record(self, *, now: int, wall: int) -> NodeRecord:
        record = self._membership.next_record(
            wall,
            digest=self._state.quotas.settings.digest,
            quota_reports=self._state.quotas.reports(now),
            observations=self._state.health.own_report(now),
            promises=self._state.election.promises(now),
        )
        self._state.quota_usage.receive(record)
        return record

    def _record_datagrams(self, *, now: int, wall: int) -> list[OutgoingDatagram]:
        """Return the datagrams that carry records.

        Gossip targets receive this node's record and as many of others as fit, watchers only this node's.
        """
        signed = self._sign(self._own_record(now=now, wall=wall))
        targets = self._membership.gossip_targets()
        contents = self._membership.pack_records(signed, len(targets))
        datagrams = [
            OutgoingDatagram(name, encode_datagram(records))
            for name, records in zip(targets, contents, strict=True)
        ]
        datagrams += [
            OutgoingDatagram(name, encode_datagram([signed]))
            for name in self._membership.watcher_targets()
            if name not in targets
        ]
        return datagrams

    def _advise_ejection(
        self,
        now: int,
        reporting: Mapping[str, NodeRecord],
        ages: Mapping[str, int],
        present: Mapping[str, NodeRecord],
    ) -> EjectionAdvice:
        """Return which upstreams to probe or eject according to the members' health observations."""
        own_site = self.sites.get(self._membership.own_name, "")
        reports = {name: record.health_observations for name, record in reporting.items()}
        several_sites = any(self.sites[name] != own_site for name in present)
        return self._state.health.advise(now, reports, ages, self.sites, several_sites=several_sites)
