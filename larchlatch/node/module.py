"""The module's actor: the one place that calls Brain. Its mailbox is drained, its answers carried out."""

from __future__ import annotations

import heapq
from random import Random
from typing import Any

import anyio
import structlog
from anyio.abc import TaskGroup

from larchlatch import links
from larchlatch.brain import Brain
from larchlatch.links import Answer, Listed, Outcome, State, Terms
from larchlatch.node import words
from larchlatch.node.clock import now_us, seconds_until
from larchlatch.node.lifecycle.company import Fellows
from larchlatch.node.listing import Listing
from larchlatch.node.memory.counters import Counters
from larchlatch.node.memory.hand import GivenUp, Hand, Shed
from larchlatch.node.memory.room import Room
from larchlatch.node.peer import Peer, Probe, Reach, Try
from larchlatch.node.wire.catalog import Member, Members
from larchlatch.state_export import export_state, restore_state

TICK_US = 4_000  # held links are looked at together once in this: hundreds would each wake the loop by itself
FAILED_US = 100_000  # before the decisions are asked again how long to wait, after they failed
MAILBOX = 1024  # words: when it is full, whoever reads from sockets waits

log = structlog.get_logger()


class Module:
    def __init__(
        self,
        terms: Terms,
        zones: list[str],
        tariffs: list[str],
        chance: Random,
        reach: Reach,
        room: Room,
        counters: Counters,
    ) -> None:
        self.brain = Brain(terms, chance)
        self.tariffs = tariffs
        self.fellows: Fellows | None = None  # other nodes, where this one knows of any
        self.zones = {name: place for place, name in enumerate(zones)}
        self.reach = reach
        self.room = room
        self.counters = counters
        self.numbers: dict[str, int] = {}  # hosts by name
        self.peers: dict[int, Peer] = {}
        self.known: dict[str, Member] = {}  # what the list last said of each host
        self.hands: dict[int, Hand] = {}  # links in hand by number
        self.held: list[tuple[int, int]] = []  # when to ask again, link
        self.enough_us = 0  # the decisions' own word on links that lay unread, for the door
        self.listing: Listing | None = None
        self.peer_tasks: TaskGroup | None = None
        self.sender, self.words = anyio.create_memory_object_stream[words.Word](MAILBOX)

    async def post(self, word: words.Word) -> None:
        # Shielded: an outcome lost on the way would leave its link without a final answer.
        with anyio.CancelScope(shield=True):
            await self.sender.send(word)

    def offer(self, word: words.Arrived) -> bool:
        """Whether there was room in the mailbox for a link that is new."""
        try:
            self.sender.send_nowait(word)
        except anyio.WouldBlock:
            return False
        return True

    async def submit(self, word: words.Arrived) -> None:
        """A link that is new; whoever breaks the waiting off takes it back."""
        await self.sender.send(word)

    async def run(self) -> None:
        async with anyio.create_task_group() as tasks:
            self.peer_tasks = tasks
            for peer in self.peers.values():
                tasks.start_soon(peer.run)
            wake_at = now_us()
            while True:
                with anyio.move_on_after(seconds_until(wake_at)):
                    self.hear(await self.words.receive())
                while self.words.statistics().current_buffer_used:
                    self.hear(self.words.receive_nowait())
                wake_at = self.looked()

    def hear(self, word: words.Word) -> None:
        try:
            self.heard(now_us(), word)
        except Exception:
            # A fault in the decisions is told, never hidden; the link that it struck still gets its answer.
            log.exception("the decisions failed", word=type(word).__name__)
            self.counters.add("decisions failed")
            if isinstance(word, words.Arrived | words.Due | words.Tried):
                self.hands.pop(word.hand.link.number, None)
                word.hand.settle(GivenUp())

    def heard(self, now: int, word: words.Word) -> None:
        brain = self.brain
        match word:
            case words.Arrived(hand):
                if not hand.abandoned() and not self.over_budget(hand):
                    self.hands[hand.link.number] = hand
                    self.carry_out(hand, brain.place(now, hand.link))
            case words.Due(hand):
                self.carry_out(hand, brain.place(now, hand.link))
            case words.Tried(hand, outcome, done):
                if hand.link.number in self.hands:
                    done = done or hand.gone  # its client has left: no further try may go out
                    if outcome in links.REACHED:
                        self.saw(hand.link.host, links.REACHED[outcome])
                    answer = brain.outcome(now, hand.link, outcome, done)
                    if outcome is not Outcome.STANDS:
                        if done:
                            del self.hands[hand.link.number]
                        else:
                            self.carry_out(hand, answer)
            case words.Stood(hand, host):
                self.hands[hand.link.number] = hand
                brain.standing(now, hand.link, host)
            case words.Left(hand):
                if self.hands.pop(hand.link.number, None) is not None:
                    brain.left(now, hand.link)
            case words.LoadNote(hand, load):
                if hand.link.number in self.hands:
                    brain.load_note(now, hand.link, load)
            case words.DelayNote(hand, delay):
                if hand.link.number in self.hands:
                    brain.delay_note(now, hand.link, delay)
            case words.Quiet(host):
                brain.quiet(now, host)
                self.saw(host, None)
            case words.Probed(host, answered, x0, held):
                self.saw(host, answered)
                brain.report(now, host, answered, x0, held)
            case words.ListTold(members, asked):
                self.listed(now, members, asked)
            case words.ListFailed():
                brain.list_failed(now)
            case words.Advised(looks, failed):
                for peer in [self.peers[self.numbers[name]] for name in looks if name in self.numbers]:
                    peer.order(Probe())
                # Each other node's look that failed counts as one of this node's; its own goes on.
                for name, witnesses in failed:
                    for _ in range(witnesses if name in self.numbers else 0):
                        brain.report(now, self.numbers[name], False, None)

            case words.Paced(until, host, link, at):
                brain.paced(now, until, self.numbers.get(host, -1), link, at)

    def over_budget(self, hand: Hand) -> bool:
        """Whether a new link does not fit what all nodes together may take: it is shed at once."""
        # One in mid-flow is not new: it was counted where it came first.
        if self.fellows is None or hand.link.mid_flow:
            return False
        back_us = self.fellows.admit(self.tariffs[hand.link.tariff])
        if back_us:
            hand.settle(Shed(min(back_us, self.brain.terms.longest_return_us)))
        return bool(back_us)

    def saw(self, host: int, good: bool | None) -> None:
        if self.fellows is not None and host in self.peers:
            self.fellows.saw(self.peers[host].name, good)

    def advise(self, looks: list[str], failed: list[tuple[str, int]]) -> None:
        """What other nodes say of hosts; dropped where there is no time for it: it is said again."""
        try:
            self.sender.send_nowait(words.Advised(looks, failed))
        except anyio.WouldBlock:
            self.counters.add("advice dropped")

    def pace(self, until: int, host: str, link: int, at: int) -> bool:
        """What the pacer of a cluster says; whether there is time for it."""
        try:
            self.sender.send_nowait(words.Paced(until, host, link, at))
        except anyio.WouldBlock:
            self.counters.add("advice dropped")
            return False
        return True

    def carry_out(self, hand: Hand, answer: Answer) -> None:
        # Never waited for: a peer that can't take it has sent nothing, which is an outcome like others.
        while answer.host >= 0 and not self.peers[answer.host].order(Try(hand, answer.at)):
            answer = self.brain.outcome(now_us(), hand.link, Outcome.UNSENT)
        if answer.host >= 0:
            self.counters.add("try sent")
        elif answer.host == links.NOT_YET:
            heapq.heappush(self.held, (answer.at, hand.link.number))
            if answer.sought and self.fellows is not None:
                wants = [(self.peers[sought.host].name, sought) for sought in answer.sought]
                self.fellows.sought(hand.link.number, wants)
        elif answer.host in (links.SHED, links.GIVEN_UP):
            del self.hands[hand.link.number]
            hand.settle(Shed(answer.at) if answer.host == links.SHED else GivenUp())

    def looked(self) -> int:
        """Carry out what has fallen due; when to look again."""
        now = now_us()
        while self.held and self.held[0][0] <= now:
            _, number = heapq.heappop(self.held)
            hand = self.hands.get(number)
            if hand is not None:
                self.hear(words.Due(hand))
        try:
            wake_at = now + self.due(now)
        except Exception:
            log.exception("the decisions failed", word="wait")
            self.counters.add("decisions failed")
            wake_at = now + FAILED_US
        if self.held:
            wake_at = min(wake_at, self.held[0][0])
        return max(wake_at, now + TICK_US)

    def due(self, now: int) -> int:
        """Ask once how long to wait, and carry out what comes with the answer."""
        due = self.brain.wait(now)
        self.enough_us = due.enough_us
        for host in due.probes:
            if not self.peers[host].order(Probe()):
                self.brain.report(now, host, False, None)
        for number in due.moves:
            self.counters.add("move due")
            if number in self.hands:
                log.debug("moved", key=self.hands[number].opening.key)
                self.hands[number].move.set()
        for number in due.withdrawn:
            hand = self.hands.get(number)
            if hand is not None and hand.attempt is not None:
                self.counters.add("try withdrawn")
                hand.attempt.cancel()
        if due.ask_list and self.listing is not None:
            self.listing.ask()
        return due.wait_us

    def cede(self, on: bool) -> dict[str, Any]:
        """Another process of this node places what is new, or does no more; what it has to know."""
        self.brain.cede(on)
        if self.fellows is None:
            return export_state(self.brain)
        if not on:
            self.fellows.resume()
            return {}
        return {**export_state(self.brain), "budgets": self.fellows.cede()}

    def recall(self, learned: dict[str, Any], shift: int) -> None:
        """What the process before this one learned; what can't be read costs knowledge alone."""
        try:
            restore_state(self.brain, learned, shift)
        except (AttributeError, KeyError, TypeError, ValueError, OverflowError) as error:
            self.counters.add("learned not understood")
            log.warning("what the process before this one learned is not understood", why=repr(error))
        used = learned.get("budgets")
        if self.fellows is not None and isinstance(used, dict):
            self.fellows.take_over({name: int(number) for name, number in used.items()})

    def told(self) -> list[dict[str, Any]]:
        """Host by host what the decisions believe, beside the sockets that are open."""
        rows = []
        for belief in self.brain.beliefs(now_us()):
            peer = self.peers.get(belief.host)
            rows.append(
                {
                    "host": peer.name if peer else belief.host,
                    "state": belief.state.value,
                    "left_out": belief.left_out,
                    "tries": belief.out,
                    "tries_open": peer.trying if peer else 0,
                    "links": belief.open,
                    "links_open": len(peer.standing) if peer else 0,
                    "load": None if belief.load is None else round(belief.load, 3),
                    "load_age_ms": None if belief.load is None else belief.load_age_us // 1000,
                }
            )
        return rows

    def members(self) -> Members:
        """The list as it is known here, hosts that are gone included: links may stand there still."""
        revision = self.listing.revision if self.listing is not None else 0
        return Members(revision, True, list(self.known.values()))

    def number(self, name: str) -> int:
        return self.numbers.setdefault(name, len(self.numbers))

    def listed(self, now: int, told: Members, asked: bool) -> None:
        # An entry that can't be read says nothing: a whole list without it would have its host gone.
        spared = [self.known[name] for name in told.unreadable if name in self.known]
        members = [*told.members, *spared]
        for member in members:
            self.known[member.name] = member
            number = self.number(member.name)
            log.debug("listed", host=member.name, state=member.state.name, up=member.came_up)
            peer = self.peers.get(number)
            if peer is not None:
                peer.address = member.address
                peer.open_to_new = member.state is State.READY
                continue
            peer = Peer(number, member.name, member.address, self.reach, self.room, self.counters, self.post)
            peer.open_to_new = member.state is State.READY
            self.peers[number] = peer
            if self.peer_tasks is not None:
                self.peer_tasks.start_soon(peer.run)
            log.debug(
                "listed", host=member.name, state=member.state.name, size=member.size, up=member.came_up
            )
        if told.whole:
            named = {member.name for member in members}
            for member in self.known.values():
                if member.name not in named:
                    self.known[member.name] = member._replace(state=State.GONE)
                    self.peers[self.numbers[member.name]].open_to_new = False
        lines = [
            Listed(
                self.numbers[member.name],
                member.name,
                self.zones.get(member.zone, -1),
                member.cell,
                member.state,
                member.size,
                member.came_up,
            )
            for member in members
        ]
        self.brain.hosts_listed(now, lines, whole=told.whole, asked=asked)
        if self.fellows is not None:
            ready = [m for m in self.known.values() if m.state is State.READY]
            terms = self.brain.terms
            cold_us = max((m.came_up + terms.cold_us - now for m in ready if m.came_up), default=0)
            self.fellows.listed([m.name for m in ready], max(0, cold_us), terms.tip_after_us)
