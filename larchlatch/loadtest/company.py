"""Nodes that know of each other, as real processes: their cluster files, and the switchboard between them."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable, Sequence
from dataclasses import asdict
from datetime import datetime
from pathlib import Path
from typing import Any

import orjson

from larchlatch.cluster.keys import create_secret
from larchlatch.cluster.quota.counts import WINDOWS
from larchlatch.invariants.membership_agreement import Agreement
from larchlatch.invariants.quota_safety import spending_of
from larchlatch.invariants.single_leader import row_of, tenures_of
from larchlatch.invariants.upstream_avoidance import Avoidance
from larchlatch.loadtest.board import Board
from larchlatch.loadtest.sites import number_of
from larchlatch.node.clock import now_us
from larchlatch.scenario.amounts import SECOND, us
from larchlatch.scenario.faults import PUPPETS
from larchlatch.scenario.paths import Manner, Part, Paths
from larchlatch.scenario.puppets import ORDERS
from larchlatch.scenario.scenario import Day

# Of the nodes' logs these lines are read.
FOLLOWED = (
    b'"member_state_changed"',
    b'"upstream_unreachable"',
    b'"upstream_ejection_advised"',
    b'"quota_status"',
    b'"order_executed"',
    b'"role_acquired"',
    b'"role_ended"',
)
READ_S = 0.02  # between two looks at the nodes' logs


class Company:
    def __init__(
        self,
        day: Day,
        address: str,
        folder: Path,
        nodes: list[tuple[str, int]],
        reach: Callable[[int, int], bool],
    ) -> None:
        """nodes: where each listens; reach: whether a node's zone and a host are not cut off."""
        self.day = day
        self.address = address
        self.folder = folder
        self.nodes = nodes
        self.reach = reach
        self.names = [f"n{number}" for number in range(len(nodes))]
        self.places = {name: number for number, name in enumerate(self.names)}
        self.board = Board("larchlatch.loadtest.switchboard")
        self.paths = Paths(None)  # as ordered: what the switchboard does by now
        self.running = [False] * len(nodes)
        self.agreement = Agreement(len(nodes), now_us())
        self.read_upto = [0] * len(nodes)
        self.told: dict[str, int] = {}
        self.orders: list[dict[str, float | str]] = [{"skew": 0.0, "about": ""} for _ in nodes]
        self.relays: list[list[int]] = []
        self.keys: list[str] = []
        self.expelled: set[int] = set()  # nodes that the files lack
        self.spending = spending_of(day)
        self.avoidance = Avoidance()
        self.tenures = tenures_of(day, now_us())

    async def open(self) -> None:
        """Start the switchboard, and write each node's file: it reaches the others by its own relays."""
        first = {"address": self.address, "seed": self.day.seed, "nodes": self.nodes}
        self.relays = await self.board.open(first)
        self.keys = [create_secret(self.folder / f"{name}.key") for name in self.names]
        for one in range(len(self.names)):
            self.write(one)

    def write(self, one: int) -> None:
        """A node's file."""
        lines = self.head()
        for other, key in enumerate(self.keys):
            if other in self.expelled:
                continue
            host, port = self.nodes[other] if other == one else (self.address, self.relays[one][other])
            lines += [
                "[[nodes]]",
                f'name = "{self.names[other]}"',
                f'address = "{host}:{port}"',
                f'site = "z{other % self.day.zones}"',
                f'key = "{key}"',
            ]
        self.file(self.names[one]).write_text("\n".join(lines) + "\n")

    def head(self) -> list[str]:
        """What the cluster file says beside the nodes."""
        cluster = self.day.cluster
        if not cluster.sessions_per_s:
            return [f"beat_ms = {cluster.beat_ms}", f"skew = {cluster.skew}", *self.duties()]
        traffic_classes = ", ".join(f'"t{place}"' for place in range(len(self.day.sessions.effects)))
        return [
            f"beat_ms = {cluster.beat_ms}",
            f"floor = {cluster.floor}",
            f"window_ms = {round(cluster.window_s * 1000)}",
            f"term_ms = {round(cluster.term_s * 1000)}",
            f"skew = {cluster.skew}",
            "[[budgets]]",
            'name = "all"',
            f"links_per_s = {cluster.sessions_per_s}",
            f"tariffs = [{traffic_classes}]",
            *self.duties(),
        ]

    def duties(self) -> list[str]:
        cluster = self.day.cluster
        if not (cluster.allot or cluster.pace):
            return []
        electors = ", ".join(f'"{name}"' for name in self.names[: cluster.electors])
        term_ms = round(cluster.term_s * 1000)
        does = ["allot = true"] * cluster.allot + ["pace = true"] * cluster.pace
        return ["[duties]", f"electors = [{electors}]", f"term_ms = {term_ms}", *does]

    def file(self, name: str) -> Path:
        return self.folder / f"{name}.cluster.toml"

    def arguments(self, number: int) -> list[str]:
        """What a node is started with, beside all else."""
        name = self.names[number]
        return ["--cluster", str(self.file(name)), "--cluster-key", str(self.folder / f"{name}.key")]

    @property
    def module(self) -> str:
        """What is run as a node: where the day wants it, one that can be made to do wrong, and tells more."""
        puppets = self.day.cluster.pace or any(isinstance(fault, PUPPETS) for fault in self.day.faults)
        return "larchlatch.loadtest.puppet" if puppets else "larchlatch"

    def environment(self, number: int) -> dict[str, str]:
        return {ORDERS: str(self.orders_of(number))}

    def orders_of(self, number: int) -> Path:
        return self.folder / f"{self.names[number]}.orders.json"

    def order(self, number: int, process: asyncio.subprocess.Process, **changes: float | str) -> None:
        """Make a node's process do what no sound one does."""
        self.orders[number].update(changes)
        self.orders_of(number).write_bytes(orjson.dumps(self.orders[number]))
        process.send_signal(signal.SIGUSR2)

    async def close(self) -> None:
        self.told = await self.board.close()

    # What befalls it.

    def judge(self) -> None:
        self.agreement.is_so(now_us(), self.running, self.paths.apart)
        for tenures in self.tenures.values():
            tenures.is_so(now_us(), self.running, self.paths.apart)

    def starts(self, number: int) -> None:
        """A node's process is about to start: what it says from then on is of a new life."""
        self.read()
        self.agreement.began(now_us(), number)
        for tenures in self.tenures.values():
            tenures.held(now_us(), number, False)

    def runs(self, number: int, running: bool) -> None:
        """A node's process runs from now on, or no longer."""
        self.running[number] = running
        self.avoidance.runs(now_us(), number, running)
        self.judge()

    async def part(self, nodes: Sequence[int], oneway: bool) -> None:
        await self.board.ask({"part": list(nodes), "oneway": oneway})
        self.paths.parts.append(Part(frozenset(nodes), oneway))
        self.judge()

    async def join(self, nodes: Sequence[int], oneway: bool) -> None:
        await self.board.ask({"join": list(nodes), "oneway": oneway})
        self.paths.parts.remove(Part(frozenset(nodes), oneway))
        self.judge()

    async def treat(self, manner: Manner) -> None:
        await self.board.ask({"manner": asdict(manner)})

    # What nodes say.

    async def follow(self) -> None:
        """Read from the nodes' logs whom they take for present."""
        while True:
            self.read()
            await asyncio.sleep(READ_S)

    def read(self) -> None:
        for number, name in enumerate(self.names):
            path = self.folder / f"{name}.log"
            if not path.exists():
                continue
            with path.open("rb") as log:
                log.seek(self.read_upto[number])
                text = log.read()
            whole = text[: text.rfind(b"\n") + 1]
            self.read_upto[number] += len(whole)
            for line in whole.splitlines():
                if any(event in line for event in FOLLOWED):
                    self.said(number, orjson.loads(line))

    def said(self, number: int, row: dict[str, Any]) -> None:
        """One line of a node's log."""
        match row:
            case {"event": "member_state_changed", "name": name, "state": state}:
                self.agreement.said(now_us(), number, self.places[name], state == "present")
            case {"event": "upstream_unreachable", "upstream": upstream}:
                self.avoidance.found(now_us(), number, number_of(upstream))
            case {"event": "upstream_ejection_advised", "upstream": upstream}:
                reached = self.reach(number % self.day.zones, number_of(upstream))
                self.avoidance.left_out(now_us(), number_of(upstream), reached)
            case {"event": "order_executed", "role": role, "lease": lease}:
                self.tenures[role].carried_out(lease)
            case {"event": "role_acquired" | "role_ended" as event, "role": role}:
                self.tenures[role].held(now_us(), number, event == "role_acquired")
            case {"event": "quota_status", "fleet_least": least, "fleet_most": most, "timestamp": at}:
                assert self.spending is not None
                # By the line's own time: a range that is read later is not one of later links.
                told_us = datetime.fromisoformat(at).timestamp() * SECOND
                span_us = WINDOWS * us(self.day.cluster.window_s)
                self.spending.told(round(told_us), least, most, span_us)

    def row(self) -> dict[str, Any]:
        span = self.day.span_s * len(self.nodes)
        return {
            **self.agreement.row(),
            **(self.spending.row() if self.spending is not None else {}),
            **self.avoidance.row(now_us()),
            **row_of(self.tenures, now_us()),
            "cluster_bytes_s": round(self.told.get("bytes", 0) / span),
        }
