"""The loop: batches in, replies out; per instance the links in hand and the timers."""

from __future__ import annotations

import logging
import random
import sys
import traceback
from typing import Any

import orjson

from larchlatch.config.deployment import read_deployment_settings
from larchlatch.config.reading import one_of, required
from larchlatch.errors import InvalidInputError, ProtocolError
from larchlatch.policy.balancer import Balancer
from larchlatch.policy.driver import Driver
from larchlatch.policy.types import Endpoint, Outcome, ProbeResult, Session
from larchlatch.simulator_adapter import codec

log = logging.getLogger("larchlatch")


class Instance(Driver):
    """One node: its brain, the links in its hands and its timers; nothing is shared with another."""

    def __init__(self, seed: int, conf: dict[str, Any]) -> None:
        self.settings = read_deployment_settings(conf, "POWER_ON: conf")
        self.balancer = Balancer(self.settings, random.Random(seed))
        super().__init__(self.balancer)
        self.traffic_classes = {
            required(traffic_class, "name", str, "POWER_ON: conf.tariffs"): place
            for place, traffic_class in enumerate(conf["tariffs"])
        }
        self.zones = {name: place for place, name in enumerate(conf["areas"])}
        self.upstreams: dict[str, int] = {}
        self.names: list[str] = []
        self.in_hand: dict[str, Session] = {}
        self.handles: dict[int, str] = {}
        self.numbers = 0
        self.wake_at = 0
        self.actions: list[list[Any]] = []

    def upstream(self, name: str) -> int:
        number = self.upstreams.get(name)
        if number is None:
            number = self.upstreams[name] = len(self.names)
            self.names.append(name)
        return number

    def take(
        self, handle: str, grade: str, key: Any, room: Any, deadline: Any, hint: Any, bits: Any
    ) -> Session:
        if grade not in self.traffic_classes:
            raise ProtocolError("ASK", f"grade names no tariff of the settings ({grade!r})")
        bits = bits or 0
        session = Session(
            self.numbers, self.traffic_classes[grade], key, room, deadline or 0, bool(bits & codec.MID_FLOW)
        )
        if bits & codec.HINT_VALID and hint:
            session.load = float(hint)
        self.numbers += 1
        self.in_hand[handle] = session
        self.handles[session.number] = handle
        return session

    def drop(self, handle: str) -> None:
        session = self.in_hand.pop(handle, None)
        if session is not None:
            self.handles.pop(session.number, None)

    def session(self, number: int) -> Session | None:
        handle = self.handles.get(number)
        return None if handle is None else self.in_hand[handle]

    def send(self, now: int, session: Session, upstream: int, until: int) -> None:
        self.actions.append(["TRANSMIT", self.handles[session.number], self.names[upstream], until])

    def shed(self, now: int, session: Session, back_us: int) -> None:
        handle = self.handles[session.number]
        self.actions.append(["PUSH_BACK", handle, back_us])
        self.drop(handle)

    def give_up(self, now: int, session: Session) -> None:
        handle = self.handles[session.number]
        self.actions.append(["DROP_REQUEST", handle])
        self.drop(handle)

    def probe(self, now: int, upstream: int) -> None:
        self.actions.append(["POLL", self.names[upstream]])

    def move(self, now: int, session: int) -> None:
        self.actions.append(["REASSIGN", self.handles[session]])

    def withdraw(self, now: int, session: int) -> None:
        handle = self.handles[session]
        self.actions.append(["REVOKE", handle, self.in_hand[handle].attempt_count - 1])

    def ask_list(self, now: int) -> None:
        self.actions.append(["TAIL", True])

    def hear(self, now: int, name: str, values: list[Any], lists: dict[int, list[Any]]) -> None:
        balancer = self.balancer
        if name == "ASK":
            handle, grade, hint, key, _, room, deadline, bits = values
            session = self.take(handle, grade, key, room, deadline, hint, bits)
            self.carry_out(now, session, balancer.place(now, session))
        elif name == "UNDER_WAY":
            found = self.in_hand.get(values[0])
            if found is not None:
                balancer.outcome(now, found, Outcome.ESTABLISHED)
        elif name == "ATTEMPT_END":
            handle, _, _, code, _, done, report = values
            outcome = one_of(code, codec.OUTCOMES, "ATTEMPT_END: state_code", error=ProtocolError)
            found = self.in_hand.get(handle)
            if found is not None:
                answer = balancer.outcome(now, found, outcome, answered=done)
                if done:
                    self.drop(handle)
                else:
                    self.carry_out(now, found, answer)
        elif name == "INTERIM":
            handle, upstream, _, what, level = values
            found = self.in_hand.get(handle)
            if found is not None and what == codec.LOAD_NOTE:
                balancer.record_load(now, found, float(level))
            elif found is not None and what == codec.DELAY_NOTE:
                balancer.record_delay(now, found, int(level * 1000))
        elif name == "ECHO":
            code, _, upstream, report = values
            answered = (
                one_of(code, codec.OUTCOMES, "ECHO: state_code", error=ProtocolError) == Outcome.COMPLETED
            )
            figures = ((report or {}).get(name) for name in ("x0", "inflight"))
            utilization, held = (None if figure is None else float(figure) for figure in figures)
            balancer.record_probe(now, self.upstream(upstream), ProbeResult(answered, utilization, held))
        elif name == "CLIENT_GONE":
            found = self.in_hand.get(values[0])
            if found is not None:
                balancer.remove_session(found)
                self.drop(values[0])
        elif name == "EXISTING":
            handle, grade, _, key, deadline, hint, room, bits, upstream = values
            balancer.add_established(
                self.take(handle, grade, key, room, deadline, hint, bits), self.upstream(upstream)
            )
        elif name == "TOPOLOGY":
            self.listed(now, values, lists)

    def listed(self, now: int, values: list[Any], lists: dict[int, list[Any]]) -> None:
        slot, mode, _ = values
        if mode == "error":
            self.balancer.discovery_failed(now)
            return
        if mode not in ("diff", "snapshot", "disk"):
            raise ProtocolError("TOPOLOGY", f"unknown mode {mode!r}")
        if slot not in lists:
            raise ProtocolError("TOPOLOGY", f"slot {slot} names no INVENTORY")
        lines = []
        for upstream, hall, _, pack, state, size, started_at in lists[slot]:
            lines.append(
                Endpoint(
                    self.upstream(upstream),
                    upstream,
                    self.zones.get(hall, -1),
                    -1 if pack is None else pack,
                    one_of(state, codec.STATES, "INVENTORY: lifecycle", error=ProtocolError),
                    float(size) if size and size > 0 else 1.0,
                    started_at or 0,
                )
            )
        self.balancer.update_endpoints(now, lines, whole=mode != "diff", asked=mode != "disk")

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
            raise ProtocolError("batch", "a part is not an object")
        who = required(part, "i", str, "batch: part", error=ProtocolError)
        touched = None
        try:
            for raw in required(part, "msgs", list, "batch: part", error=ProtocolError):
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
                    raise ProtocolError(name, f"{who} has had no POWER_ON")
                else:
                    touched = self.instances[who]
                    touched.hear(now, name, values, self.lists)
            if touched is None:
                return None
            touched.due(now)
            actions, touched.actions = touched.actions, []
        except InvalidInputError:
            raise
        except Exception as error:  # a fault in the decisions must be told, never hidden
            log.error("%s: the decisions failed\n%s", who, traceback.format_exc())
            actions = [["CRASH", f"{type(error).__name__}: {error}"]]
        return {"i": who, "actions": actions} if actions else None

    def batch(self, line: bytes) -> bytes:
        try:
            batch = orjson.loads(line)
        except orjson.JSONDecodeError as error:
            raise ProtocolError("batch", f"no JSON ({error})") from None
        if not isinstance(batch, dict):
            raise ProtocolError("batch", "not an object")
        now = required(batch, "sim_time_us", int, "batch", error=ProtocolError)
        parts = [
            self.part(now, part) for part in required(batch, "parts", list, "batch", error=ProtocolError)
        ]
        return orjson.dumps({"parts": [part for part in parts if part is not None]})


def main() -> None:
    logging.basicConfig(stream=sys.stderr, level=logging.WARNING, format="larchlatch: %(message)s")
    fleet = Fleet()
    for line in sys.stdin.buffer:
        try:
            reply = fleet.batch(line)
        except InvalidInputError as error:
            log.error("%s", error)
            sys.exit(2)
        sys.stdout.buffer.write(reply + b"\n")
        sys.stdout.buffer.flush()
