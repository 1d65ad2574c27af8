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
from larchlatch.invariants.observations import (
    FleetChanged,
    MemberReported,
    NodeStarted,
    OrderExecuted,
    QuotaUsageReported,
    RoleChanged,
    UpstreamEjected,
    UpstreamFailureDetected,
)
from larchlatch.invariants.scenario_checkers import ClusterCheckers
from larchlatch.loadtest.board import Board
from larchlatch.loadtest.sites import number_of
from larchlatch.node.clock import now_us
from larchlatch.scenario.amounts import SECOND, us
from larchlatch.scenario.byzantine_exchange import ORDERS_VARIABLE
from larchlatch.scenario.datagram_paths import DatagramPaths, PartitionedNodes, PathImpairment
from larchlatch.scenario.faults import SELF_INFLICTED
from larchlatch.scenario.scenario import Scenario

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
        day: Scenario,
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
        self.paths = DatagramPaths(None)  # as ordered: what the switchboard does by now
        self.running = [False] * len(nodes)
        self.checkers = ClusterCheckers(day, now_us())
        self.read_upto = [0] * len(nodes)
        self.told: dict[str, int] = {}
        self.orders: list[dict[str, float | str]] = [{"skew": 0.0, "about": ""} for _ in nodes]
        self.relays: list[list[int]] = []
        self.keys: list[str] = []
        self.expelled: set[int] = set()  # nodes that the files lack

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
            return [f"beat_ms = {cluster.heartbeat_ms}", f"skew = {cluster.max_clock_skew}", *self.duties()]
        traffic_classes = ", ".join(f'"t{place}"' for place in range(len(self.day.sessions.idempotencies)))
        return [
            f"beat_ms = {cluster.heartbeat_ms}",
            f"floor = {cluster.floor}",
            f"window_ms = {round(cluster.window_s * 1000)}",
            f"term_ms = {round(cluster.term_s * 1000)}",
            f"skew = {cluster.max_clock_skew}",
            "[[budgets]]",
            'name = "all"',
            f"links_per_s = {cluster.sessions_per_s}",
            f"tariffs = [{traffic_classes}]",
            *self.duties(),
        ]

    def duties(self) -> list[str]:
        cluster = self.day.cluster
        if not (cluster.quota_allocator or cluster.token_issuer):
            return []
        electors = ", ".join(f'"{name}"' for name in self.names[: cluster.electors])
        term_ms = round(cluster.term_s * 1000)
        does = ["allot = true"] * cluster.quota_allocator + ["pace = true"] * cluster.token_issuer
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
        puppets = self.day.cluster.token_issuer or any(
            isinstance(fault, SELF_INFLICTED) for fault in self.day.faults
        )
        return "larchlatch.loadtest.puppet" if puppets else "larchlatch"

    def environment(self, number: int) -> dict[str, str]:
        return {ORDERS_VARIABLE: str(self.orders_of(number))}

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
        self.checkers.observe(FleetChanged(now_us(), self.running, self.paths.is_blocked))

    def starts(self, number: int) -> None:
        """A node's process is about to start: what it says from then on is of a new life."""
        self.read()
        self.checkers.observe(NodeStarted(now_us(), number))
        for role in self.checkers.leaders:
            self.checkers.observe(RoleChanged(now_us(), role, number, held=False))

    def runs(self, number: int, running: bool) -> None:
        """A node's process runs from now on, or no longer."""
        self.running[number] = running
        self.judge()

    async def part(self, nodes: Sequence[int], oneway: bool) -> None:
        await self.board.ask({"part": list(nodes), "oneway": oneway})
        self.paths.partitions.append(PartitionedNodes(frozenset(nodes), oneway))
        self.judge()

    async def join(self, nodes: Sequence[int], oneway: bool) -> None:
        await self.board.ask({"join": list(nodes), "oneway": oneway})
        self.paths.partitions.remove(PartitionedNodes(frozenset(nodes), oneway))
        self.judge()

    async def treat(self, manner: PathImpairment) -> None:
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
                member = self.places[name]
                self.checkers.observe(MemberReported(now_us(), number, member, state == "present"))
            case {"event": "upstream_unreachable", "upstream": upstream}:
                self.checkers.observe(UpstreamFailureDetected(now_us(), number, number_of(upstream)))
            case {"event": "upstream_ejection_advised", "upstream": upstream}:
                reached = self.reach(number % self.day.zones, number_of(upstream))
                self.checkers.observe(UpstreamEjected(now_us(), number_of(upstream), reached))
            case {"event": "order_executed", "role": role, "lease": lease}:
                self.checkers.observe(OrderExecuted(now_us(), role, lease))
            case {"event": "role_acquired" | "role_ended" as event, "role": role}:
                held = event == "role_acquired"
                self.checkers.observe(RoleChanged(now_us(), role, number, held))
            case {"event": "quota_status", "fleet_least": least, "fleet_most": most, "timestamp": at}:
                # By the line's own time: a range that is read later is not one of later links.
                told_us = datetime.fromisoformat(at).timestamp() * SECOND
                span_us = WINDOWS * us(self.day.cluster.window_s)
                self.checkers.observe(QuotaUsageReported(round(told_us), least, most, span_us))

    def row(self) -> dict[str, Any]:
        span = self.day.span_s * len(self.nodes)
        return {
            **self.checkers.figures(now_us()),
            "cluster_bytes_s": round(self.told.get("bytes", 0) / span),
        }
