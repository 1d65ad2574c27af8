"""Nodes that know of each other, on the emulator's clock: the real decisions and datagrams, no keys."""

from __future__ import annotations

import time
from collections.abc import Sequence

from larchlatch.cluster.members.exchange import Exchange
from larchlatch.cluster.members.members import Change, Members, State
from larchlatch.cluster.wire.keys import SIGNATURE_BYTES
from larchlatch.days.agreement import Agreement
from larchlatch.days.paths import Manner, Part, Paths
from larchlatch.emulator.clock import TIMER, TOLD
from larchlatch.emulator.nodes import Node
from larchlatch.emulator.stage import START_US, Stage

ROOM = 1000  # datagrams that lie unread at a node that is stopped; the system's buffer holds about so many
BLANK = bytes(SIGNATURE_BYTES)


class Trusting:
    """Keys cost what they cost on sockets; here all that comes is what was sent."""

    def sign(self, body: bytes) -> bytes:
        return BLANK

    def holds(self, key: bytes, body: bytes, signature: bytes) -> bool:
        return True


class Voice:
    """One node's part in it, from a start to its end."""

    def __init__(self, company: Company, number: int) -> None:
        stage = company.stage
        company.starts[number] += 1
        chance = stage.chance.stream(f"cluster {number} start {company.starts[number]}")
        names, now, beat_us = company.names, stage.clock.now, company.beat_us
        self.number = number
        self.company = company
        self.members = Members(names[number], names, beat_us, now, now, chance)
        trust = Trusting()
        self.exchange = Exchange(self.members, company.keys, trust, trust, company.count)
        self.alive = True
        self.stopped = False
        self.unread: list[bytes] = []
        self.beat_at = now + round(chance.random() * beat_us)
        stage.clock.at(self.beat_at, TIMER, self.woken, self.beat_at)

    def woken(self, at: int) -> None:
        # One timer alone goes on: a stop that is over before its next beat must not leave it with two.
        if self.alive and not self.stopped and at == self.beat_at:
            self.beat()

    def beat(self) -> None:
        company, now = self.company, self.company.stage.clock.now
        began = time.perf_counter()
        beat = self.exchange.beat(now, now)
        company.spent_s += time.perf_counter() - began
        self.told(beat.changes)
        for name, data in beat.datagrams:
            company.send(self.number, company.places[name], data)
        self.beat_at = now + company.beat_us
        company.stage.clock.at(self.beat_at, TIMER, self.woken, self.beat_at)

    def take(self, data: bytes) -> None:
        if self.stopped:
            self.unread = [*self.unread[-ROOM + 1 :], data]
        elif self.alive:
            began = time.perf_counter()
            changes = self.exchange.take(data, self.company.stage.clock.now)
            self.company.spent_s += time.perf_counter() - began
            self.told(changes)

    def told(self, changes: list[Change]) -> None:
        company, now = self.company, self.company.stage.clock.now
        for change in changes:
            other = company.places[change.name]
            company.stage.note("member", self.number, other, change.state.value)
            company.agreement.said(now, self.number, other, change.state is State.PRESENT)


class Company:
    def __init__(self, stage: Stage) -> None:
        count = stage.day.nodes.count
        self.stage = stage
        self.beat_us = stage.day.cluster.beat_ms * 1000
        self.names = [f"n{number}" for number in range(count)]
        self.places = {name: number for number, name in enumerate(self.names)}
        self.keys = dict.fromkeys(self.names, b"")
        self.paths = Paths(stage.chance)
        self.agreement = Agreement(count, stage.clock.now)
        self.starts = [0] * count
        self.counts: dict[str, int] = {}
        self.bytes = 0
        self.spent_s = 0.0  # processor time of the decisions and of reading and writing datagrams
        self.voices = [Voice(self, number) for number in range(count)]
        self.judge()

    def count(self, kind: str) -> None:
        self.counts[kind] = self.counts.get(kind, 0) + 1

    def judge(self) -> None:
        runs = [voice.alive and not voice.stopped for voice in self.voices]
        self.agreement.is_so(self.stage.clock.now, runs, self.paths.apart)

    def send(self, one: int, other: int, data: bytes) -> None:
        self.bytes += len(data)
        zones = self.stage.day.zones
        way = self.stage.latency(one % zones, other % zones)
        for delay in self.paths.fate(one, other):
            self.stage.clock.at(self.stage.clock.now + way + delay, TOLD, self.comes, other, data)

    def comes(self, other: int, data: bytes) -> None:
        self.voices[other].take(data)

    # What befalls it.

    def part(self, nodes: Sequence[Node], oneway: bool) -> None:
        self.paths.parts.append(Part(frozenset(node.number for node in nodes), oneway))
        self.judge()

    def join(self, nodes: Sequence[Node], oneway: bool) -> None:
        self.paths.parts.remove(Part(frozenset(node.number for node in nodes), oneway))
        self.judge()

    def treat(self, manner: Manner) -> None:
        self.paths.manner = manner

    def kill(self, number: int) -> None:
        self.voices[number].alive = False
        self.judge()

    def restart(self, number: int) -> None:
        self.voices[number] = Voice(self, number)
        self.agreement.began(self.stage.clock.now, number)
        self.judge()

    def stall(self, number: int) -> None:
        self.voices[number].stopped = True
        self.judge()

    def wake(self, number: int) -> None:
        voice = self.voices[number]
        voice.stopped = False
        self.judge()
        # Its timer is overdue and goes off before it reads what lies there.
        if voice.beat_at <= self.stage.clock.now:
            voice.beat()
        unread, voice.unread = voice.unread, []
        for data in unread:
            voice.take(data)

    def row(self) -> dict[str, float | int | None]:
        span_s = (self.stage.clock.now - START_US) / 1e6 * len(self.voices)
        return {
            **self.agreement.row(),
            "cluster_bytes_s": round(self.bytes / span_s),
            "cluster_cpu": round(self.spent_s / span_s, 5),
        }
