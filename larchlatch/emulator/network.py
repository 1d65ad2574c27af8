"""Simulates the network between nodes and upstreams: attempts, probes and their outcomes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from larchlatch.emulator.clock import Priority
from larchlatch.invariants.observations import SessionArrived
from larchlatch.invariants.session_figures import SessionEvent
from larchlatch.policy.types import Outcome, ProbeResult
from larchlatch.scenario.amounts import us
from larchlatch.scenario.upstreams import Condition

if TYPE_CHECKING:
    from collections.abc import Callable

    from larchlatch.emulator.context import SimulationContext
    from larchlatch.emulator.node import SimulatedNode
    from larchlatch.emulator.session_record import Attempt, SessionRecord
    from larchlatch.emulator.shared_store import SharedStore
    from larchlatch.scenario.upstreams import SimulatedUpstream


class SimulatedNetwork:
    """Carries attempts and probes to upstreams, and their outcomes back."""

    def __init__(
        self,
        context: SimulationContext,
        store: SharedStore,
        on_overload: Callable[[SimulatedUpstream], None],
    ) -> None:
        """Connect nodes and upstreams.

        Args:
            context: The state of the simulation.
            store: The store that upstreams access to establish a session.
            on_overload: Called with an upstream that is overloaded in its slow start.

        """
        self._context = context
        self._clock = context.clock
        self._store = store
        self._on_overload = on_overload
        self._connect_timeout_us = us(context.scenario.network.connect_timeout_ms / 1e3)

    # Attempts.

    def send_attempt(self, record: SessionRecord, attempt: Attempt) -> None:
        """Send an attempt to its upstream, and schedule its timeout."""
        context, node = self._context, attempt.node
        now, upstream = self._clock.now, context.upstreams[attempt.upstream]
        context.figures.counts[SessionEvent.ATTEMPTED] += 1
        context.trace.record("try", attempt.session, node.number, upstream.number)
        context.rules.attempt_sent(now, session=attempt.session, node=node.number, upstream=upstream.number)
        latency_us = context.topology.latency_us(node.zone, upstream.zone)
        self._schedule_end(attempt.ends_at, attempt, Outcome.TIMED_OUT)
        if not context.topology.reaches(node, upstream):
            expires_at = min(now + self._connect_timeout_us, attempt.ends_at)
            self._schedule_end(expires_at, attempt, Outcome.CONNECT_FAILED)
        elif upstream.condition is Condition.CRASHED:
            self._notify(attempt, Outcome.CONNECT_FAILED, 2 * latency_us)
        else:
            arrives_at = now + latency_us
            self._clock.schedule(arrives_at, Priority.ENVIRONMENT, self._arrive, record, attempt, latency_us)

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Cancel an attempt that is not established yet."""
        self._end_unestablished(attempt, Outcome.CANCELLED)

    def _schedule_end(self, when: int, attempt: Attempt, outcome: Outcome) -> None:
        self._clock.schedule(when, Priority.TIMER, self._end_unestablished, attempt, outcome)

    def _end_unestablished(self, attempt: Attempt, outcome: Outcome) -> None:
        """Report an outcome to the attempt's node, unless the attempt has ended or is established."""
        if attempt.is_live and not attempt.is_established:
            attempt.node.receive_outcome(attempt, outcome)

    def _notify(self, attempt: Attempt, outcome: Outcome, latency_us: int) -> None:
        """Schedule that an attempt's node receives an outcome after a latency in microseconds."""
        receive = attempt.node.receive_outcome
        self._clock.schedule(self._clock.now + latency_us, Priority.NOTIFICATION, receive, attempt, outcome)

    def _arrive(self, record: SessionRecord, attempt: Attempt, latency_us: int) -> None:
        """Handle an attempt that has reached its upstream."""
        upstream = self._context.upstreams[attempt.upstream]
        if upstream.condition is Condition.CRASHED:
            self._notify(attempt, Outcome.RESET, latency_us)
        elif upstream.condition is Condition.HEALTHY:
            if self._rejoins_forwarded(record, attempt, upstream):
                self._establish(record, attempt, upstream, latency_us)
            else:
                self._begin_setup(record, attempt, upstream, latency_us)

    def _rejoins_forwarded(
        self, record: SessionRecord, attempt: Attempt, upstream: SimulatedUpstream
    ) -> bool:
        """Return whether a forwarded session's attempt reached the upstream that holds its earlier session.

        The earlier session, if there is one, is removed from its upstream in either case.
        """
        forwarded = self._context.sessions.forwarded.pop(attempt.session, None)
        if forwarded is None:
            return False
        is_same = forwarded.upstream == upstream.number and forwarded.session in upstream.sessions
        event = (
            SessionEvent.FORWARDED_TO_SAME_UPSTREAM if is_same else SessionEvent.FORWARDED_TO_OTHER_UPSTREAM
        )
        self._context.figures.counts[event] += 1
        self._context.sessions.release(forwarded.upstream, forwarded.session, record.client)
        return is_same

    def _begin_setup(
        self, record: SessionRecord, attempt: Attempt, upstream: SimulatedUpstream, latency_us: int
    ) -> None:
        now, client = self._clock.now, record.client
        self._context.slow_start.observe(SessionArrived(now, upstream, client.load))
        if upstream.is_overloaded_by(now, client.load):
            self._context.rules.upstream_overloaded(now, upstream.number)
            self._on_overload(upstream)
            return
        done_at = upstream.schedule_setup(now, client.work_us)
        if done_at is None:
            self._notify(attempt, Outcome.REJECTED, latency_us)
            return
        stored_at = done_at + self._store.delay_us
        self._clock.schedule(
            stored_at,
            Priority.ENVIRONMENT,
            self._end_setup,
            record,
            attempt,
            upstream.incarnation,
            latency_us,
        )

    def _end_setup(self, record: SessionRecord, attempt: Attempt, incarnation: int, latency_us: int) -> None:
        upstream = self._context.upstreams[attempt.upstream]
        if upstream.incarnation != incarnation or upstream.condition is not Condition.HEALTHY:
            # The upstream's process has ended: the connection is reset, unless the upstream is silent.
            if upstream.condition is not Condition.SILENT:
                self._notify(attempt, Outcome.RESET, latency_us)
        elif attempt.is_live:  # otherwise the node no longer waits for it
            self._establish(record, attempt, upstream, latency_us)

    def _establish(
        self, record: SessionRecord, attempt: Attempt, upstream: SimulatedUpstream, latency_us: int
    ) -> None:
        """Add the session to the upstream, and schedule its confirmation to the node."""
        self._context.sessions.hold(upstream, attempt.session, record.client)
        attempt.is_held = True
        arrives_at = self._clock.now + latency_us
        self._clock.schedule(arrives_at, Priority.NOTIFICATION, self._confirm, record, attempt)

    def _confirm(self, record: SessionRecord, attempt: Attempt) -> None:
        """Confirm a session to its node; if the node no longer waits for it, remove it from the upstream."""
        is_held = attempt.session in self._context.upstreams[attempt.upstream].sessions
        if attempt.is_live and attempt.node.is_alive and is_held:
            attempt.node.receive_outcome(attempt, Outcome.ESTABLISHED)
        else:
            self._context.sessions.release(attempt.upstream, attempt.session, record.client)

    # Probes.

    def send_probe(self, node: SimulatedNode, upstream: int) -> None:
        """Send a probe to the upstream with this number, and schedule the delivery of its result."""
        target, now = self._context.upstreams[upstream], self._clock.now
        self._context.figures.counts[SessionEvent.PROBED] += 1
        answered_at = now + 2 * self._context.topology.latency_us(node.zone, target.zone)
        result = ProbeResult(False)
        if not self._context.topology.reaches(node, target):
            answered_at = now + self._connect_timeout_us
        elif target.condition is not Condition.CRASHED:
            result = ProbeResult(True, target.utilization(now), float(len(target.sessions)))
        receive = node.receive_probe_result
        self._clock.schedule(answered_at, Priority.NOTIFICATION, receive, upstream, result)
