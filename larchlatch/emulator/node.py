"""Simulates a node: it reports events to its policy and executes the policy's decisions."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from larchlatch.emulator.clock import Priority
from larchlatch.emulator.pausable_inbox import PausableInbox
from larchlatch.emulator.session_record import Attempt, SessionRecord
from larchlatch.policy.driver import Driver
from larchlatch.policy.types import (
    REACHED,
    Answer,
    Endpoint,
    EndpointState,
    Hold,
    Outcome,
    ProbeResult,
    Session,
    Token,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from larchlatch.emulator.baselines import Policy
    from larchlatch.emulator.node_environment import ClusterSide, NodeEnvironment


class SimulatedNode(Driver):
    """One process of a simulated node.

    Attributes:
        policy: The policy that makes its decisions.
        number: The node's number, from 0.
        zone: The node's zone.
        records: Its sessions, by number.
        endpoints: The endpoint list as last received, by upstream.
        inbox: Defers events while the process is paused.
        cluster: Its member of the cluster; None if the scenario has no cluster.
        is_alive: Whether the process has not ended; it may be paused.

    """

    def __init__(self, environment: NodeEnvironment, policy: Policy, *, number: int, zone: int) -> None:
        super().__init__(policy)
        self.policy = policy
        self.number = number
        self.zone = zone
        self.records: dict[int, SessionRecord] = {}
        self.endpoints: dict[int, Endpoint] = {}
        self.inbox = PausableInbox()
        self.cluster: ClusterSide | None = None
        self.is_alive = True
        self._environment = environment
        self._wake_at = 0

    @property
    def _now(self) -> int:
        return self._environment.clock.now

    # Events.

    def receive_endpoints(
        self, endpoints: list[Endpoint], *, whole: bool, from_discovery: bool = True
    ) -> None:
        """Handle an endpoint list, or changes to it.

        Args:
            endpoints: The endpoints.
            whole: Whether they are the whole list rather than changes to it.
            from_discovery: Whether discovery sent them, rather than a former process of this node.

        """
        redelivery = partial(self.receive_endpoints, endpoints, whole=whole, from_discovery=from_discovery)
        if self.inbox.defer_if_paused(redelivery):
            return
        if whole:
            self.endpoints.clear()
        self.endpoints.update({endpoint.upstream: endpoint for endpoint in endpoints})
        for endpoint in endpoints:
            self._environment.rules.endpoint_received(
                self._now, node=self.number, upstream=endpoint.upstream, state=endpoint.state
            )
        self.policy.update_endpoints(self._now, endpoints, whole=whole, from_discovery=from_discovery)
        if self.cluster is not None:
            ready = [each for each in self.endpoints.values() if each.state is EndpointState.READY]
            started_at = max((endpoint.started_at for endpoint in ready), default=0)
            self.cluster.update_endpoints([endpoint.upstream for endpoint in ready], started_at)
        self.run_due_actions()

    def receive_session(self, record: SessionRecord) -> None:
        """Handle a client's request for a session."""
        if record.client_left or self.inbox.defer_if_paused(self.receive_session, record):
            return
        session = record.session
        self.records[session.number] = record
        retry_after_us = 0
        if self.cluster is not None and not session.mid_flow:
            retry_after_us = self.cluster.admit(session.number, session.traffic_class)
        if retry_after_us:
            self.shed(self._now, session, retry_after_us)
            return
        self.carry_out(self._now, session, self.policy.place(self._now, session))
        self.run_due_actions()

    def receive_outcome(self, attempt: Attempt, outcome: Outcome) -> None:
        """Handle the outcome of an attempt, or the end of the session that it has established."""
        if not attempt.is_live or not self.is_alive:
            return
        if self.inbox.defer_if_paused(self.receive_outcome, attempt, outcome):
            return
        attempt.is_live = attempt.is_established = outcome is Outcome.ESTABLISHED
        self._environment.rules.attempt_ended(attempt.session, outcome)
        record = self.records.get(attempt.session)
        if record is None:
            return
        if outcome in REACHED:
            self._observe_reachability(attempt.upstream, reached=REACHED[outcome])
        self._handle_outcome(record, attempt, outcome)
        self.run_due_actions()

    def _handle_outcome(self, record: SessionRecord, attempt: Attempt, outcome: Outcome) -> None:
        was_established = record.session.established
        record.attempt = attempt if attempt.is_live or was_established else None
        answer = self.policy.outcome(self._now, record.session, outcome, answered=was_established)
        if outcome is Outcome.ESTABLISHED:
            self._environment.clients.on_established(record, attempt)
        elif was_established:
            del self.records[attempt.session]
            self._environment.clients.on_dropped(record)
        else:
            self.carry_out(self._now, record.session, answer)

    def receive_probe_result(self, upstream: int, result: ProbeResult) -> None:
        """Handle the result of a probe."""
        if not self.is_alive or self.inbox.defer_if_paused(self.receive_probe_result, upstream, result):
            return
        self._observe_reachability(upstream, reached=result.answered)
        self.policy.record_probe(self._now, upstream, result)
        self.run_due_actions()

    def receive_message_latency(self, record: SessionRecord, latency_us: int) -> None:
        """Handle a measured message latency of an established session, in microseconds."""
        if self.inbox.defer_if_paused(self.receive_message_latency, record, latency_us):
            return
        if self.is_alive and record.session.number in self.records and record.session.established:
            self.policy.record_delay(self._now, record.session, latency_us)
            self.run_due_actions()

    def receive_ejection_advice(self, probes: list[int], failures: Sequence[tuple[int, int]]) -> None:
        """Handle advice that is based on other nodes' reports, in the same order as a production node does.

        Args:
            probes: Upstreams that should be probed.
            failures: Upstreams that have failed, each with the number of nodes that report it.

        """
        for upstream in probes:
            self.probe(self._now, upstream)
        for upstream, reporter_count in failures:
            for _ in range(reporter_count):
                self.policy.record_probe(self._now, upstream, ProbeResult(False))
        self.run_due_actions()

    def receive_token(self, until: int, token: Token) -> None:
        """Handle a slow-start token, and the time until which its issuer allots slow-start budgets."""
        if not self.inbox.defer_if_paused(self.receive_token, until, token) and self.is_alive:
            self.policy.record_token(self._now, until, token)

    def client_left(self, session: int) -> None:
        """Handle that a client has ended its session."""
        record = self.records.pop(session, None)
        if record is None:
            return
        if record.attempt is not None:
            record.attempt.is_live = False
        self.policy.remove_session(record.session)
        if not self.inbox.is_paused:
            self.run_due_actions()

    def receive_silence(self, upstream: int) -> None:
        """Handle that an upstream has stopped answering messages."""
        self.policy.record_unresponsive(self._now, upstream)
        self._observe_reachability(upstream, reached=None)
        self.run_due_actions()

    def _observe_reachability(self, upstream: int, *, reached: bool | None) -> None:
        """Report to the cluster whether an upstream was reached; None if it stopped answering messages."""
        if self.cluster is not None:
            self.cluster.observe_reachability(upstream, reached=reached)

    # The actions that `Driver` requires.

    def carry_out(self, now: int, session: Session, answer: Answer) -> None:
        """Execute the policy's answer, and request a slow-start token if the answer asks for one."""
        super().carry_out(now, session, answer)
        if isinstance(answer, Hold) and answer.token_candidates and self.cluster is not None:
            self.cluster.request_token(session.number, answer.token_candidates)

    def session(self, number: int) -> Session | None:
        """Return the session with this number; None if the node does not have it."""
        record = self.records.get(number)
        return None if record is None else record.session

    def send(self, now: int, session: Session, upstream: int, until: int) -> None:
        """Send an attempt to an upstream."""
        record = self.records[session.number]
        record.attempt = Attempt(session.number, self, upstream, until)
        self._environment.upstreams.send_attempt(record, record.attempt)

    def shed(self, now: int, session: Session, retry_after_us: int) -> None:
        """Answer the client that nothing was executed."""
        self._environment.clients.on_shed(self.records.pop(session.number), retry_after_us)

    def fail(self, now: int, session: Session) -> None:
        """Answer the client that the session failed and that an attempt may have been executed."""
        self._environment.clients.on_failed(self.records.pop(session.number))

    def probe(self, now: int, upstream: int) -> None:
        """Probe an upstream."""
        self._environment.upstreams.send_probe(self, upstream)

    def migrate(self, now: int, session: int) -> None:
        """Migrate an established session: request its client to reconnect."""
        record = self.records.pop(session, None)
        if record is not None and record.attempt is not None:
            record.attempt.is_live = False
            # Called before the client is notified: the balancer no longer counts the session at its upstream.
            self.policy.remove_session(record.session)
            self._environment.clients.on_migrated(record)

    def cancel_attempt(self, now: int, session: int) -> None:
        """Cancel a session's attempt."""
        record = self.records.get(session)
        if record is not None and record.attempt is not None:
            cancel = self._environment.upstreams.cancel_attempt
            self._environment.clock.schedule(now, Priority.TIMER, cancel, record.attempt)

    def poll_endpoints(self, now: int) -> None:
        """Poll the endpoint list."""
        self._environment.discovery.send_whole_list(self)

    def run_due_actions(self) -> None:
        """Execute the actions that are due, and set the timer for the next one."""
        now = self._now
        wake_at = max(self.due(now), now + 1)
        if wake_at < self._wake_at or self._wake_at <= now:
            self._wake_at = wake_at
            self._environment.clock.schedule(wake_at, Priority.TIMER, self._on_timer, wake_at)

    def _on_timer(self, at: int) -> None:
        if self.is_alive and self.inbox.defer_if_paused(self._on_timer, at):
            return
        if self.is_alive and at == self._wake_at:
            self.run_due_actions()

    def die(self) -> list[SessionRecord]:
        """End the process; return its sessions, including those whose requests were deferred by a pause."""
        self.is_alive = False
        waiting = [args[0] for args in self.inbox.deferred_calls(self.receive_session)]
        records = [*self.records.values(), *(record for record in waiting if not record.client_left)]
        for record in records:
            if record.attempt is not None:
                record.attempt.is_live = False
        self.records.clear()
        return records
