"""The sending side: what a node does and sends with each heartbeat."""

from __future__ import annotations

from typing import TYPE_CHECKING

from larchlatch.cluster.exchange.results import HeartbeatResult, OutgoingDatagram
from larchlatch.cluster.protocol.codec import encode_datagram

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from larchlatch.cluster.exchange.loans import LoanExchange
    from larchlatch.cluster.exchange.state import SharedState
    from larchlatch.cluster.exchange.tokens import TokenExchange
    from larchlatch.cluster.health.observations import EjectionAdvice
    from larchlatch.cluster.membership.membership import Membership
    from larchlatch.cluster.protocol.messages import (
        DirectMessage,
        NodeRecord,
        SignedMessage,
    )


class HeartbeatSender:
    """Bring all parts up to date once per heartbeat, and compose what goes to the other members.

    Attributes:
        sites: site of each member.

    """

    def __init__(
        self,
        membership: Membership,
        state: SharedState,
        sites: Mapping[str, str],
        loans: LoanExchange,
        tokens: TokenExchange,
        sign: Callable[[NodeRecord], SignedMessage],
        pack: Callable[[DirectMessage], OutgoingDatagram],
    ) -> None:
        self.sites = sites
        self._membership = membership
        self._state = state
        self._loans = loans
        self._tokens = tokens
        self._sign = sign
        self._pack = pack

    def heartbeat(self, *, now: int, wall: int) -> HeartbeatResult:
        """Do what falls due with one heartbeat.

        Args:
            now: monotonic time in microseconds.
            wall: Unix time in microseconds.

        """
        changes = self._membership.advance(now)
        self._compare_configurations(now)
        present = self._membership.present_records
        # Few records have any of it: only for these an age is needed.
        reporting = {
            name: record for name, record in present.items() if record.health_observations or record.promises
        }
        ages = {name: max(0, wall - record.created_us) for name, record in reporting.items()}
        ballots = self._state.election.tick(now, wall, self._membership.incarnation, present, ages)
        self._loans.update_allocator(now)
        tokens = self._tokens.heartbeat(now, wall=wall)
        datagrams = self._record_datagrams(now=now, wall=wall)
        datagrams += self._loans.heartbeat(now, wall=wall, present=present)
        datagrams += map(self._pack, ballots)
        datagrams += tokens.datagrams
        advice = self._weigh_observations(now, reporting, ages, present)
        return HeartbeatResult(changes, datagrams, advice, tokens.token_updates)

    def _compare_configurations(self, now: int) -> None:
        """Tell the quotas by which cluster files the other members go."""
        self._state.quotas.note_digests(now, self._membership.configuration_digests())

    def _own_record(self, *, now: int, wall: int) -> NodeRecord:
        record = self._membership.next_record(
            wall,
            digest=self._state.quotas.settings.digest,
            shares=self._state.quotas.standings(now),
            observations=self._state.health.own_report(now),
            promises=self._state.election.promises(now),
        )
        self._state.quota_usage.receive(record)
        return record

    def _record_datagrams(self, *, now: int, wall: int) -> list[OutgoingDatagram]:
        """Return the gossip: own record and others' to some members, the own one alone to some watchers."""
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

    def _weigh_observations(
        self,
        now: int,
        reporting: Mapping[str, NodeRecord],
        ages: Mapping[str, int],
        present: Mapping[str, NodeRecord],
    ) -> EjectionAdvice:
        """Return what the members' health observations come to."""
        own_site = self.sites.get(self._membership.own_name, "")
        claims = {name: record.health_observations for name, record in reporting.items()}
        several_sites = any(self.sites[name] != own_site for name in present)
        return self._state.health.advise(now, claims, ages, self.sites, several_sites=several_sites)
