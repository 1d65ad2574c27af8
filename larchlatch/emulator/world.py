"""A day played: clients, hosts, network and list on one clock, and nodes that know what they are told."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from random import Random
from typing import Any, NamedTuple

from xxhash import xxh3_64

from larchlatch.emulator import day as days
from larchlatch.emulator.checker import SLACK_US, Checker
from larchlatch.emulator.clients import Client, demand
from larchlatch.emulator.clock import CHECK, TIMER, TOLD, WORLD, Chance, Clock
from larchlatch.emulator.day import SECOND, Day, terms_for, us
from larchlatch.emulator.hosts import Condition, Host, hosts_of
from larchlatch.emulator.nodes import Hand, Node, Try
from larchlatch.emulator.plain import POLICIES, Policy
from larchlatch.emulator.tally import Tally
from larchlatch.links import Link, Listed, Outcome, State, Terms

START_US = 1_000 * SECOND  # a day begins then: a time of 0 means long before it
RETURN_US = (50_000, 250_000)  # a client whose link broke or was moved is back between these
TICK_US = SECOND  # hosts are looked at for lateness, and drop links, once in this
QUIET_US = 500_000  # as real nodes do: a host that has answered nothing for so long is told of as quiet
SILENT_US = 1_500_000  # and a line without an answer for so long moves its link
NEAR = 0.34  # share of the wanted time from which nodes tell what a message takes
FALLEN_S = 5.0  # a host that was pushed over while cold is down for so long

Make = Callable[[Terms, Random], Policy]


class Parked(NamedTuple):
    """Where a link in mid-flow is held, and under which number."""

    host: int
    link: int


class World:
    def __init__(
        self, day: Day, policy: str | Make = "larchlatch", trace: Callable[[bytes], None] | None = None
    ) -> None:
        self.day = day
        self.clock = Clock()
        self.clock.now = START_US
        self.end = START_US + us(day.span_s)
        self.chance = Chance(day.seed)
        self.make: Make = POLICIES[policy] if isinstance(policy, str) else policy
        self.tariffs = terms_for(day, 0).tariffs
        self.group_us = day.links.group_ms * 1000
        self.tally = Tally()
        self.digest = xxh3_64()
        self.trace = trace
        self.hosts: list[Host] = []
        self.list: dict[int, Listed] = {}
        self.deaf_until = 0
        self.store_us = us(day.store_ms / 1e3)
        self.cut: set[int] = set()  # zones
        self.idents = 0
        self.where: dict[int, tuple[Hand, Node]] = {}  # links that stand, by their numbers
        self.parked: dict[int, Parked] = {}  # of links in mid-flow that have not been tried yet
        self.late: set[tuple[int, int]] = set()  # node and host, told of as late
        self.counted_at: list[int] = []  # by host, up to when its links' time is counted
        for host in hosts_of(day):
            self.hosts.append(host)
            self.counted_at.append(START_US)
            if host.condition is Condition.WELL:
                self.list[host.number] = self.line(host, State.READY)
        self.checker = Checker()
        count = day.nodes.count
        self.starts = [0] * count
        self.fronts = [True] * count  # whether clients are sent there
        self.told_at = [0] * count  # the list is told in order
        self.nodes = [self.node(place) for place in range(count)]

    def node(self, place: int) -> Node:
        self.starts[place] += 1
        seed = self.chance.stream(f"node {place} start {self.starts[place]}")
        return Node(self, place, place % self.day.zones, self.make(terms_for(self.day, place), seed))

    @staticmethod
    def line(host: Host, state: State) -> Listed:
        name = f"h-{host.number}"
        return Listed(host.number, name, host.zone, host.cell, state, host.size, host.came_up)

    def note(self, *words: object) -> None:
        """One line of the trace: equal days have equal ones, byte for byte."""
        line = f"{self.clock.now} {' '.join(map(str, words))}\n".encode()
        self.digest.update(line)
        if self.trace is not None:
            self.trace(line)

    # The day.

    def play(self) -> dict[str, Any]:
        for node in self.nodes:
            node.listed(list(self.list.values()), whole=True)
        self.next_client(demand(self.day, self.chance))
        for place, fault in enumerate(self.day.faults):
            self.clock.at(START_US + us(fault.at_s), WORLD, self.befall, place, fault)
        self.clock.at(START_US + TICK_US, WORLD, self.tick)
        self.clock.run(self.end)
        for host in self.hosts:
            self.count(host)
        return {
            **self.tally.row(),
            "broken": dict(self.checker.broken),
            "events": self.clock.done,
            "trace": self.digest.hexdigest(),
        }

    def next_client(self, clients: Iterator[Client]) -> None:
        client = next(clients, None)
        if client is not None:
            self.clock.at(START_US + client.due, WORLD, self.first, client, clients)

    def first(self, client: Client, clients: Iterator[Client]) -> None:
        self.next_client(clients)
        client.due = self.clock.now
        client.ends_at = client.due + client.life_us
        self.tally.counts["clients"] += 1
        self.tally.wanted_us += min(client.ends_at, self.end) - client.due
        self.come(client)

    def count(self, host: Host) -> None:
        """Count the time of the links at a host up to now; asked before anything changes there."""
        now, since = self.clock.now, self.counted_at[host.number]
        self.counted_at[host.number] = now
        if host.links and host.condition is Condition.WELL:
            self.tally.served_us += len(host.links) * (now - since) / max(1.0, host.fullness(now))

    # Clients.

    def front(self, client: Client) -> Node | None:
        """The node to which a client is sent: one of its zone, else any that serves."""
        alive = [node for node in self.nodes if self.fronts[node.number]]
        near = [node for node in alive if node.zone == client.zone] or alive
        if not near:
            return None
        return near[int(self.chance.draw("front", client.number, client.links) * len(near))]

    def come(self, client: Client, parked: Parked | None = None) -> None:
        """A client opens a link, or one in mid-flow comes through another node."""
        now = self.clock.now
        if client.done or now >= client.ends_at or now >= self.end:
            self.gone(client, parked)
            return
        client.links += 1
        if client.tries == 0 and parked is None and client.links > 1:
            client.due = now  # it wants its link again from now on
        node = self.front(client)
        if node is None or not node.alive:
            if parked is not None:
                self.clock.at(now + TICK_US, WORLD, self.come, client, parked)
            else:
                self.again(client, 0)  # refused at once: nobody listens there
            return
        self.idents += 1
        number = self.idents
        cut_off = now + us(self.day.links.wait_ms / 1e3)
        link = Link(number, client.tariff, client.key, client.group, cut_off, parked is not None, client.load)
        tariff = self.tariffs[client.tariff]
        self.tally.counts["links"] += 1
        self.note("came", number, client.number, node.number)
        self.checker.came(number, cut_off, tariff.repeat, tariff.memory_us)
        late = cut_off + SLACK_US + 1
        self.clock.at(late, CHECK, self.checker.due, late, number)
        if parked is not None:
            self.parked[number] = parked
        node.arrived(Hand(link, client))

    def gone(self, client: Client, parked: Parked | None = None) -> None:
        client.done = True
        if parked is not None:
            self.free(parked.host, parked.link, client)

    def again(self, client: Client, back_us: int) -> None:
        """After a refusal: when it was told to, else after a pause of its own."""
        client.tries += 1
        if client.tries > self.day.links.retries:
            self.tally.counts["abandoned"] += 1
            client.done = True
            return
        mean = us(self.day.links.back_ms / 1e3)
        pause = back_us or round(mean * 2 * self.chance.draw("back", client.number, client.links))
        self.clock.at(self.clock.now + max(1, pause), WORLD, self.come, client)

    def back(self, client: Client) -> None:
        """Its link broke or was moved: it wants it again."""
        client.tries = 0
        low, high = RETURN_US
        pause = low + round((high - low) * self.chance.draw("return", client.number, client.links))
        self.clock.at(self.clock.now + pause, WORLD, self.come, client)

    def refused(self, hand: Hand, back_us: int, shed: bool) -> None:
        now, link = self.clock.now, hand.link
        self.tally.counts["shed" if shed else "given_up"] += 1
        self.note("shed" if shed else "given up", link.number, back_us)
        self.checker.answered(now, link.number, shed)
        parked = self.parked.pop(link.number, None)
        if parked is not None:
            self.free(parked.host, parked.link, hand.client)
        self.again(hand.client, back_us)

    def stands(self, hand: Hand, attempt: Try) -> None:
        """The answer is through."""
        now, link, client = self.clock.now, hand.link, hand.client
        self.note("stands", link.number, attempt.host)
        self.checker.answered(now, link.number, shed=False)
        self.tally.stood(now - client.due)
        client.tries = 0
        self.where[link.number] = (hand, attempt.node)
        attempt.node.policy.load_note(now, link, client.load)
        self.clock.at(max(now, client.ends_at), WORLD, self.finished, link.number)

    def finished(self, number: int) -> None:
        """A client has had what it came for."""
        if number not in self.where:
            return
        hand, node = self.where.pop(number)
        assert hand.attempt is not None
        self.note("finished", number)
        self.checker.over(number)
        self.free(hand.attempt.host, number, hand.client)
        hand.client.done = True
        node.left(number)

    def broke(self, hand: Hand) -> None:
        """A link that stood has ended from its host's side."""
        self.unhand(hand, "dropped")
        self.back(hand.client)

    def moved(self, hand: Hand) -> None:
        self.unhand(hand, "moved")
        self.back(hand.client)

    def unhand(self, hand: Hand, why: str) -> None:
        number = hand.link.number
        self.note(why, number)
        self.tally.counts[why] += 1
        del self.where[number]
        self.checker.over(number)
        if hand.attempt is not None:
            self.free(hand.attempt.host, number, hand.client)

    def free(self, host: int, number: int, client: Client) -> None:
        """A host is rid of a link."""
        self.count(self.hosts[host])
        self.hosts[host].remove(number, client.group, self.group_us)

    # Tries and probes.

    def latency(self, one: int, other: int) -> int:
        network = self.day.network
        return us((network.near_ms if one == other else network.far_ms) / 1e3)

    def apart(self, one: int, other: int) -> bool:
        return one != other and (one in self.cut or other in self.cut)

    def reach(self, node: Node, host: Host) -> bool:
        away = host.condition in (Condition.SILENT, Condition.ABSENT)
        return not away and not self.apart(node.zone, host.zone)

    def tried(self, hand: Hand, attempt: Try) -> None:
        now, node, host = self.clock.now, attempt.node, self.hosts[attempt.host]
        self.tally.counts["tries"] += 1
        self.note("try", attempt.link, node.number, host.number)
        self.checker.sent(now, attempt.link, node.number, host.number)
        way = self.latency(node.zone, host.zone)
        dial = us(self.day.network.dial_ms / 1e3)
        self.clock.at(attempt.ends_at, TIMER, self.timed_out, attempt, Outcome.SILENT)
        if not self.reach(node, host):
            self.clock.at(min(now + dial, attempt.ends_at), TIMER, self.timed_out, attempt, Outcome.UNREACHED)
        elif host.condition is Condition.DEAD:
            self.clock.at(now + 2 * way, TOLD, node.ended, attempt, Outcome.UNREACHED)
        else:
            self.clock.at(now + way, WORLD, self.reached, hand, attempt, way)

    def timed_out(self, attempt: Try, what: Outcome) -> None:
        if attempt.live and not attempt.stands:
            attempt.node.ended(attempt, what)

    def given_up(self, attempt: Try) -> None:
        self.timed_out(attempt, Outcome.CANCELLED)

    def reached(self, hand: Hand, attempt: Try, way: int) -> None:
        """The link's line has come to the host."""
        now, host, client = self.clock.now, self.hosts[attempt.host], hand.client
        tell = self.clock.at
        if host.condition is not Condition.WELL:
            if host.condition is Condition.DEAD:
                tell(now + way, TOLD, attempt.node.ended, attempt, Outcome.CUT)
            return
        parked = self.parked.pop(attempt.link, None)
        if parked is not None:
            holds = parked.host == host.number and parked.link in host.links
            self.tally.counts["mid right" if holds else "mid wrong"] += 1
            self.free(parked.host, parked.link, client)
            if holds:
                self.taken(hand, attempt, host, way)
                return
        if host.pushed(now, client.load):
            self.checker.tipped(now, host.number)
            self.crash(host, FALLEN_S)
            return
        done = host.admit(now, client.work_us)
        if done is None:
            tell(now + way, TOLD, attempt.node.ended, attempt, Outcome.REFUSED)
        else:
            tell(done + self.store_us, WORLD, self.set_up, hand, attempt, host.life, way)

    def set_up(self, hand: Hand, attempt: Try, life: int, way: int) -> None:
        host = self.hosts[attempt.host]
        if host.life != life or host.condition is not Condition.WELL:
            # Its process died in between: the connection ends, unless the machine says nothing any more.
            if host.condition is not Condition.SILENT:
                self.clock.at(self.clock.now + way, TOLD, attempt.node.ended, attempt, Outcome.CUT)
        elif attempt.live:  # else nobody waits there any more
            self.taken(hand, attempt, host, way)

    def taken(self, hand: Hand, attempt: Try, host: Host, way: int) -> None:
        """The link stands at its host, which says so."""
        self.count(host)
        host.add(attempt.link, hand.client.load, hand.client.group, self.group_us)
        attempt.held = True
        self.clock.at(self.clock.now + way, TOLD, self.up, hand, attempt)

    def up(self, hand: Hand, attempt: Try) -> None:
        if attempt.live and attempt.node.alive and attempt.link in self.hosts[attempt.host].links:
            attempt.node.ended(attempt, Outcome.STANDS)
        else:
            self.free(attempt.host, attempt.link, hand.client)

    def probed(self, node: Node, number: int) -> None:
        host, now = self.hosts[number], self.clock.now
        self.tally.counts["probes"] += 1
        way = self.latency(node.zone, host.zone)
        if not self.reach(node, host):
            self.clock.at(now + us(self.day.network.dial_ms / 1e3), TOLD, self.report, node, number, None)
        elif host.condition is Condition.DEAD:
            self.clock.at(now + 2 * way, TOLD, self.report, node, number, None)
        else:
            figures = (host.fullness(now), float(len(host.links)))
            self.clock.at(now + 2 * way, TOLD, self.report, node, number, figures)

    def report(self, node: Node, number: int, figures: tuple[float, float] | None) -> None:
        if node.alive:
            x0, held = figures if figures is not None else (None, None)
            node.policy.report(self.clock.now, number, figures is not None, x0, held)
            node.look()

    # What hosts show of themselves.

    def tick(self) -> None:
        """Lateness is told, and hosts that bear far too much drop links."""
        now, wanted = self.clock.now, us(self.day.links.message_ms / 1e3)
        self.clock.at(now + TICK_US, WORLD, self.tick)
        for host in self.hosts:
            if host.condition is not Condition.WELL:
                continue
            self.count(host)  # its speed may change with its warmth
            took = host.message_us(now, wanted)
            late = took > NEAR * wanted
            if late or self.late:
                self.tell_delay(host, took, late)
            most = list(host.links)[: host.drops(now)]
            self.cut_off(host, [self.where[number] for number in most if number in self.where])

    def tell_delay(self, host: Host, took: int, late: bool) -> None:
        """Each node with links there notes once a second what a message takes, and once when it is over."""
        heard: dict[int, tuple[Node, Hand]] = {}
        for number in host.links:
            if number in self.where:
                hand, node = self.where[number]
                heard.setdefault(node.number, (node, hand))
        for number, (node, hand) in heard.items():
            if late or (number, host.number) in self.late:
                self.clock.at(self.clock.now, TOLD, self.delay, node, hand, took)
            if late:
                self.late.add((number, host.number))
            else:
                self.late.discard((number, host.number))

    def delay(self, node: Node, hand: Hand, took: int) -> None:
        if node.alive and hand.link.number in node.hands and hand.link.open:
            node.policy.delay_note(self.clock.now, hand.link, took)
            node.look()

    def hush(self, held: list[tuple[Hand, Node]], still: Callable[[Hand, Node], bool]) -> None:
        """Links on which nothing comes back any more: what nodes make of that, as real ones do."""
        now, beat = self.clock.now, us(self.day.links.beat_s)
        quiet: dict[tuple[int, int], int] = {}
        for hand, node in held:
            assert hand.attempt is not None
            said = now + round(beat * self.chance.draw("beat", hand.link.number))
            pair = (node.number, hand.attempt.host)
            quiet[pair] = min(quiet.get(pair, said), said)
            self.clock.at(said + SILENT_US, TIMER, self.silent, hand, node, still)
        for (number, host), said in quiet.items():
            self.clock.at(said + QUIET_US, TIMER, self.quiet, self.nodes[number], host)

    def silent(self, hand: Hand, node: Node, still: Callable[[Hand, Node], bool]) -> None:
        if hand.attempt is not None and hand.attempt.live and node.alive and still(hand, node):
            node.ended(hand.attempt, Outcome.CUT)

    def quiet(self, node: Node, host: int) -> None:
        if node.alive and not self.reach(node, self.hosts[host]):
            node.policy.quiet(self.clock.now, host)
            node.look()

    # The list.

    def change(self, host: Host, state: State) -> None:
        """The list says something else of a host; each node hears of it when it does."""
        line = self.list[host.number] = self.line(host, state)
        if state is State.GONE:
            del self.list[host.number]
        self.note("list", host.number, state.value)
        for node in self.nodes:
            self.tell(node, [line], whole=False)

    def tell_whole(self, node: Node) -> None:
        self.tell(node, list(self.list.values()), whole=True)

    def tell(self, node: Node, lines: list[Listed], whole: bool) -> None:
        listing = self.day.listing
        self.idents += 1
        share = self.chance.draw("list", node.number, self.idents)
        delay = listing.soon_ms + (listing.late_ms - listing.soon_ms) * share
        at = max(self.clock.now + us(delay / 1e3), self.told_at[node.number], self.deaf_until)
        self.told_at[node.number] = at
        self.clock.at(at, TOLD, self.heard, node, lines, whole)

    def heard(self, node: Node, lines: list[Listed], whole: bool) -> None:
        if node.alive:
            node.listed(lines, whole)

    # What goes wrong.

    def befall(self, place: int, fault: days.AnyFault) -> None:
        """A fault of the day begins."""
        self.note("fault", type(fault).__name__)
        chance = self.chance.stream(f"fault {place}")
        now = self.clock.now
        match fault:
            case days.Slow():
                for host in self.some(chance, fault.hosts):
                    self.slow(host, fault.factor)
                    self.clock.at(now + us(fault.for_s), WORLD, self.slow, host, 1 / fault.factor)
            case days.Silent():
                for host in self.some(chance, fault.hosts):
                    self.vanish(host, fault.for_s)
            case days.Crash():
                for host in self.some(chance, fault.hosts):
                    self.crash(host, fault.for_s)
            case days.Drain():
                for host in self.some(chance, fault.hosts):
                    host.draining = True
                    self.change(host, State.DRAINING)
                    self.clock.at(now + us(fault.for_s), WORLD, self.depart, host)
            case days.Join():
                absent = [h for h in self.hosts if h.condition is Condition.ABSENT and not h.life]
                for host in absent[: fault.hosts]:
                    self.rise(host)
            case days.Cut():
                self.sever(fault.zone, fault.for_s)
            case days.Kill():
                alive = [node for node in self.nodes if node.alive]
                for node in chance.sample(alive, min(fault.nodes, len(alive))):
                    self.kill(node)
            case days.Store():
                self.store_us = round(self.store_us * fault.factor)
                self.clock.at(now + us(fault.for_s), WORLD, self.restore)
            case days.Crowd():
                standing = list(self.where.values())
                for hand, node in chance.sample(standing, round(len(standing) * fault.share)):
                    if hand.link.number not in self.where:
                        continue  # moved meanwhile: what one client's leaving shows may move another
                    self.unhand(hand, "lost by the client")
                    node.left(hand.link.number)
                    self.back(hand.client)
            case days.Deaf():
                self.deaf_until = now + us(fault.for_s)

    def some(self, chance: Random, number: int) -> list[Host]:
        """Hosts that are well and listed as such."""
        well = [h for h in self.hosts if h.condition is Condition.WELL and not h.draining]
        return chance.sample(well, min(number, len(well)))

    def slow(self, host: Host, factor: float) -> None:
        self.count(host)
        host.slowness *= factor

    def restore(self) -> None:
        self.store_us = us(self.day.store_ms / 1e3)

    def standing_at(self, host: Host) -> list[tuple[Hand, Node]]:
        return [self.where[number] for number in host.links if number in self.where]

    def vanish(self, host: Host, for_s: float) -> None:
        self.count(host)
        host.condition = Condition.SILENT
        life = host.life
        self.hush(self.standing_at(host), lambda hand, node: host.life == life)
        self.clock.at(self.clock.now + us(for_s), WORLD, self.rise, host)

    def crash(self, host: Host, for_s: float) -> None:
        held = self.standing_at(host)
        self.count(host)
        host.condition = Condition.DEAD
        host.stop()
        self.cut_off(host, held)
        self.clock.at(self.clock.now + us(for_s), WORLD, self.rise, host)

    def cut_off(self, host: Host, held: list[tuple[Hand, Node]]) -> None:
        for hand, node in held:
            way = self.latency(node.zone, host.zone)
            self.clock.at(self.clock.now + way, TOLD, node.ended, hand.attempt, Outcome.CUT)

    def rise(self, host: Host) -> None:
        """A host starts, cold; links that it held before are reset."""
        held = self.standing_at(host)
        self.count(host)
        host.start(self.clock.now)
        self.cut_off(host, held)
        self.change(host, State.READY)

    def depart(self, host: Host) -> None:
        held = self.standing_at(host)
        self.count(host)
        host.stop()
        host.condition = Condition.ABSENT
        self.cut_off(host, held)
        self.change(host, State.GONE)

    def sever(self, zone: int, for_s: float) -> None:
        self.cut.add(zone)
        crossing = [(hand, node) for hand, node in self.where.values() if self.parted(hand, node)]
        self.hush(crossing, self.parted)
        self.clock.at(self.clock.now + us(for_s), WORLD, self.cut.discard, zone)

    def parted(self, hand: Hand, node: Node) -> bool:
        return hand.attempt is not None and self.apart(node.zone, self.hosts[hand.attempt.host].zone)

    def kill(self, node: Node) -> None:
        """A node dies; it comes back with the list that it had."""
        now, known = self.clock.now, list(node.list.values())
        self.checker.forgot(node.number)
        nodes = self.day.nodes
        self.clock.at(now + us(nodes.noticed_s), WORLD, self.noticed, node)
        self.clock.at(now + us(nodes.back_s), WORLD, self.restart, node, known)
        for hand in node.stop():
            number, attempt, client = hand.link.number, hand.attempt, hand.client
            self.checker.over(number)
            if number in self.where:
                assert attempt is not None
                del self.where[number]
                if self.day.passes:
                    pause = us(nodes.noticed_s) + round(
                        us(self.day.links.beat_s) * self.chance.draw("beat", number)
                    )
                    self.clock.at(now + pause, WORLD, self.come, client, Parked(attempt.host, number))
                    continue
                self.tally.counts["lost with a node"] += 1
            parked = self.parked.pop(number, None)
            if parked is not None:
                self.free(parked.host, parked.link, client)
            if attempt is not None and attempt.held:
                self.free(attempt.host, number, client)
            self.back(client)

    def noticed(self, node: Node) -> None:
        if not node.alive and self.nodes[node.number] is node:
            self.fronts[node.number] = False

    def restart(self, dead: Node, known: list[Listed]) -> None:
        node = self.nodes[dead.number] = self.node(dead.number)
        self.note("restart", node.number)
        node.listed(known, whole=True, asked=False)
        self.told_at[node.number] = 0
        self.tell_whole(node)
        self.fronts[node.number] = True
