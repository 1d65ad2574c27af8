"""Clients: how they come, what becomes of their links, and when they come back."""

from __future__ import annotations

from collections.abc import Iterator

from larchlatch.emulator.checker import SLACK_US
from larchlatch.emulator.clock import CHECK, WORLD
from larchlatch.emulator.nodes import Attempt, Node, SessionRecord
from larchlatch.emulator.stage import START_US, Parked, Stage
from larchlatch.policy.types import Session
from larchlatch.scenario.amounts import SECOND, us
from larchlatch.scenario.clients import MAX_RECONNECT_US, MIN_RECONNECT_US, Client, entry_node_index

PARKED_US = SECOND  # a link in mid-flow that finds no node looks for one again after this


class Crowd:
    def __init__(self, stage: Stage) -> None:
        self.stage = stage
        self.fronts = [True] * stage.day.nodes.count  # whether clients are sent there

    def next_client(self, clients: Iterator[Client]) -> None:
        client = next(clients, None)
        if client is not None:
            self.stage.clock.at(START_US + client.due, WORLD, self.first, client, clients)

    def first(self, client: Client, clients: Iterator[Client]) -> None:
        self.next_client(clients)
        client.due = self.stage.clock.now
        client.ends_at = client.due + client.life_us
        self.stage.tally.counts["clients"] += 1
        self.stage.tally.wanted_us += min(client.ends_at, self.stage.end) - client.due
        self.come(client)

    def front(self, client: Client) -> Node | None:
        """The node to which a client is sent: one of its zone, else any that serves."""
        alive = [node for node in self.stage.nodes if self.fronts[node.number]]
        near = [node for node in alive if node.zone == client.zone] or alive
        if not near:
            return None
        draw = self.stage.chance.draw("front", client.number, client.sessions)
        return near[entry_node_index(draw, len(near), self.stage.day.sessions.imbalance)]

    def come(self, client: Client, parked: Parked | None = None) -> None:
        """A client opens a link, or one in mid-flow comes through another node."""
        now = self.stage.clock.now
        if client.done or now >= client.ends_at or now >= self.stage.end:
            self.gone(client, parked)
            return
        client.sessions += 1
        if client.rejections == 0 and parked is None and client.sessions > 1:
            client.due = now  # it wants its link again from now on
        node = self.front(client)
        if node is None or not node.alive:
            if parked is not None:
                self.stage.clock.at(now + PARKED_US, WORLD, self.come, client, parked)
            else:
                self.again(client, 0)  # refused at once: nobody listens there
            return
        self.stage.idents += 1
        number = self.stage.idents
        deadline = now + us(self.stage.day.sessions.wait_ms / 1e3)
        session = Session(
            number, client.traffic_class, client.key, client.group, deadline, parked is not None, client.load
        )
        traffic_class = self.stage.traffic_classes[client.traffic_class]
        self.stage.tally.counts["links"] += 1
        self.stage.note("came", number, client.number, node.number)
        self.stage.checker.came(number, deadline, traffic_class.idempotency, traffic_class.dedup_window_us)
        late = deadline + SLACK_US + 1
        self.stage.clock.at(late, CHECK, self.stage.checker.due, late, number)
        if parked is not None:
            self.stage.parked[number] = parked
        record = SessionRecord(session, client)
        node.arrived(record)
        if node.backlog is not None:
            self.doubt(record, node)

    def gone(self, client: Client, parked: Parked | None = None) -> None:
        client.done = True
        if parked is not None:
            self.stage.free(parked.upstream, parked.session, client)

    def doubt(self, record: SessionRecord, node: Node) -> None:
        """The node is stopped: a client whose time is up before it goes on leaves without an answer."""
        self.stage.clock.at(record.session.deadline, WORLD, self.left_alone, record, node)

    def left_alone(self, record: SessionRecord, node: Node) -> None:
        number = record.session.number
        if node.backlog is None or not node.alive or record.gone or number in self.stage.where:
            return
        record.gone = True
        self.stage.note("left alone", number)
        self.stage.tally.counts["ended unanswered"] += 1
        self.stage.checker.over(number)
        parked = self.stage.parked.pop(number, None)
        if parked is not None:
            self.stage.free(parked.upstream, parked.session, record.client)
        node.left(number)
        self.again(record.client, 0)

    def again(self, client: Client, back_us: int) -> None:
        """After a refusal: when it was told to, else after a pause of its own."""
        client.rejections += 1
        if client.rejections > self.stage.day.sessions.max_retries:
            self.stage.tally.counts["abandoned"] += 1
            client.done = True
            return
        mean = us(self.stage.day.sessions.retry_pause_ms / 1e3)
        pause = back_us or round(mean * 2 * self.stage.chance.draw("back", client.number, client.sessions))
        self.stage.clock.at(self.stage.clock.now + max(1, pause), WORLD, self.come, client)

    def back(self, client: Client) -> None:
        """Its link broke or was moved: it wants it again."""
        client.rejections = 0
        low, high = MIN_RECONNECT_US, MAX_RECONNECT_US
        pause = low + round((high - low) * self.stage.chance.draw("return", client.number, client.sessions))
        self.stage.clock.at(self.stage.clock.now + pause, WORLD, self.come, client)

    def refused(self, record: SessionRecord, back_us: int, shed: bool) -> None:
        now, session = self.stage.clock.now, record.session
        self.stage.tally.counts["shed" if shed else "given_up"] += 1
        self.stage.note("shed" if shed else "given up", session.number, back_us)
        self.stage.checker.answered(now, session.number, shed)
        parked = self.stage.parked.pop(session.number, None)
        if parked is not None:
            self.stage.free(parked.upstream, parked.session, record.client)
        self.again(record.client, back_us)

    def stands(self, record: SessionRecord, attempt: Attempt) -> None:
        """The answer is through."""
        now, session, client = self.stage.clock.now, record.session, record.client
        self.stage.note("stands", session.number, attempt.upstream)
        self.stage.checker.answered(now, session.number, shed=False)
        self.stage.tally.record_established(now - client.due)
        client.rejections = 0
        self.stage.where[session.number] = (record, attempt.node)
        attempt.node.policy.record_load(now, session, client.load)
        self.stage.clock.at(max(now, client.ends_at), WORLD, self.finished, session.number)

    def finished(self, number: int) -> None:
        """A client has had what it came for."""
        if number not in self.stage.where:
            return
        record, node = self.stage.where.pop(number)
        assert record.attempt is not None
        self.stage.note("finished", number)
        self.stage.checker.over(number)
        self.stage.free(record.attempt.upstream, number, record.client)
        record.client.done = True
        node.left(number)

    def broke(self, record: SessionRecord) -> None:
        """A link that stood has ended from its host's side."""
        self.unhand(record, "dropped")
        self.back(record.client)

    def moved(self, record: SessionRecord) -> None:
        self.unhand(record, "moved")
        self.back(record.client)

    def unhand(self, record: SessionRecord, why: str) -> None:
        number = record.session.number
        self.stage.note(why, number)
        self.stage.tally.counts[why] += 1
        del self.stage.where[number]
        self.stage.checker.over(number)
        if record.attempt is not None:
            self.stage.free(record.attempt.upstream, number, record.client)
