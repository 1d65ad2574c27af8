"""The balancer actor: the only part of a node that calls the balancer.

Other tasks put messages into its mailbox. Each message is handled completely before the next one, so the
balancer needs no locks. The actor never waits for an upstream or a client: it passes each decision to a
`DecisionExecutor`, which carries it out without waiting.
"""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

import anyio
import structlog

from larchlatch.node import messages
from larchlatch.node.clock import now_us, seconds_until
from larchlatch.node.decision_executor import DecisionExecutor
from larchlatch.node.fault_barrier import FaultBarrier
from larchlatch.node.held_sessions import HeldSessions
from larchlatch.node.hot_restart.packets import BalancerState
from larchlatch.node.other_nodes import ClusterAdapter
from larchlatch.node.session_record import Failed, SessionRecord, Shed
from larchlatch.node.status import UpstreamRow, upstream_rows
from larchlatch.node.upstream_actor import StartProbe
from larchlatch.policy import types
from larchlatch.policy.state_export import export_state, restore_state
from larchlatch.policy.status import upstream_statuses
from larchlatch.policy.types import Outcome, ProbeResult, Token

if TYPE_CHECKING:
    from collections.abc import Sequence

    from larchlatch.config.endpoints import EndpointList
    from larchlatch.node.discovery import DiscoveryClient
    from larchlatch.node.mailbox import Mailbox
    from larchlatch.node.metrics import Counters
    from larchlatch.node.ports import ClusterRequests
    from larchlatch.node.upstream_registry import UpstreamRegistry
    from larchlatch.policy.balancer import Balancer

MIN_TIMER_US = 4_000  # with shorter waits, hundreds of held sessions would wake the event loop one by one
RETRY_AFTER_FAULT_US = 100_000  # pause before the balancer is called again after it has raised an exception
UNKNOWN_UPSTREAM = -1  # passed to the balancer for an upstream that the endpoint list has never named

log = structlog.get_logger()


class BalancerCounter(StrEnum):
    """Names of the counters of the balancer actor."""

    DECISIONS_FAILED = "decisions_failed"
    RESTORED_STATE_UNREADABLE = "restored_state_unreadable"


