"""A simulated node, which drives the real decisions like the simulator's adapter does."""

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
    """A node.

    Attributes:
        policy: The policy that decides.
        number: Its number, from 0.
        zone: Its zone.
        records: Its sessions, by number.
        endpoints: The endpoint list as last received, by upstream.
        inbox: Keeps events while its process is paused.
        cluster: Its side of the cluster, if there is one.
        is_alive: Whether its process has not ended; it may be paused.

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

    def receive_endpoints(self, endpoints: list[Endpoint], *, whole: bool, polled: bool = True) -> None:
        """Handle endpoints from discovery.

        Args:
            endpoints: The whole list, or its changes.
            whole: Whether it is the whole list.
            polled: Whether discovery sent it; otherwise a former process of this node had it.

        """
        again = partial(self.receive_endpoints, endpoints, whole=whole, polled=polled)
        if self.inbox.defers(again):
            return
        if whole:
            self.endpoints.clear()
        self.endpoints.update({endpoint.upstream: endpoint for endpoint in endpoints})
        for endpoint in endpoints:
            self._environment.rules.endpoint_received(
                self._now, node=self.number, upstream=endpoint.upstream, state=endpoint.state
            )
        self.policy.update_endpoints(self._now, endpoints, whole=whole, from_discovery=polled)
        if self.cluster is not None:
            ready = [each for each in self.endpoints.values() if each.state is EndpointState.READY]
            started_at = max((endpoint.started_at for endpoint in ready), default=0)
            self.cluster.update_endpoints([endpoint.upstream for endpoint in ready], started_at)
        self.act()

    def receive_session(self, record: SessionRecord) -> None:
        """Handle a client's request for a session."""
        if record.client_left or self.inbox.defers(self.receive_session, record):
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
        self.act()

    def receive_outcome(self, attempt: Attempt, outcome: Outcome) -> None:
        """Handle the outcome of an attempt, or the end of the resulting connection."""
        if not attempt.is_live or not self.is_alive:
            return
        if self.inbox.defers(self.receive_outcome, attempt, outcome):
            return
        attempt.is_live = attempt.is_established = outcome is Outcome.ESTABLISHED
        self._environment.rules.attempt_ended(attempt.session, outcome)
        record = self.records.get(attempt.session)
        if record is None:
            return
        if outcome in REACHED:
            self._observe_reachability(attempt.upstream, reached=REACHED[outcome])
        self._take_outcome(record, attempt, outcome)
        self.act()

    def _take_outcome(self, record: SessionRecord, attempt: Attempt, outcome: Outcome) -> None:
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
        if not self.is_alive or self.inbox.defers(self.receive_probe_result, upstream, result):
            return
        self._observe_reachability(upstream, reached=result.answered)
        self.policy.record_probe(self._now, upstream, result)
        self.act()

    def receive_message_latency(self, record: SessionRecord, latency_us: int) -> None:
        """Handle a measured latency of messages on an established session."""
        if self.inbox.defers(self.receive_message_latency, record, latency_us):
            return
        if self.is_alive and record.session.number in self.records and record.session.established:
            self.policy.record_delay(self._now, record.session, latency_us)
            self.act()

    def receive_ejection_advice(self, probes: list[int], failures: Sequence[tuple[int, int]]) -> None:
        """Handle other nodes' reports of upstreams, in the same order as a real node does.

        Args:
            probes: Upstreams that should be probed.
            failures: Upstreams that have failed, each with the number of nodes that report it.

        """
        for upstream in probes:
            self.probe(self._now, upstream)
        for upstream, witnesses in failures:
            for _ in range(witnesses):
                self.policy.record_probe(self._now, upstream, ProbeResult(False))
        self.act()

    def receive_token(self, until: int, token: Token) -> None:
        """Handle a slow-start token, and the time until which the issuer is known to be in charge."""
        if not self.inbox.defers(self.receive_token, until, token) and self.is_alive:
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
            self.act()

    def receive_silence(self, upstream: int) -> None:
        """Handle that an upstream no longer answers messages."""
        self.policy.record_unresponsive(self._now, upstream)
        self._observe_reachability(upstream, reached=None)
        self.act()

    def _observe_reachability(self, upstream: int, *, reached: bool | None) -> None:
        """Report to the cluster whether an upstream was reached; None if it fell silent."""
        if self.cluster is not None:
            self.cluster.observe_reachability(upstream, reached=reached)

    # Actions of the driver.

    def carry_out(self, now: int, session: Session, answer: Answer) -> None:
        """Carry out the balancer's answer, and request a token if it asks for one."""
        super().carry_out(now, session, answer)
        if isinstance(answer, Hold) and answer.token_candidates and self.cluster is not None:
            self.cluster.request_token(session.number, answer.token_candidates)

    def session(self, number: int) -> Session | None:
        """Return the session of this number, if the node has it."""
        record = self.records.get(number)
        return None if record is None else record.session

    def send(self, now: int, session: Session, upstream: int, until: int) -> None:
        """Send an attempt to an upstream."""
        record = self.records[session.number]
        record.attempt = Attempt(session.number, self, upstream, until)
        self._environment.upstreams.send_attempt(record, record.attempt)

    def shed(self, now: int, session: Session, retry_after_us: int) -> None:
        """Answer that nothing was executed."""
        self._environment.clients.on_shed(self.records.pop(session.number), retry_after_us)

    def fail(self, now: int, session: Session) -> None:
        """Answer that the session failed."""
        self._environment.clients.on_failed(self.records.pop(session.number))

    def probe(self, now: int, upstream: int) -> None:
        """Probe an upstream."""
        self._environment.upstreams.send_probe(self, upstream)

    def migrate(self, now: int, session: int) -> None:
        """Migrate an established session."""
        record = self.records.pop(session, None)
        if record is not None and record.attempt is not None:
            record.attempt.is_live = False
            # Before the client is told: the decisions have taken the session off its upstream already.
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

    def act(self) -> None:
        """Carry out what has fallen due, and set the timer for what falls due next."""
        now = self._now
        wake_at = max(self.due(now), now + 1)
        if wake_at < self._wake_at or self._wake_at <= now:
            self._wake_at = wake_at
            self._environment.clock.schedule(wake_at, Priority.TIMER, self._on_timer, wake_at)

    def _on_timer(self, at: int) -> None:
        if self.is_alive and self.inbox.defers(self._on_timer, at):
            return
        if self.is_alive and at == self._wake_at:
            self.act()

    def die(self) -> list[SessionRecord]:
        """End the process; return the sessions that it had, and those whose requests waited for it."""
        self.is_alive = False
        waiting = [args[0] for args in self.inbox.waiting(self.receive_session)]
        records = [*self.records.values(), *(record for record in waiting if not record.client_left)]
        for record in records:
            if record.attempt is not None:
                record.attempt.is_live = False
        self.records.clear()
        return records
