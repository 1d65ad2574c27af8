"""Simulates a member of the cluster: production decisions and datagrams, driven by the simulated clock."""

from __future__ import annotations

import time
from collections import deque
from contextlib import contextmanager
from typing import TYPE_CHECKING

from larchlatch.cluster.election.candidate_side import RoleChange
from larchlatch.cluster.exchange.state import SharedState
from larchlatch.cluster.membership.member import MemberChange, MemberState
from larchlatch.cluster.membership.membership import Membership
from larchlatch.emulator.clock import Priority
from larchlatch.emulator.cluster_settings import (
    MAX_CLOCK_DIFFERENCE_US,
    member_name,
    traffic_class_name,
)
from larchlatch.emulator.unsigned_signer import UnsignedSigner
from larchlatch.invariants.observations import (
    MemberReported,
    OrderExecuted,
    QuotaUsageReported,
    RoleChanged,
    SessionAdmitted,
    SessionRequested,
    UpstreamFailureDetected,
)
from larchlatch.policy.types import Token, TokenCandidate
from larchlatch.scenario.amounts import us
from larchlatch.scenario.byzantine_exchange import ByzantineExchange

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence
    from random import Random

    from larchlatch.cluster.exchange.results import ExchangeResult, ExecutedOrder, OutgoingDatagram
    from larchlatch.cluster.slow_start.notices import TokenNotice
    from larchlatch.emulator.cluster import SimulatedCluster
    from larchlatch.emulator.cluster_settings import ClusterSettings
    from larchlatch.emulator.context import SimulationContext
    from larchlatch.invariants.observations import Observation
    from larchlatch.scenario.drifting_clock import DriftingClock

MAX_UNREAD_DATAGRAMS = 1000  # kept for a paused process, as in a socket's receive buffer