class BalancerActor:
    """Translates messages into calls to the balancer, and has its decisions carried out.

    Attributes:
        balancer: decides where sessions are placed; nothing else in a node calls it.
        mailbox: the queue of messages from other tasks.
        upstreams: the upstreams that this node knows, with their actors.
        records: the sessions in flight or established at this node, by number.
        mean_setup_us: mean time to establish a session, in microseconds; 0 if unknown. A request that has
            waited unread for more than this time is shed if its deadline is at most this time away.

    """

    def __init__(
        self,
        balancer: Balancer,
        traffic_classes: Sequence[str],
        mailbox: Mailbox,
        upstreams: UpstreamRegistry,
        counters: Counters,
        *,
        discovery: DiscoveryClient | None = None,
        cluster: ClusterRequests | None = None,
    ) -> None:
        """Prepare the actor; `run` starts it.

        Args:
            balancer: decides where sessions are placed.
            traffic_classes: names of the traffic classes, in the order of the deployment settings.
            mailbox: the queue of messages from other tasks.
            upstreams: the upstreams that this node knows, whose actors make attempts and probes.
            counters: where events are counted.
            discovery: polls the endpoint list when the balancer requests it; None if the list is fixed.
            cluster: this node's part in its cluster; None for a node without a cluster.

        """
        self.balancer = balancer
        self.mailbox = mailbox
        self.upstreams = upstreams
        self.records: dict[int, SessionRecord] = {}
        self.mean_setup_us = 0
        self._counters = counters
        self._discovery = discovery
        self._cluster = ClusterAdapter(cluster, upstreams, traffic_classes, balancer.settings)
        self._held = HeldSessions()
        self._executor = DecisionExecutor(self.records, self._held, upstreams, self._cluster, counters)

    async def run(self) -> None:
        """Handle messages and timers until cancelled."""
        async with anyio.create_task_group() as tasks:
            self.upstreams.start(tasks)
            wake_at = now_us()
            while True:
                with anyio.move_on_after(seconds_until(wake_at)):
                    self._handle_safely(await self.mailbox.receive())
                while (message := self.mailbox.receive_buffered()) is not None:
                    self._handle_safely(message)
                wake_at = self._run_timers()

    def handle(self, now: int, message: messages.Message) -> None:
        """Handle one message; exceptions of the balancer propagate to the caller."""
        if isinstance(message, messages.SessionMessage):
            self._handle_session_message(now, message)
        else:
            self._handle_environment_message(now, message)

    def upstream_rows(self) -> list[UpstreamRow]:
        """Return one status row for each upstream, for operators."""
        statuses = upstream_statuses(self.balancer, now_us())
        return upstream_rows(statuses, self.upstreams.actors, self.upstreams.names)

    def _handle_safely(self, message: messages.Message) -> None:
        """Handle one message; if that raises an exception, a session that waits for the decision fails."""
        with self._fault_barrier(type(message).__name__) as barrier:
            self.handle(now_us(), message)
        if barrier.caught and isinstance(message, messages.DecisionWanted):
            self.records.pop(message.record.session.number, None)
            message.record.set_final_answer(Failed())

    def _fault_barrier(self, message: str) -> FaultBarrier:
        return FaultBarrier(
            self._counters, counter=BalancerCounter.DECISIONS_FAILED, event="decision_failed", message=message
        )

    # Messages about sessions.

    def _handle_session_message(self, now: int, message: messages.SessionMessage) -> None:
        match message:
            case messages.SessionArrived(record):
                self._admit(now, record)
            case messages.HoldExpired(record):
                self._place(now, record)
            case messages.AttemptFinished(record, outcome, done):
                # A client that has left needs no further attempt either.
                self._finish_attempt(now, record, outcome, done=done or record.client_gone)
            case messages.SessionAdopted(record, upstream):
                self.records[record.session.number] = record
                self.balancer.add_established(record.session, upstream)
            case messages.ClientLeft(record):
                if self.records.pop(record.session.number, None) is not None:
                    self.balancer.remove_session(record.session)
            case messages.LoadReported() | messages.DelayObserved():
                if message.record.session.number in self.records:
                    self._record_observation(now, message)

    def _record_observation(self, now: int, message: messages.LoadReported | messages.DelayObserved) -> None:
        match message:
            case messages.LoadReported(record, load):
                self.balancer.record_load(now, record.session, load)
            case messages.DelayObserved(record, delay_us):
                self.balancer.record_delay(now, record.session, delay_us)

    def _admit(self, now: int, record: SessionRecord) -> None:
        """Place a new session, or shed it if it exceeds a cluster quota; ignore it if its client has left."""
        if record.check_finished():
            return
        retry_after_us = self._cluster.charge_quota(record.session)
        if retry_after_us is not None:
            record.set_final_answer(Shed(retry_after_us))
            return
        self.records[record.session.number] = record
        self._place(now, record)

    def _place(self, now: int, record: SessionRecord) -> None:
        self._carry_out(record, self.balancer.place(now, record.session))

    def _finish_attempt(self, now: int, record: SessionRecord, outcome: Outcome, *, done: bool) -> None:
        if record.session.number not in self.records:
            return
        if outcome in types.REACHED:
            self._cluster.observe_reachability(record.session.upstream, reached=types.REACHED[outcome])
        answer = self.balancer.outcome(now, record.session, outcome, answered=done)
        if outcome is Outcome.ESTABLISHED:
            return
        if done:
            del self.records[record.session.number]
        else:
            self._carry_out(record, answer)

    def _carry_out(self, record: SessionRecord, answer: types.Answer) -> None:
        def report_not_sent() -> types.Answer:
            return self.balancer.outcome(now_us(), record.session, Outcome.NOT_SENT)

        self._executor.carry_out(record, answer, report_not_sent)

    # Messages from upstream actors, discovery and the cluster.

    def _handle_environment_message(self, now: int, message: messages.EnvironmentMessage) -> None:
        match message:
            case messages.UpstreamUnresponsive(upstream):
                self.balancer.record_unresponsive(now, upstream)
                self._cluster.observe_reachability(upstream, reached=None)
            case messages.ProbeFinished(upstream, answered, utilization, session_count):
                self._cluster.observe_reachability(upstream, reached=answered)
                self.balancer.record_probe(now, upstream, ProbeResult(answered, utilization, session_count))
            case messages.EndpointsChanged(endpoints, from_discovery):
                changed = self.upstreams.update(endpoints)
                self.balancer.update_endpoints(
                    now, changed, whole=endpoints.complete, from_discovery=from_discovery
                )
                self._cluster.update_endpoints(now)
                if from_discovery and self._discovery is not None:
                    self._discovery.record_applied(endpoints.revision)
            case messages.DiscoveryFailed():
                self.balancer.discovery_failed(now)
            case messages.EjectionAdvised():
                self._follow_ejection_advice(now, message)
            case messages.SlowStartTokens(issuer_until, name, session, expires_at):
                number = self.upstreams.number_of(name)
                upstream = UNKNOWN_UPSTREAM if number is None else number
                self.balancer.record_token(now, issuer_until, Token(upstream, session, expires_at))

    def _follow_ejection_advice(self, now: int, advice: messages.EjectionAdvised) -> None:
        for name in advice.probe if self.balancer.probing.allowed else ():
            actor = self.upstreams.actor_named(name)
            if actor is not None:
                actor.offer(StartProbe())
        # Each other node that reports a failure counts as one failed probe; this node's probes continue.
        for name, reporter_count in advice.unreachable:
            number = self.upstreams.number_of(name)
            if number is None:
                continue
            for _ in range(reporter_count):
                self.balancer.record_probe(now, number, ProbeResult(False))

    # Timers.

    def _run_timers(self) -> int:
        """Carry out all actions that are due; return when to check again, by the node's clock."""
        now = now_us()
        self._place_held(now)
        wake_at = now + RETRY_AFTER_FAULT_US
        with self._fault_barrier("wait"):
            due = self.balancer.due_actions(now)
            self._carry_out_due(now, due)
            wake_at = now + due.wait_us
            sessions = (record.session for record in self.records.values())
            self.upstreams.release(self.balancer.release_gone(now, sessions))
        next_retry_at = self._held.next_retry_at()
        if next_retry_at is not None:
            wake_at = min(wake_at, next_retry_at)
        return max(wake_at, now + MIN_TIMER_US)

    def _place_held(self, now: int) -> None:
        while (number := self._held.pop_due(now)) is not None:
            record = self.records.get(number)
            if record is not None:
                self._handle_safely(messages.HoldExpired(record))

    def _carry_out_due(self, now: int, due: types.DueActions) -> None:
        self.mean_setup_us = due.setup_us
        for upstream in self._executor.start_probes(due.probes):
            self.balancer.record_probe(now, upstream, ProbeResult(False))
        self._executor.migrate(due.migrations)
        self._executor.cancel_superseded(due.superseded)
        if due.poll_list and self._discovery is not None:
            self._discovery.start()

    # Hot restart.

    def endpoint_list(self) -> EndpointList:
        """Return the endpoint list as this node knows it, for the successor."""
        revision = self._discovery.applied_revision if self._discovery is not None else 0
        return self.upstreams.endpoint_list(revision)

    def hand_over(self) -> BalancerState:
        """Leave slow-start budget and quotas to the successor; return the state that it continues from."""
        self.balancer.release_slow_start_budget(released=True)
        return BalancerState(export_state(self.balancer), self._cluster.hand_over())

    def resume(self) -> None:
        """Use slow-start budget and quotas again, as the successor has ended."""
        self.balancer.release_slow_start_budget(released=False)
        self._cluster.resume()

    def restore(self, state: BalancerState, clock_shift_us: int) -> None:
        """Continue from the predecessor's state; what its balancer learned is dropped if it is unreadable.

        Args:
            state: what the predecessor's `hand_over` returned.
            clock_shift_us: this process's clock minus the predecessor's, in microseconds.

        """
        try:
            restore_state(self.balancer, state.learned, clock_shift_us)
        except (AttributeError, KeyError, TypeError, ValueError, OverflowError) as error:
            self._counters.add(BalancerCounter.RESTORED_STATE_UNREADABLE)
            log.warning("restored_state_unreadable", error=repr(error))
        self._cluster.take_over(state.quota_usage)
