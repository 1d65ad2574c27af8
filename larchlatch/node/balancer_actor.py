"""The module's actor: the one place that calls Brain. Its mailbox is drained, its answers carried out."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING, Any

import anyio
import structlog

from larchlatch.config.endpoints import EndpointEntry, EndpointList
from larchlatch.node import messages as messages
from larchlatch.node.clock import now_us, seconds_until
from larchlatch.node.session_record import Failed, SessionRecord, Shed
from larchlatch.node.upstream_actor import Probe, StartAttempt, UpstreamActor
from larchlatch.policy import types
from larchlatch.policy.balancer import Balancer
from larchlatch.policy.state_export import export_state, restore_state
from larchlatch.policy.status import upstream_statuses
from larchlatch.policy.types import (
    Answer,
    DeploymentSettings,
    Endpoint,
    EndpointState,
    Outcome,
    ProbeResult,
    Token,
)

if TYPE_CHECKING:
    from random import Random

    from anyio.abc import TaskGroup

    from larchlatch.config.upstream import UpstreamSettings
    from larchlatch.node.descriptor_budget import DescriptorBudget
    from larchlatch.node.discovery import DiscoveryClient
    from larchlatch.node.metrics import Counters
    from larchlatch.node.ports import Fellows

TICK_US = 4_000  # held links are looked at together once in this: hundreds would each wake the loop by itself
FAILED_US = 100_000  # before the decisions are asked again how long to wait, after they failed
MAILBOX = 1024  # words: when it is full, whoever reads from sockets waits

log = structlog.get_logger()


class BalancerActor:
    def __init__(
        self,
        settings: DeploymentSettings,
        zones: list[str],
        traffic_classes: list[str],
        chance: Random,
        reach: UpstreamSettings,
        descriptors: DescriptorBudget,
        counters: Counters,
    ) -> None:
        self.balancer = Balancer(settings, chance)
        self.traffic_classes = traffic_classes
        self.fellows: Fellows | None = None  # other nodes, where this one knows of any
        self.zones = {name: place for place, name in enumerate(zones)}
        self.reach = reach
        self.descriptors = descriptors
        self.counters = counters
        self.numbers: dict[str, int] = {}  # hosts by name
        self.upstream_actors: dict[int, UpstreamActor] = {}
        self.known: dict[str, EndpointEntry] = {}  # what the list last said of each host
        self.records: dict[int, SessionRecord] = {}  # links in hand by number
        self.held: list[tuple[int, int]] = []  # when to ask again, link
        self.enough_us = 0  # the decisions' own word on links that lay unread, for the door
        self.discovery: DiscoveryClient | None = None
        self.actor_tasks: TaskGroup | None = None
        self.sender, self.messages = anyio.create_memory_object_stream[messages.Message](MAILBOX)

    async def post(self, message: messages.Message) -> None:
        # Shielded: an outcome lost on the way would leave its link without a final answer.
        with anyio.CancelScope(shield=True):
            await self.sender.send(message)

    def offer(self, message: messages.Arrived) -> bool:
        """Whether there was room in the mailbox for a link that is new."""
        try:
            self.sender.send_nowait(message)
        except anyio.WouldBlock:
            return False
        return True

    async def submit(self, message: messages.Arrived) -> None:
        """A link that is new; whoever breaks the waiting off takes it back."""
        await self.sender.send(message)

    async def run(self) -> None:
        async with anyio.create_task_group() as tasks:
            self.actor_tasks = tasks
            for upstream_actor in self.upstream_actors.values():
                tasks.start_soon(upstream_actor.run)
            wake_at = now_us()
            while True:
                with anyio.move_on_after(seconds_until(wake_at)):
                    self.hear(await self.messages.receive())
                while self.messages.statistics().current_buffer_used:
                    self.hear(self.messages.receive_nowait())
                wake_at = self.looked()

    def hear(self, message: messages.Message) -> None:
        try:
            self.heard(now_us(), message)
        except Exception:
            # A fault in the decisions is told, never hidden; the link that it struck still gets its answer.
            log.exception("the decisions failed", message=type(message).__name__)
            self.counters.add("decisions failed")
            if isinstance(message, messages.Arrived | messages.HoldExpired | messages.AttemptFinished):
                self.records.pop(message.record.session.number, None)
                message.record.settle(Failed())

    def heard(self, now: int, message: messages.Message) -> None:
        balancer = self.balancer
        match message:
            case messages.Arrived(record):
                if not record.abandoned() and not self.over_budget(record):
                    self.records[record.session.number] = record
                    self.carry_out(record, balancer.place(now, record.session))
            case messages.HoldExpired(record):
                self.carry_out(record, balancer.place(now, record.session))
            case messages.AttemptFinished(record, outcome, done):
                if record.session.number in self.records:
                    done = done or record.gone  # its client has left: no further try may go out
                    if outcome in types.REACHED:
                        self.saw(record.session.upstream, types.REACHED[outcome])
                    answer = balancer.outcome(now, record.session, outcome, answered=done)
                    if outcome is not Outcome.ESTABLISHED:
                        if done:
                            del self.records[record.session.number]
                        else:
                            self.carry_out(record, answer)
            case messages.Stood(record, upstream):
                self.records[record.session.number] = record
                balancer.add_established(record.session, upstream)
            case messages.Left(record):
                if self.records.pop(record.session.number, None) is not None:
                    balancer.remove_session(record.session)
            case messages.LoadNote(record, load):
                if record.session.number in self.records:
                    balancer.record_load(now, record.session, load)
            case messages.DelayNote(record, delay):
                if record.session.number in self.records:
                    balancer.record_delay(now, record.session, delay)
            case messages.Quiet(upstream):
                balancer.record_unresponsive(now, upstream)
                self.saw(upstream, None)
            case messages.Probed(upstream, answered, utilization, held):
                self.saw(upstream, answered)
                balancer.record_probe(now, upstream, ProbeResult(answered, utilization, held))
            case messages.ListTold(members, asked):
                self.listed(now, members, asked)
            case messages.ListFailed():
                balancer.discovery_failed(now)
            case messages.Advised(looks, failed):
                for upstream_actor in [
                    self.upstream_actors[self.numbers[name]] for name in looks if name in self.numbers
                ]:
                    upstream_actor.order(Probe())
                # Each other node's look that failed counts as one of this node's; its own goes on.
                for name, witnesses in failed:
                    for _ in range(witnesses if name in self.numbers else 0):
                        balancer.record_probe(now, self.numbers[name], ProbeResult(False))

            case messages.Paced(until, upstream, session, at):
                balancer.record_token(now, until, Token(self.numbers.get(upstream, -1), session, at))

    def over_budget(self, record: SessionRecord) -> bool:
        """Whether a new link does not fit what all nodes together may take: it is shed at once."""
        # One in mid-flow is not new: it was counted where it came first.
        if self.fellows is None or record.session.mid_flow:
            return False
        back_us = self.fellows.admit(self.traffic_classes[record.session.traffic_class])
        if back_us:
            record.settle(Shed(min(back_us, self.balancer.settings.max_retry_after_us)))
        return bool(back_us)

    def saw(self, upstream: int, good: bool | None) -> None:
        if self.fellows is not None and upstream in self.upstream_actors:
            self.fellows.saw(self.upstream_actors[upstream].name, good)

    def advise(self, looks: list[str], failed: list[tuple[str, int]]) -> None:
        """What other nodes say of hosts; dropped where there is no time for it: it is said again."""
        try:
            self.sender.send_nowait(messages.Advised(looks, failed))
        except anyio.WouldBlock:
            self.counters.add("advice dropped")

    def pace(self, until: int, upstream: str, session: int, at: int) -> bool:
        """What the pacer of a cluster says; whether there is time for it."""
        try:
            self.sender.send_nowait(messages.Paced(until, upstream, session, at))
        except anyio.WouldBlock:
            self.counters.add("advice dropped")
            return False
        return True

    def carry_out(self, record: SessionRecord, answer: Answer) -> None:
        # Never waited for: a peer that can't take it has sent nothing, which is an outcome like others.
        while isinstance(answer, types.Forward) and not self.upstream_actors[answer.upstream].order(
            StartAttempt(record, answer.give_up_at)
        ):
            answer = self.balancer.outcome(now_us(), record.session, Outcome.NOT_SENT)
        match answer:
            case types.Forward():
                self.counters.add("try sent")
            case types.Hold():
                heapq.heappush(self.held, (answer.until, record.session.number))
                if answer.token_candidates and self.fellows is not None:
                    wants = [
                        (self.upstream_actors[candidate.upstream].name, candidate)
                        for candidate in answer.token_candidates
                    ]
                    self.fellows.sought(record.session.number, wants)
            case types.Shed():
                del self.records[record.session.number]
                record.settle(Shed(answer.retry_after_us))
            case types.Fail():
                del self.records[record.session.number]
                record.settle(Failed())

    def looked(self) -> int:
        """Carry out what has fallen due; when to look again."""
        now = now_us()
        while self.held and self.held[0][0] <= now:
            _, number = heapq.heappop(self.held)
            record = self.records.get(number)
            if record is not None:
                self.hear(messages.HoldExpired(record))
        try:
            wake_at = now + self.due(now)
        except Exception:
            log.exception("the decisions failed", message="wait")
            self.counters.add("decisions failed")
            wake_at = now + FAILED_US
        if self.held:
            wake_at = min(wake_at, self.held[0][0])
        return max(wake_at, now + TICK_US)

    def due(self, now: int) -> int:
        """Ask once how long to wait, and carry out what comes with the answer."""
        due = self.balancer.wait(now)
        self.enough_us = due.setup_us
        for upstream in due.probes:
            if not self.upstream_actors[upstream].order(Probe()):
                self.balancer.record_probe(now, upstream, ProbeResult(False))
        for number in due.migrations:
            self.counters.add("move due")
            if number in self.records:
                log.debug("moved", key=self.records[number].opening.key)
                self.records[number].move.set()
        for number in due.superseded:
            record = self.records.get(number)
            if record is not None and record.attempt is not None:
                self.counters.add("try withdrawn")
                record.attempt.cancel()
        if due.poll_list and self.discovery is not None:
            self.discovery.ask()
        return due.wait_us

    def cede(self, on: bool) -> dict[str, Any]:
        """Another process of this node places what is new, or does no more; what it has to know."""
        self.balancer.release_slow_start_budget(released=on)
        if self.fellows is None:
            return export_state(self.balancer)
        if not on:
            self.fellows.resume()
            return {}
        return {**export_state(self.balancer), "budgets": self.fellows.cede()}

    def recall(self, learned: dict[str, Any], shift: int) -> None:
        """What the process before this one learned; what can't be read costs knowledge alone."""
        try:
            restore_state(self.balancer, learned, shift)
        except (AttributeError, KeyError, TypeError, ValueError, OverflowError) as error:
            self.counters.add("learned not understood")
            log.warning("what the process before this one learned is not understood", why=repr(error))
        used = learned.get("budgets")
        if self.fellows is not None and isinstance(used, dict):
            self.fellows.take_over({name: int(number) for name, number in used.items()})

    def told(self) -> list[dict[str, Any]]:
        """Host by host what the decisions believe, beside the sockets that are open."""
        rows = []
        for status in upstream_statuses(self.balancer, now_us()):
            upstream_actor = self.upstream_actors.get(status.upstream)
            rows.append(
                {
                    "host": upstream_actor.name if upstream_actor else status.upstream,
                    "state": status.state.value,
                    "left_out": status.left_out,
                    "tries": status.attempts,
                    "tries_open": upstream_actor.trying if upstream_actor else 0,
                    "links": status.established,
                    "links_open": len(upstream_actor.standing) if upstream_actor else 0,
                    "load": None if status.utilization is None else round(status.utilization, 3),
                    "load_age_ms": None if status.utilization is None else status.utilization_age_us // 1000,
                }
            )
        return rows

    def members(self) -> EndpointList:
        """The list as it is known here, hosts that are gone included: links may stand there still."""
        revision = self.discovery.revision if self.discovery is not None else 0
        return EndpointList(revision, True, list(self.known.values()))

    def number(self, name: str) -> int:
        return self.numbers.setdefault(name, len(self.numbers))

    def listed(self, now: int, told: EndpointList, asked: bool) -> None:
        # An entry that can't be read says nothing: a whole list without it would have its host gone.
        spared = [self.known[name] for name in told.unreadable if name in self.known]
        members = [*told.members, *spared]
        for member in members:
            self.known[member.name] = member
            number = self.number(member.name)
            log.debug("listed", upstream=member.name, state=member.state.name, up=member.started_at)
            upstream_actor = self.upstream_actors.get(number)
            if upstream_actor is not None:
                upstream_actor.address = member.address
                upstream_actor.open_to_new = member.state is EndpointState.READY
                continue
            upstream_actor = UpstreamActor(
                number, member.name, member.address, self.reach, self.descriptors, self.counters, self.post
            )
            upstream_actor.open_to_new = member.state is EndpointState.READY
            self.upstream_actors[number] = upstream_actor
            if self.actor_tasks is not None:
                self.actor_tasks.start_soon(upstream_actor.run)
            log.debug(
                "listed",
                upstream=member.name,
                state=member.state.name,
                size=member.size,
                up=member.started_at,
            )
        if told.whole:
            named = {member.name for member in members}
            for member in self.known.values():
                if member.name not in named:
                    self.known[member.name] = member._replace(state=EndpointState.GONE)
                    self.upstream_actors[self.numbers[member.name]].open_to_new = False
        lines = [
            Endpoint(
                self.numbers[member.name],
                member.name,
                self.zones.get(member.zone, -1),
                member.cell,
                member.state,
                member.size,
                member.started_at,
            )
            for member in members
        ]
        self.balancer.update_endpoints(now, lines, whole=told.whole, asked=asked)
        if self.fellows is not None:
            ready = [m for m in self.known.values() if m.state is EndpointState.READY]
            settings = self.balancer.settings
            slow_start_us = max(
                (m.started_at + settings.slow_start_us - now for m in ready if m.started_at), default=0
            )
            self.fellows.listed([m.name for m in ready], max(0, slow_start_us), settings.overload_window_us)