class SimulatedMember:
    """The cluster side of one process of a node.

    Attributes:
        number: The node's number.
        exchange: Makes the member's decisions, and encodes and decodes its datagrams.
        is_alive: Whether the process has not ended; it may be paused.
        is_paused: Whether the process is paused.

    """

    def __init__(
        self,
        context: SimulationContext,
        cluster: SimulatedCluster,
        number: int,
        *,
        settings: ClusterSettings,
        clock: DriftingClock,
        rng: Random,
    ) -> None:
        self.number = number
        self.is_alive = True
        self.is_paused = False
        self._context = context
        self._cluster = cluster
        self._clock = clock
        self._heartbeat_us = context.scenario.cluster.heartbeat_ms * 1000
        self.exchange = self._create_exchange(settings, rng)
        self._unread: deque[bytes] = deque(maxlen=MAX_UNREAD_DATAGRAMS)
        self._heartbeat_at = self._now + round(rng.random() * self._heartbeat_us)
        self._set_timer()

    def _create_exchange(self, settings: ClusterSettings, rng: Random) -> ByzantineExchange:
        name = member_name(self.number)
        membership = Membership(
            name,
            settings.sites,
            heartbeat_us=self._heartbeat_us,
            wall_us=self._now,
            now_us=self.node_time,
            rng=rng,
        )
        state = SharedState.create(
            name,
            settings.quota_settings,
            settings.electorate,
            max_clock_difference_us=MAX_CLOCK_DIFFERENCE_US,
            heartbeat_us=self._heartbeat_us,
            now=self.node_time,
            random=rng,
        )
        state.open(self.node_time)
        signer = UnsignedSigner(name)
        exchange = ByzantineExchange(
            membership, state, settings.sites, settings.keys, signer, signer, self._cluster.count
        )
        exchange.upstreams = range(len(self._context.upstreams))
        return exchange

    @property
    def _now(self) -> int:
        return self._context.clock.now

    @property
    def node_time(self) -> int:
        """The time that the node's own, possibly drifting clock shows, in microseconds."""
        return self._clock.at(self._now)

    @property
    def is_running(self) -> bool:
        """Whether the process is alive and not paused."""
        return self.is_alive and not self.is_paused

    def _observe(self, observation: Observation) -> None:
        self._cluster.checkers.observe(observation)

    # Calls that its node makes.

    def admit(self, session: int, traffic_class: int) -> int:
        """Return 0 if the quotas admit a session, else the pause before a retry, in microseconds."""
        self._observe(SessionRequested(self._now, str(session)))
        quotas = self.exchange.state.quotas
        retry_after_us = quotas.admit(self.node_time, traffic_class_name(traffic_class))
        if not retry_after_us:
            self._observe(SessionAdmitted(self._now, str(session)))
        return retry_after_us

    def update_endpoints(self, upstreams: Sequence[int], started_at: int) -> None:
        """Set the ready upstreams and the start time of the one that started last; 0 for long ago."""
        self.exchange.state.health.set_upstreams(upstreams)
        slow_start = self._context.scenario.slow_start
        remaining_us = started_at + us(slow_start.duration_s) - self._now if started_at else 0
        self.exchange.state.tokens.update_upstreams(
            self.node_time,
            upstreams,
            slow_start_us=max(0, remaining_us),
            window_us=us(slow_start.overload_window_s),
        )

    def request_token(self, session: int, candidates: Sequence[TokenCandidate]) -> None:
        """Request a slow-start token for a session at one of its candidates."""
        by_upstream = [(candidate.upstream, candidate) for candidate in candidates]
        result = self.exchange.request_token(session, by_upstream, now=self.node_time, wall=self._now)
        self._send(result.datagrams)
        self._report_election(result.orders)
        self._pass_on_tokens(result.token_updates)

    def observe_reachability(self, upstream: int, *, reached: bool | None) -> None:
        """Record whether an upstream was reached; None if it stopped answering messages."""
        health = self.exchange.state.health
        if upstream in health.upstreams:
            health.observe(self.node_time, upstream, reached=reached)

    def report_quota_usage(self) -> None:
        """Report to the checkers how much of the quota this member estimates to be used."""
        usage = self.exchange.state.quota_usage
        [used] = usage.ranges(self._now)
        self._observe(QuotaUsageReported(self._now, least=used.least, most=used.most, span_us=usage.span_us))

    def reload(self, settings: ClusterSettings) -> None:
        """Apply a new cluster file."""
        self.exchange.apply_configuration(
            settings.sites,
            settings.keys,
            settings.quota_settings,
            settings.electorate,
            heartbeat_us=self._heartbeat_us,
            now=self.node_time,
        )

    # Heartbeats and datagrams.

    def _set_timer(self) -> None:
        at = self._heartbeat_at
        self._context.clock.schedule(at, Priority.TIMER, self._on_timer, at)

    def _on_timer(self, at: int) -> None:
        # If a pause ends in the microsecond of a heartbeat, `resume` has already sent it and set the next
        # timer; sending it here again would leave the member with two timers.
        if self.is_running and at == self._heartbeat_at:
            self._heartbeat()

    def _heartbeat(self) -> None:
        with self._measured():
            result = self.exchange.heartbeat(now=self.node_time, wall=self._now)
        self._report_members(result.changes)
        self._report_election([])
        self._pass_on_tokens(result.token_updates)
        self._send(result.datagrams)
        for upstream in result.advice.newly_unreachable:
            self._observe(UpstreamFailureDetected(self._now, node=self.number, upstream=upstream))
        if result.advice.probes or result.advice.failures:
            self._cluster.pass_on_advice(self.number, result.advice)
        self._heartbeat_at = self._now + self._heartbeat_us
        self._set_timer()

    def receive(self, data: bytes) -> None:
        """Process a datagram; while the process is paused, keep it for later."""
        if self.is_paused:
            self._unread.append(data)
        elif self.is_alive:
            with self._measured():
                result = self.exchange.receive(data, now=self.node_time, wall=self._now)
            self._handle_result(result)

    def _handle_result(self, result: ExchangeResult) -> None:
        self._report_members(result.changes)
        self._report_election(result.orders)
        self._send(result.datagrams)
        self._pass_on_tokens(result.token_updates)

    def resume(self) -> None:
        """Resume a paused process: send an overdue heartbeat, then process the datagrams that were kept."""
        self.is_paused = False
        self._cluster.observe_fleet()
        # An overdue timer fires before unread datagrams are processed.
        if self._heartbeat_at <= self._now:
            self._heartbeat()
        unread = list(self._unread)
        self._unread.clear()
        for data in unread:
            self.receive(data)

    @contextmanager
    def _measured(self) -> Iterator[None]:
        """Add the real time that the body takes to the cluster's `decision_time_s`."""
        began = time.perf_counter()
        yield
        self._cluster.decision_time_s += time.perf_counter() - began

    # Results of the exchange.

    def _pass_on_tokens(self, notices: Sequence[TokenNotice]) -> None:
        clock_offset_us = self._now - self.node_time  # the balancer uses the simulated clock, not the node's
        node = self._context.nodes[self.number]
        for notice in notices:
            upstream = notice.upstream if notice.session >= 0 else -1
            token = Token(upstream, notice.session, notice.token_ends_at + clock_offset_us)
            node.receive_token(notice.handed_over_until + clock_offset_us, token)

    def _report_election(self, orders: Sequence[ExecutedOrder]) -> None:
        events = self.exchange.state.election.take_events()
        for order in orders:
            self._context.trace.record("order", self.number, order.lease)
            self._observe(OrderExecuted(self._now, order.role, order.lease))
        for event in events:
            self._context.trace.record("duty", self.number, event.change.value, event.lease)
            held = event.change is RoleChange.HELD
            self._observe(RoleChanged(self._now, event.role, node=self.number, held=held))

    def _report_members(self, changes: Sequence[MemberChange]) -> None:
        for change in changes:
            other = self._cluster.number_of(change.name)
            self._context.trace.record("member", self.number, other, change.state.value)
            present = change.state is MemberState.PRESENT
            self._observe(MemberReported(self._now, node=self.number, member=other, present=present))

    def _send(self, datagrams: Sequence[OutgoingDatagram]) -> None:
        for name, data in datagrams:
            self._cluster.send_datagram(self.number, self._cluster.number_of(name), data)
