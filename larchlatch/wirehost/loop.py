"""The loop: batches in, replies out; per instance the links in hand and the timers."""

from __future__ import annotations

import logging
import random
import sys
import traceback
from typing import Any

import orjson

from larchlatch.brain import Brain
from larchlatch.driving import Driver
from larchlatch.links import Link, Listed, Outcome
from larchlatch.terms import BadInput, known, need, terms_of
from larchlatch.wirehost import codec

log = logging.getLogger("larchlatch")


class Instance(Driver):
    """One node: its brain, the links in its hands and its timers; nothing is shared with another."""

    def __init__(self, seed: int, conf: dict[str, Any]) -> None:
        self.terms = terms_of(conf, "POWER_ON: conf")
        self.brain = Brain(self.terms, random.Random(seed))
        super().__init__(self.brain)
        self.tariffs = {
            need(tariff, "name", str, "POWER_ON: conf.tariffs"): place
            for place, tariff in enumerate(conf["tariffs"])
        }
        self.zones = {name: place for place, name in enumerate(conf["areas"])}
        self.hosts: dict[str, int] = {}
        self.names: list[str] = []
        self.in_hand: dict[str, Link] = {}
        self.handles: dict[int, str] = {}
        self.numbers = 0
        self.wake_at = 0
        self.actions: list[list[Any]] = []

    def host(self, name: str) -> int:
        number = self.hosts.get(name)
        if number is None:
            number = self.hosts[name] = len(self.names)
            self.names.append(name)
        return number

    def take(self, handle: str, grade: str, key: Any, room: Any, cut_off: Any, hint: Any, bits: Any) -> Link:
        if grade not in self.tariffs:
            raise BadInput(f"ASK: grade names no tariff of the settings ({grade!r})")
        bits = bits or 0
        link = Link(self.numbers, self.tariffs[grade], key, room, cut_off or 0, bool(bits & codec.MID_FLOW))
        if bits & codec.HINT_VALID and hint:
            link.load = float(hint)
        self.numbers += 1
        self.in_hand[handle] = link
        self.handles[link.number] = handle
        return link

    def drop(self, handle: str) -> None:
        link = self.in_hand.pop(handle, None)
        if link is not None:
            self.handles.pop(link.number, None)

    def link(self, number: int) -> Link | None:
        handle = self.handles.get(number)
        return None if handle is None else self.in_hand[handle]

    def send(self, now: int, link: Link, host: int, until: int) -> None:
        self.actions.append(["TRANSMIT", self.handles[link.number], self.names[host], until])

    def shed(self, now: int, link: Link, back_us: int) -> None:
        handle = self.handles[link.number]
        self.actions.append(["PUSH_BACK", handle, back_us])
        self.drop(handle)

    def give_up(self, now: int, link: Link) -> None:
        handle = self.handles[link.number]
        self.actions.append(["DROP_REQUEST", handle])
        self.drop(handle)

    def probe(self, now: int, host: int) -> None:
        self.actions.append(["POLL", self.names[host]])

    def move(self, now: int, link: int) -> None:
        self.actions.append(["REASSIGN", self.handles[link]])

    def withdraw(self, now: int, link: int) -> None:
        handle = self.handles[link]
        self.actions.append(["REVOKE", handle, self.in_hand[handle].tries - 1])

    def ask_list(self, now: int) -> None:
        self.actions.append(["TAIL", True])

    def hear(self, now: int, name: str, values: list[Any], lists: dict[int, list[Any]]) -> None:
        brain = self.brain
        if name == "ASK":
            handle, grade, hint, key, _, room, cut_off, bits = values
            link = self.take(handle, grade, key, room, cut_off, hint, bits)
            self.carry_out(now, link, brain.place(now, link))
        elif name == "UNDER_WAY":
            found = self.in_hand.get(values[0])
            if found is not None:
                brain.outcome(now, found, Outcome.STANDS)
        elif name == "ATTEMPT_END":
            handle, _, _, code, _, done, report = values
            outcome = known(code, codec.OUTCOMES, "ATTEMPT_END: state_code")
            found = self.in_hand.get(handle)
            if found is not None:
                answer = brain.outcome(now, found, outcome, done)
                if done:
                    self.drop(handle)
                else:
                    self.carry_out(now, found, answer)
        elif name == "INTERIM":
            handle, host, _, what, level = values
            found = self.in_hand.get(handle)
            if found is not None and what == codec.LOAD_NOTE:
                brain.load_note(now, found, float(level))
            elif found is not None and what == codec.DELAY_NOTE:
                brain.delay_note(now, found, int(level * 1000))
        elif name == "ECHO":
            code, _, host, report = values
            answered = known(code, codec.OUTCOMES, "ECHO: state_code") == Outcome.ENDED
            figures = ((report or {}).get(name) for name in ("x0", "inflight"))
            x0, held = (None if figure is None else float(figure) for figure in figures)
            brain.report(now, self.host(host), answered, x0, held)
        elif name == "CLIENT_GONE":
            found = self.in_hand.get(values[0])
            if found is not None:
                brain.left(now, found)
                self.drop(values[0])
        elif name == "EXISTING":
            handle, grade, _, key, cut_off, hint, room, bits, host = values
            brain.standing(now, self.take(handle, grade, key, room, cut_off, hint, bits), self.host(host))
        elif name == "TOPOLOGY":
            self.listed(now, values, lists)

    def listed(self, now: int, values: list[Any], lists: dict[int, list[Any]]) -> None:
        slot, mode, _ = values
        if mode == "error":
            self.brain.list_failed(now)
            return
        if mode not in ("diff", "snapshot", "disk"):
            raise BadInput(f"TOPOLOGY: unknown mode {mode!r}")
        if slot not in lists:
            raise BadInput(f"TOPOLOGY: slot {slot} names no INVENTORY")
        lines = []
        for host, hall, _, pack, state, size, came_up in lists[slot]:
            lines.append(
                Listed(
                    self.host(host),
                    host,
                    self.zones.get(hall, -1),
                    -1 if pack is None else pack,
                    known(state, codec.STATES, "INVENTORY: lifecycle"),
                    float(size) if size and size > 0 else 1.0,
                    came_up or 0,
                )
            )
        self.brain.hosts_listed(now, lines, whole=mode != "diff", asked=mode != "disk")

    def due(self, now: int) -> int:
        """What has fallen due, once the batch's messages have been heard."""
        wake = super().due(now)
        if wake < self.wake_at or self.wake_at <= now:
            self.wake_at = max(wake, now + 1)
            self.actions.append(["WAKE_ME", self.wake_at - now, 0])
        return wake


