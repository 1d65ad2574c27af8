"""Simulates the clients: their arrivals, sessions, retries and reconnects."""

from __future__ import annotations

from typing import TYPE_CHECKING

from larchlatch.emulator.clock import Priority
from larchlatch.emulator.context import START_US
from larchlatch.emulator.session_record import SessionRecord
from larchlatch.emulator.session_rules import ANSWER_GRACE_US
from larchlatch.emulator.session_table import EstablishedSession
from larchlatch.invariants.session_figures import SessionEvent
from larchlatch.policy.types import Session
from larchlatch.scenario.amounts import SECOND, us
from larchlatch.scenario.clients import MAX_RECONNECT_US, MIN_RECONNECT_US, entry_node_index

if TYPE_CHECKING:
    from collections.abc import Iterator

    from larchlatch.emulator.context import SimulationContext
    from larchlatch.emulator.node import SimulatedNode
    from larchlatch.emulator.session_record import Attempt
    from larchlatch.emulator.session_table import ForwardedSession
    from larchlatch.scenario.clients import Client

FORWARDED_RETRY_US = SECOND  # pause after a forwarded session has found no running node


class ClientPopulation:
    """The clients of a simulation.

    Attributes:
        is_entry: Whether clients connect to a node, by the node's number.

    """

    def __init__(self, context: SimulationContext) -> None:
        self.is_entry = [True] * context.scenario.nodes.count
        self._context = context
        self._sessions = context.sessions
        self._demand = context.scenario.sessions

    @property
    def _now(self) -> int:
        return self._context.clock.now

    # Arrival.

    def schedule_arrivals(self, clients: Iterator[Client]) -> None:
        """Schedule the arrival of the next of these clients; each arrival schedules the next one."""
        client = next(clients, None)
        if client is not None:
            clock = self._context.clock
            clock.schedule(START_US + client.due, Priority.ENVIRONMENT, self._arrive, client, clients)

    def _arrive(self, client: Client, clients: Iterator[Client]) -> None:
        self.schedule_arrivals(clients)
        client.due = self._now
        client.ends_at = client.due + client.life_us
        figures = self._context.figures
        figures.counts[SessionEvent.CLIENT_ARRIVED] += 1
        figures.wanted_us += min(client.ends_at, self._context.end) - client.due
        self.connect(client)

    def connect(self, client: Client, forwarded: ForwardedSession | None = None) -> None:
        """Request a session for a client.

        Args:
            client: The client.
            forwarded: The earlier session of this client, whose node died. Set if the upstream still holds
                it and the client's packets now arrive through another node.

        """
        if client.done or self._now >= min(client.ends_at, self._context.end):
            self._leave(client, forwarded)
            return
        client.sessions += 1
        if client.rejections == 0 and forwarded is None and client.sessions > 1:
            client.due = self._now  # the setup time of this session is measured from now
        node = self._entry_node(client)
        if node is not None and node.is_alive:
            self._request_session(client, node, forwarded)
        elif forwarded is not None:
            retry_at = self._now + FORWARDED_RETRY_US
            self._context.clock.schedule(retry_at, Priority.ENVIRONMENT, self.connect, client, forwarded)
        else:
            self._retry(client, 0)

    def _leave(self, client: Client, forwarded: ForwardedSession | None) -> None:
        client.done = True
        if forwarded is not None:
            self._sessions.release(forwarded.upstream, forwarded.session, client)

    def _entry_node(self, client: Client) -> SimulatedNode | None:
        """Return the node that a client connects to: one in its zone, or any node if its zone has none."""
        entry_nodes = [node for node in self._context.nodes if self.is_entry[node.number]]
        nodes = [node for node in entry_nodes if node.zone == client.zone] or entry_nodes
        if not nodes:
            return None
        draw = self._context.streams.draw("front", client.number, client.sessions)
        return nodes[entry_node_index(draw, len(nodes), self._demand.imbalance)]

    def _request_session(
        self, client: Client, node: SimulatedNode, forwarded: ForwardedSession | None
    ) -> None:
        context, number = self._context, self._context.next_id()
        deadline = self._now + us(self._demand.wait_ms / 1e3)
        session = Session(
            number=number,
            traffic_class=client.traffic_class,
            key=client.key,
            group=client.group,
            deadline=deadline,
            mid_flow=forwarded is not None,
            load=client.load,
        )
        traffic_class = context.traffic_classes[client.traffic_class]
        context.figures.counts[SessionEvent.REQUESTED] += 1
        context.trace.record("came", number, client.number, node.number)
        context.rules.session_requested(
            number,
            deadline=deadline,
            idempotency=traffic_class.idempotency,
            dedup_window_us=traffic_class.dedup_window_us,
        )
        check_at = deadline + ANSWER_GRACE_US + 1
        context.clock.schedule(check_at, Priority.CHECK, context.rules.answer_due, check_at, number)
        if forwarded is not None:
            self._sessions.forwarded[number] = forwarded
        record = SessionRecord(session, client)
        node.receive_session(record)
        if node.inbox.is_paused:
            self.schedule_departure(record, node)

    # Clients of a paused node.

    def schedule_departure(self, record: SessionRecord, node: SimulatedNode) -> None:
        """Schedule that a client gives up at its deadline if its node is still paused then."""
        deadline = record.session.deadline
        self._context.clock.schedule(deadline, Priority.ENVIRONMENT, self._leave_unanswered, record, node)

    def _leave_unanswered(self, record: SessionRecord, node: SimulatedNode) -> None:
        number = record.session.number
        is_unresponsive = node.inbox.is_paused and node.is_alive
        if not is_unresponsive or record.client_left or number in self._sessions.established:
            return
        record.client_left = True
        self._context.trace.record("left alone", number)
        self._context.figures.counts[SessionEvent.UNANSWERED] += 1
        self._context.rules.session_over(number)
        self._sessions.release_forwarded(number, record.client)
        node.client_left(number)
        self._retry(record.client, 0)

    # Retries and reconnects.

    def _retry(self, client: Client, retry_after_us: int) -> None:
        """Schedule the retry of a rejected client: after the advised pause, or a random one if that is 0."""
        client.rejections += 1
        if client.rejections > self._demand.max_retries:
            self._context.figures.counts[SessionEvent.ABANDONED] += 1
            client.done = True
            return
        mean_us = us(self._demand.retry_pause_ms / 1e3)
        draw = self._context.streams.draw("back", client.number, client.sessions)
        pause_us = retry_after_us or round(mean_us * 2 * draw)
        retry_at = self._now + max(1, pause_us)
        self._context.clock.schedule(retry_at, Priority.ENVIRONMENT, self.connect, client)

    def reconnect(self, client: Client) -> None:
        """Schedule that a client whose session has ended requests a new one after a random pause."""
        client.rejections = 0
        draw = self._context.streams.draw("return", client.number, client.sessions)
        pause_us = MIN_RECONNECT_US + round((MAX_RECONNECT_US - MIN_RECONNECT_US) * draw)
        self._context.clock.schedule(self._now + pause_us, Priority.ENVIRONMENT, self.connect, client)

    # Answers that nodes send to their clients.

    def on_shed(self, record: SessionRecord, retry_after_us: int) -> None:
        """Handle the answer that nothing was executed.

        Args:
            record: The session.
            retry_after_us: The advised pause before a retry, in microseconds; 0 for no advice.

        """
        self._context.figures.counts[SessionEvent.SHED] += 1
        self._context.trace.record("shed", record.session.number, retry_after_us)
        self._handle_rejection(record, retry_after_us, shed=True)

    def on_failed(self, record: SessionRecord) -> None:
        """Handle the answer that a session failed and that an attempt may have been executed."""
        self._context.figures.counts[SessionEvent.FAILED] += 1
        self._context.trace.record("given up", record.session.number, 0)
        self._handle_rejection(record, 0, shed=False)

    def _handle_rejection(self, record: SessionRecord, retry_after_us: int, *, shed: bool) -> None:
        number = record.session.number
        self._context.rules.answered(self._now, number, shed=shed)
        self._sessions.release_forwarded(number, record.client)
        self._retry(record.client, retry_after_us)

    def on_established(self, record: SessionRecord, attempt: Attempt) -> None:
        """Handle that a session is established, and schedule its end."""
        session, client, node = record.session, record.client, attempt.node
        self._context.trace.record("stands", session.number, attempt.upstream)
        self._context.rules.answered(self._now, session.number, shed=False)
        self._context.figures.record_established(self._now - client.due)
        client.rejections = 0
        self._sessions.established[session.number] = EstablishedSession(record, node)
        node.policy.record_load(self._now, session, client.load)
        end = max(self._now, client.ends_at)
        self._context.clock.schedule(end, Priority.ENVIRONMENT, self._finish, session.number)

    def _finish(self, number: int) -> None:
        """End the session of a client whose lifetime is over."""
        established = self._sessions.established.pop(number, None)
        if established is None:
            return
        record, node = established
        self._context.trace.record("finished", number)
        self._context.rules.session_over(number)
        if record.attempt is not None:
            self._sessions.release(record.attempt.upstream, number, record.client)
        record.client.done = True
        node.client_left(number)

    def on_dropped(self, record: SessionRecord) -> None:
        """Handle that an upstream has ended an established session."""
        self.end_session(record, SessionEvent.DROPPED)
        self.reconnect(record.client)

    def on_migrated(self, record: SessionRecord) -> None:
        """Handle a node's request to reconnect, by which it migrates an established session."""
        self.end_session(record, SessionEvent.MIGRATED)
        self.reconnect(record.client)

    def end_session(self, record: SessionRecord, reason: SessionEvent) -> None:
        """Remove an established session from its upstream, and count the reason for its end."""
        number = record.session.number
        self._context.trace.record(reason.value, number)
        self._context.figures.counts[reason] += 1
        del self._sessions.established[number]
        self._context.rules.session_over(number)
        if record.attempt is not None:
            self._sessions.release(record.attempt.upstream, number, record.client)
