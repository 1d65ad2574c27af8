"""One simulated node: translates typed messages to calls of its balancer, and the answers to actions."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping, Sequence
from itertools import count
from typing import TYPE_CHECKING, Any

from larchlatch.config.deployment import (
    read_deployment_settings,
    traffic_class_numbers,
    zone_number,
    zone_numbers,
)
from larchlatch.errors import ProtocolError
from larchlatch.policy.balancer import Balancer
from larchlatch.policy.driver import Driver
from larchlatch.policy.types import UNKNOWN_PLACE, Endpoint, Outcome, Session
from larchlatch.simulator_adapter import protocol
from larchlatch.simulator_adapter.messages import (
    AttemptEnded,
    ClientGone,
    DelayMeasured,
    DiscoveryFailed,
    EndpointListKind,
    EndpointListReceived,
    EndpointRow,
    Ignored,
    LoadMeasured,
    Message,
    NodeStarted,
    ProbeEnded,
    SessionDescription,
    SessionEstablished,
    SessionInherited,
    SessionRequested,
)

if TYPE_CHECKING:
    from larchlatch.simulator_adapter.protocol import Action

SETTINGS_PLACE = "POWER_ON: conf"  # the place of the settings, for error messages

EndpointLists = Mapping[int, Sequence[EndpointRow]]
Handler = Callable[[int, Any], None]


class NodeInstance(Driver):
    """One simulated node: its balancer, its sessions, and the actions that it takes.

    The simulator identifies sessions by handles and upstreams by names, the balancer both by numbers; this
    class translates between them. Nodes share only the endpoint lists, which they do not change.

    Attributes:
        balancer: The balancer that decides for this node.
        actions: The actions of the current batch, in order.

    Raises:
        InvalidInputError: The settings are not valid.
    """

    def __init__(self, start: NodeStarted, endpoint_lists: EndpointLists) -> None:
        self.balancer = Balancer(
            read_deployment_settings(start.settings, SETTINGS_PLACE), random.Random(start.seed)
        )
        super().__init__(self.balancer)
        self.actions: list[Action] = []
        self._traffic_classes = traffic_class_numbers(start.settings, SETTINGS_PLACE)
        self._zones = zone_numbers(start.settings)
        self._endpoint_lists = endpoint_lists
        self._upstream_names: dict[int, str] = {}
        self._new_upstream_numbers = count()
        self._upstream_numbers: dict[str, int] = {}
        self._sessions: dict[str, Session] = {}
        self._handles: dict[int, str] = {}
        self._session_count = 0
        self._wake_at = 0
        self._handlers: dict[type[Message], Handler] = {
            EndpointListReceived: self._endpoint_list_received,
            DiscoveryFailed: self._discovery_failed,
            SessionRequested: self._session_requested,
            SessionInherited: self._session_inherited,
            ClientGone: self._client_gone,
            SessionEstablished: self._session_established,
            AttemptEnded: self._attempt_ended,
            LoadMeasured: self._load_measured,
            DelayMeasured: self._delay_measured,
            ProbeEnded: self._probe_ended,
            Ignored: self._ignored,
        }

    def handle(self, now: int, message: Message) -> None:
        """Report a message to the balancer and execute the balancer's answer.

        Raises:
            ProtocolError: The message refers to an endpoint list, a traffic class or a state that is unknown.
        """
        self._handlers[type(message)](now, message)

    def due(self, now: int) -> int:
        """Execute the actions that are due after the messages of a batch, and ask to be woken for later ones.

        There is no new request if an earlier one wakes the node in time.
        """
        wake = super().due(now)
        self._forget_upstreams(now)
        if wake < self._wake_at or self._wake_at <= now:
            self._wake_at = max(wake, now + 1)
            self.actions.append(protocol.wake_action(self._wake_at - now))
        return wake

    def take_actions(self) -> list[Action]:
        """Return the actions of the current batch, and start an empty list for the next one."""
        actions, self.actions = self.actions, []
        return actions

    # Answers of the balancer, which the base class executes by calling these methods.

    def session(self, number: int) -> Session | None:
        """Return the session with this number; None if it has ended."""
        handle = self._handles.get(number)
        return None if handle is None else self._sessions[handle]

    def send(self, now: int, session: Session, upstream: int, until: int) -> None:
        """Send an attempt to an upstream; it times out at `until`, in microseconds."""
        handle = self._handles[session.number]
        self.actions.append(protocol.attempt_action(handle, self._upstream_names[upstream], until))

    def shed(self, now: int, session: Session, retry_after_us: int) -> None:
        """Answer the client that nothing has run, with an advised wait before it retries; 0 for no advice."""
        handle = self._handles[session.number]
        self.actions.append(protocol.shed_action(handle, retry_after_us))
        self._forget_session(handle)

    def fail(self, now: int, session: Session) -> None:
        """Answer the client that the session failed and that an attempt may have run."""
        handle = self._handles[session.number]
        self.actions.append(protocol.fail_action(handle))
        self._forget_session(handle)

    def probe(self, now: int, upstream: int) -> None:
        """Probe an upstream."""
        self.actions.append(protocol.probe_action(self._upstream_names[upstream]))

    def migrate(self, now: int, session: int) -> None:
        """Migrate an established session."""
        self.actions.append(protocol.migrate_action(self._handles[session]))

    def cancel_attempt(self, now: int, session: int) -> None:
        """Cancel a session's attempt."""
        handle = self._handles[session]
        attempt = self._sessions[handle].attempt_count - 1
        self.actions.append(protocol.cancel_action(handle, attempt))

    def poll_endpoints(self, now: int) -> None:
        """Poll the endpoint list."""
        self.actions.append(protocol.poll_endpoints_action())

    # Handlers of the simulator's messages, one for each type.

    def _endpoint_list_received(self, now: int, message: EndpointListReceived) -> None:
        rows = None if message.slot is None else self._endpoint_lists.get(message.slot)
        if rows is None:
            raise ProtocolError("TOPOLOGY", f"slot {message.slot} has not been defined by an INVENTORY")
        self.balancer.update_endpoints(
            now,
            [self._endpoint(row) for row in rows],
            whole=message.kind is not EndpointListKind.CHANGES,
            from_discovery=message.kind is not EndpointListKind.STORED,
        )

    def _discovery_failed(self, now: int, message: DiscoveryFailed) -> None:
        self.balancer.discovery_failed(now)

    def _session_requested(self, now: int, message: SessionRequested) -> None:
        session = self._add_session(message.session)
        self.carry_out(now, session, self.balancer.place(now, session))

    def _session_inherited(self, now: int, message: SessionInherited) -> None:
        session = self._add_session(message.session)
        self.balancer.add_established(session, self._upstream_number(message.upstream))

    def _client_gone(self, now: int, message: ClientGone) -> None:
        session = self._sessions.get(message.handle)
        if session is not None:
            self.balancer.remove_session(session)
            self._forget_session(message.handle)

    def _session_established(self, now: int, message: SessionEstablished) -> None:
        session = self._sessions.get(message.handle)
        if session is not None:
            self.balancer.outcome(now, session, Outcome.ESTABLISHED)

    def _attempt_ended(self, now: int, message: AttemptEnded) -> None:
        session = self._sessions.get(message.handle)
        if session is None:
            return
        answer = self.balancer.outcome(now, session, message.outcome, answered=message.answered)
        if message.answered:
            self._forget_session(message.handle)
        else:
            self.carry_out(now, session, answer)

    def _load_measured(self, now: int, message: LoadMeasured) -> None:
        session = self._sessions.get(message.handle)
        if session is not None:
            self.balancer.record_load(now, session, message.load)

    def _delay_measured(self, now: int, message: DelayMeasured) -> None:
        session = self._sessions.get(message.handle)
        if session is not None:
            self.balancer.record_delay(now, session, message.delay_us)

    def _probe_ended(self, now: int, message: ProbeEnded) -> None:
        number = self._upstream_numbers.get(message.upstream)
        if number is not None:
            self.balancer.record_probe(now, number, message.result)

    def _ignored(self, now: int, message: Ignored) -> None:
        pass

    # Translation of handles and names to the sessions, numbers and endpoints of the balancer.

    def _add_session(self, description: SessionDescription) -> Session:
        name = description.traffic_class
        if name not in self._traffic_classes:
            raise ProtocolError(
                "ASK or EXISTING",
                f"grade: unknown traffic class {name!r}, expected one of {', '.join(self._traffic_classes)}",
            )
        session = Session(
            self._session_count,
            self._traffic_classes[name],
            description.key,
            description.group,
            description.deadline,
            mid_flow=description.mid_flow,
            load=description.load,
        )
        self._session_count += 1
        self._sessions[description.handle] = session
        self._handles[session.number] = description.handle
        return session

    def _forget_session(self, handle: str) -> None:
        session = self._sessions.pop(handle, None)
        if session is not None:
            self._handles.pop(session.number, None)

    def _upstream_number(self, name: str) -> int:
        number = self._upstream_numbers.get(name)
        if number is None:
            number = self._upstream_numbers[name] = next(self._new_upstream_numbers)
            self._upstream_names[number] = name
        return number

    def _forget_upstreams(self, now: int) -> None:
        """Forget the upstreams that the balancer no longer needs."""
        for number in self.balancer.release_gone(now, self._sessions.values()).forgotten:
            del self._upstream_numbers[self._upstream_names.pop(number)]

    def _endpoint(self, row: EndpointRow) -> Endpoint:
        return Endpoint(
            self._upstream_number(row.upstream),
            row.upstream,
            zone_number(self._zones, row.zone or ""),
            UNKNOWN_PLACE if row.cell is None else row.cell,
            protocol.endpoint_state(row),
            float(row.size) if row.size and row.size > 0 else 1.0,
            row.started_at or 0,
        )