class Fleet:
    """All the instances that this process plays, and the process-wide numbered lists."""

    def __init__(self) -> None:
        self.instances: dict[str, Instance] = {}
        self.lists: dict[int, list[Any]] = {}

    def part(self, now: int, part: Any) -> dict[str, Any] | None:
        if not isinstance(part, dict):
            raise BadInput("batch: a part is not an object")
        who = need(part, "i", str, "batch: part")
        touched = None
        try:
            for raw in need(part, "msgs", list, "batch: part"):
                name, values = codec.message(raw)
                if name == "INVENTORY":
                    rows = [codec.checked(row, codec.LISTED, "INVENTORY: members") for row in values[1]]
                    self.lists[values[0]] = rows
                elif name == "POWER_ON":
                    touched = self.instances[who] = Instance(values[0], values[1])
                elif name == "KILLED":
                    self.instances.pop(who, None)
                    touched = None
                elif who not in self.instances:
                    raise BadInput(f"{name}: {who} has had no POWER_ON")
                else:
                    touched = self.instances[who]
                    touched.hear(now, name, values, self.lists)
            if touched is None:
                return None
            touched.due(now)
            actions, touched.actions = touched.actions, []
        except BadInput:
            raise
        except Exception as error:  # a fault in the decisions must be told, never hidden
            log.error("%s: the decisions failed\n%s", who, traceback.format_exc())
            actions = [["CRASH", f"{type(error).__name__}: {error}"]]
        return {"i": who, "actions": actions} if actions else None

    def batch(self, line: bytes) -> bytes:
        try:
            batch = orjson.loads(line)
        except orjson.JSONDecodeError as error:
            raise BadInput(f"batch: no JSON ({error})") from None
        if not isinstance(batch, dict):
            raise BadInput("batch: not an object")
        now = need(batch, "sim_time_us", int, "batch")
        parts = [self.part(now, part) for part in need(batch, "parts", list, "batch")]
        return orjson.dumps({"parts": [part for part in parts if part is not None]})


def main() -> None:
    logging.basicConfig(stream=sys.stderr, level=logging.WARNING, format="larchlatch: %(message)s")
    fleet = Fleet()
    for line in sys.stdin.buffer:
        try:
            reply = fleet.batch(line)
        except BadInput as error:
            log.error("%s", error)
            sys.exit(2)
        sys.stdout.buffer.write(reply + b"\n")
        sys.stdout.buffer.flush()
