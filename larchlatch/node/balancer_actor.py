"""The balancer actor: the one task that calls the Balancer, and carries out what it decides.

Other tasks put messages into its mailbox. Each message is handled to its end before the next one, so the
Balancer needs no locks; nothing here waits for an upstream or a client.
"""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING, Any, NamedTuple

import anyio
import structlog

from larchlatch.node import messages
from larchlatch.node.clock import now_us, seconds_until
from larchlatch.node.ports import TokenRequest
from larchlatch.node.session_record import Failed, SessionRecord, Shed
from larchlatch.node.status import upstream_rows
from larchlatch.node.upstream_actor import StartAttempt, StartProbe
from larchlatch.node.upstream_registry import UpstreamRegistry, slow_start_left_us
from larchlatch.policy import types
from larchlatch.policy.state_export import export_state, restore_state
from larchlatch.policy.status import upstream_statuses
from larchlatch.policy.types import Answer, DueActions, Outcome, ProbeResult, Token

if TYPE_CHECKING:
    from collections.abc import Sequence

    from larchlatch.config.endpoints import EndpointList
    from larchlatch.node.discovery import DiscoveryClient
    from larchlatch.node.mailbox import Mailbox
    from larchlatch.node.metrics import Counters
    from larchlatch.node.ports import ClusterPort
    from larchlatch.policy.balancer import Balancer

# Held sessions are looked at together once in this: hundreds would each wake the event loop by themselves.
TICK_US = 4_000
RETRY_AFTER_FAULT_US = 100_000  # pause before the Balancer is asked again after it has raised
UNKNOWN_UPSTREAM = -1  # for the Balancer: an upstream that the endpoint list never named
QUOTAS_KEY = "budgets"  # in the state that one process hands to the next; never to be renamed

# Counters.
ATTEMPTS_SENT = "attempts_sent"
DECISIONS_FAILED = "decisions_failed"
MIGRATIONS_DUE = "migrations_due"
RESTORED_STATE_UNREADABLE = "restored_state_unreadable"
SUPERSEDED_ATTEMPTS_CANCELLED = "superseded_attempts_cancelled"

log = structlog.get_logger()


class HeldSession(NamedTuple):
    """A session that waits for a place, and when the Balancer is to be asked again."""

    retry_at: int
    session: int


class BalancerActor:
    """Translates messages into calls of the Balancer, and its decisions into orders.

    Attributes:
        balancer: the deciding part; nothing else calls it.
        mailbox: where other tasks put messages.
        upstreams: the upstreams known here, with their actors.
        records: the sessions in flight or established at this node, by number.
        shed_waiting_over_us: a request that lay unread for longer, and has less time left, is shed unread; 0
            while none has to be.

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
        cluster: ClusterPort | None = None,
    ) -> None:
        self.balancer = balancer
        self.mailbox = mailbox
        self.upstreams = upstreams
        self.records: dict[int, SessionRecord] = {}
        self.shed_waiting_over_us = 0
        self._traffic_classes = traffic_classes
        self._counters = counters
        self._discovery = discovery
        self._cluster = cluster
        self._holds: list[HeldSession] = []  # a heap

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
        """Handle one message; a fault in the Balancer is raised."""
        if isinstance(message, messages.SessionMessage):
            self._handle_session_message(now, message)
        else:
            self._handle_environment_message(now, message)

    def upstream_rows(self) -> list[dict[str, Any]]:
        """Return one row an upstream, for operators."""
        return upstream_rows(upstream_statuses(self.balancer, now_us()), self.upstreams.actors)

    # Messages of sessions.

    def _handle_safely(self, message: messages.Message) -> None:
        try:
            self.handle(now_us(), message)
        except Exception:
            # A node that ended by a fault in the decisions would take all its sessions along. The fault is
            # logged, and the session that it struck still gets its answer.
            log.exception("decision_failed", message=type(message).__name__)
            self._counters.add(DECISIONS_FAILED)
            if isinstance(message, messages.SessionArrived | messages.HoldExpired | messages.AttemptFinished):
                self.records.pop(message.record.session.number, None)
                message.record.set_final_answer(Failed())

    def _handle_session_message(self, now: int, message: messages.SessionMessage) -> None:
        match message:
            case messages.SessionArrived(record):
                self._place_arrival(now, record)
            case messages.HoldExpired(record):
                self._carry_out(record, self.balancer.place(now, record.session))
            case messages.AttemptFinished(record, outcome, done):
                # A client that has left wants no further attempt either.
                self._finish_attempt(now, record, outcome, done=done or record.client_gone)
            case messages.SessionAdopted(record, upstream):
                self.records[record.session.number] = record
                self.balancer.add_established(record.session, upstream)
            case messages.ClientLeft(record):
                self._forget_session(record)
            case messages.LoadReported(record, load):
                self._record_load(now, record, load)
            case messages.DelayObserved(record, delay_us):
                self._record_delay(now, record, delay_us)

    def _place_arrival(self, now: int, record: SessionRecord) -> None:
        if record.check_finished() or self._shed_by_quota(record):
            return
        self.records[record.session.number] = record
        self._carry_out(record, self.balancer.place(now, record.session))

    def _shed_by_quota(self, record: SessionRecord) -> bool:
        """Shed a new session that exceeds what all nodes together may take; return whether it was."""
        # A session in mid-flow is not new: it was charged where it was first requested.
        if self._cluster is None or record.session.mid_flow:
            return False
        retry_after_us = self._cluster.admit(self._traffic_classes[record.session.traffic_class])
        if not retry_after_us:
            return False
        record.set_final_answer(Shed(min(retry_after_us, self.balancer.settings.max_retry_after_us)))
        return True

    def _finish_attempt(self, now: int, record: SessionRecord, outcome: Outcome, *, done: bool) -> None:
        if record.session.number not in self.records:
            return
        if outcome in types.REACHED:
            self._observe_reachability(record.session.upstream, reached=types.REACHED[outcome])
        answer = self.balancer.outcome(now, record.session, outcome, answered=done)
        if outcome is Outcome.ESTABLISHED:
            return
        if done:
            del self.records[record.session.number]
        else:
            self._carry_out(record, answer)

    def _forget_session(self, record: SessionRecord) -> None:
        if self.records.pop(record.session.number, None) is not None:
            self.balancer.remove_session(record.session)

    def _record_load(self, now: int, record: SessionRecord, load: float) -> None:
        if record.session.number in self.records:
            self.balancer.record_load(now, record.session, load)

    def _record_delay(self, now: int, record: SessionRecord, delay_us: int) -> None:
        if record.session.number in self.records:
            self.balancer.record_delay(now, record.session, delay_us)

    # Messages of upstreams, discovery and the cluster.

    def _handle_environment_message(self, now: int, message: messages.EnvironmentMessage) -> None:
        match message:
            case messages.UpstreamUnresponsive(upstream):
                self.balancer.record_unresponsive(now, upstream)
                self._observe_reachability(upstream, reached=None)
            case messages.ProbeFinished(upstream, answered, utilization, session_count):
                self._observe_reachability(upstream, reached=answered)
                self.balancer.record_probe(now, upstream, ProbeResult(answered, utilization, session_count))
            case messages.EndpointsChanged(endpoints, from_discovery):
                self._update_endpoints(now, endpoints, from_discovery=from_discovery)
            case messages.DiscoveryFailed():
                self.balancer.discovery_failed(now)
            case messages.EjectionAdvised():
                self._follow_ejection_advice(now, message)
            case messages.SlowStartTokens(issuer_until, name, session, expires_at):
                number = self.upstreams.number_of(name)
                upstream = UNKNOWN_UPSTREAM if number is None else number
                self.balancer.record_token(now, issuer_until, Token(upstream, session, expires_at))

    def _observe_reachability(self, upstream: int, *, reached: bool | None) -> None:
        if self._cluster is not None and upstream in self.upstreams.actors:
            name = self.upstreams.actors[upstream].name
            self._cluster.observe_reachability(name, reached=reached)

    def _follow_ejection_advice(self, now: int, advice: messages.EjectionAdvised) -> None:
        known = [actor for name in advice.probe if (actor := self.upstreams.actor_named(name)) is not None]
        for actor in known:
            actor.offer(StartProbe())
        # Each other node's failed probe counts as one of this node's; its own probe goes on.
        for name, witness_count in advice.unreachable:
            number = self.upstreams.number_of(name)
            if number is None:
                continue
            for _ in range(witness_count):
                self.balancer.record_probe(now, number, ProbeResult(False))

    def _update_endpoints(self, now: int, endpoints: EndpointList, *, from_discovery: bool) -> None:
        changed = self.upstreams.update(endpoints)
        self.balancer.update_endpoints(now, changed, whole=endpoints.complete, asked=from_discovery)
        if self._cluster is not None:
            settings = self.balancer.settings
            ready = self.upstreams.ready_entries()
            self._cluster.update_endpoints(
                [entry.name for entry in ready],
                slow_start_us=slow_start_left_us(ready, settings.slow_start_us, now),
                overload_window_us=settings.overload_window_us,
            )

    # Decisions.

    def _carry_out(self, record: SessionRecord, answer: Answer) -> None:
        # An upstream's actor is never waited for: if its mailbox is full nothing was sent, which is an
        # outcome like others.
        while isinstance(answer, types.Forward) and not self._offer_attempt(record, answer):
            answer = self.balancer.outcome(now_us(), record.session, Outcome.NOT_SENT)
        match answer:
            case types.Forward():
                self._counters.add(ATTEMPTS_SENT)
            case types.Hold():
                self._hold(record, answer)
            case types.Shed(retry_after_us):
                self._finish(record, Shed(retry_after_us))
            case types.Fail():
                self._finish(record, Failed())

    def _offer_attempt(self, record: SessionRecord, answer: types.Forward) -> bool:
        return self.upstreams.actors[answer.upstream].offer(StartAttempt(record, answer.give_up_at))

    def _hold(self, record: SessionRecord, answer: types.Hold) -> None:
        number = record.session.number
        heapq.heappush(self._holds, HeldSession(answer.until, number))
        if answer.token_candidates and self._cluster is not None:
            actors = self.upstreams.actors
            requests = [
                TokenRequest(actors[candidate.upstream].name, candidate)
                for candidate in answer.token_candidates
            ]
            self._cluster.request_token(number, requests)

    def _finish(self, record: SessionRecord, answer: Shed | Failed) -> None:
        del self.records[record.session.number]
        record.set_final_answer(answer)

    # Timers.

    def _run_timers(self) -> int:
        """Carry out what has fallen due; return when to look again."""
        now = now_us()
        self._expire_holds(now)
        try:
            due = self.balancer.wait(now)
            self._carry_out_due(now, due)
            wake_at = now + due.wait_us
        except Exception:
            # As for messages: a fault in the decisions must not end the node.
            log.exception("decision_failed", message="wait")
            self._counters.add(DECISIONS_FAILED)
            wake_at = now + RETRY_AFTER_FAULT_US
        if self._holds:
            wake_at = min(wake_at, self._holds[0].retry_at)
        return max(wake_at, now + TICK_US)

    def _expire_holds(self, now: int) -> None:
        while self._holds and self._holds[0].retry_at <= now:
            record = self.records.get(heapq.heappop(self._holds).session)
            if record is not None:
                self._handle_safely(messages.HoldExpired(record))

    def _carry_out_due(self, now: int, due: DueActions) -> None:
        self.shed_waiting_over_us = due.setup_us
        for upstream in due.probes:
            if not self.upstreams.actors[upstream].offer(StartProbe()):
                self.balancer.record_probe(now, upstream, ProbeResult(False))
        for number in due.migrations:
            self._migrate(number)
        for number in due.superseded:
            self._cancel_superseded_attempt(number)
        if due.poll_list and self._discovery is not None:
            self._discovery.start()

    def _migrate(self, number: int) -> None:
        self._counters.add(MIGRATIONS_DUE)
        record = self.records.get(number)
        if record is not None:
            log.debug("migration_requested", key=record.opening.key)
            record.migration_requested.set()

    def _cancel_superseded_attempt(self, number: int) -> None:
        record = self.records.get(number)
        if record is not None and record.attempt_scope is not None:
            self._counters.add(SUPERSEDED_ATTEMPTS_CANCELLED)
            record.attempt_scope.cancel()

    # Hot restart.

    def endpoint_list(self) -> EndpointList:
        """Return the endpoint list as it is known here, for the process that follows this one."""
        revision = self._discovery.revision if self._discovery is not None else 0
        return self.upstreams.endpoint_list(revision)

    def hand_over(self) -> dict[str, Any]:
        """Place no new sessions, as another process of this node does; return the state it goes on with."""
        self.balancer.release_slow_start_budget(released=True)
        if self._cluster is None:
            return export_state(self.balancer)
        return {**export_state(self.balancer), QUOTAS_KEY: self._cluster.hand_over()}

    def resume(self) -> None:
        """Place new sessions again, as the process that followed this one has gone."""
        self.balancer.release_slow_start_budget(released=False)
        if self._cluster is not None:
            self._cluster.resume()

    def restore(self, state: dict[str, Any], clock_shift_us: int) -> None:
        """Go on with the state of the process before this one; what can't be read costs knowledge alone.

        Args:
            state: what its `hand_over` returned.
            clock_shift_us: this process's clock less the other's, in microseconds.

        """
        try:
            restore_state(self.balancer, state, clock_shift_us)
        except (AttributeError, KeyError, TypeError, ValueError, OverflowError) as error:
            self._counters.add(RESTORED_STATE_UNREADABLE)
            log.warning("restored_state_unreadable", error=repr(error))
        used = state.get(QUOTAS_KEY)
        if self._cluster is not None and isinstance(used, dict):
            self._cluster.take_over({name: int(number) for name, number in used.items()})
