"""Nodes that know of each other, as real processes: their cluster files, and the switchboard between them."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Sequence
from contextlib import suppress
from pathlib import Path
from typing import Any

import orjson

from larchlatch.cluster.file import new_secret
from larchlatch.days.agreement import Agreement
from larchlatch.days.day import Day
from larchlatch.days.paths import Manner, Part, Paths
from larchlatch.node.clock import now_us

READ_S = 0.02  # between two looks at the nodes' logs
END_S = 10.0  # for the switchboard to say what went through


class Company:
    def __init__(self, day: Day, address: str, folder: Path, ports: list[int]) -> None:
        self.day = day
        self.address = address
        self.folder = folder
        self.ports = ports
        self.names = [f"n{number}" for number in range(len(ports))]
        self.places = {name: number for number, name in enumerate(self.names)}
        self.board: asyncio.subprocess.Process | None = None
        self.turn = asyncio.Lock()  # orders are answered one by one
        self.paths = Paths(None)  # as ordered: what the switchboard does by now
        self.running = [False] * len(ports)
        self.agreement = Agreement(len(ports), now_us())
        self.read_upto = [0] * len(ports)
        self.told: dict[str, int] = {}

    async def open(self) -> None:
        """Start the switchboard, and write each node's file: it reaches the others by its own relays."""
        self.board = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "larchlatch.load.switchboard",
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        relays = await self.ask({"address": self.address, "seed": self.day.seed, "ports": self.ports})
        keys = [new_secret(self.folder / f"{name}.key") for name in self.names]
        for one, name in enumerate(self.names):
            lines = [f"beat_ms = {self.day.cluster.beat_ms}"]
            for other, key in enumerate(keys):
                port = self.ports[other] if other == one else relays[one][other]
                lines += [
                    "[[nodes]]",
                    f'name = "{self.names[other]}"',
                    f'address = "{self.address}:{port}"',
                    f'site = "z{other % self.day.zones}"',
                    f'key = "{key}"',
                ]
            self.file(name).write_text("\n".join(lines) + "\n")

    def file(self, name: str) -> Path:
        return self.folder / f"{name}.cluster.toml"

    def arguments(self, number: int) -> list[str]:
        """What a node is started with, beside all else."""
        name = self.names[number]
        return ["--cluster", str(self.file(name)), "--cluster-key", str(self.folder / f"{name}.key")]

    async def ask(self, order: dict[str, Any]) -> Any:
        """Give an order, and wait until it is carried out."""
        assert self.board is not None and self.board.stdin is not None and self.board.stdout is not None
        async with self.turn:
            self.board.stdin.write(orjson.dumps(order) + b"\n")
            answer = await self.board.stdout.readline()
        return None if answer == b"done\n" else orjson.loads(answer)

    async def close(self) -> None:
        if self.board is None or self.board.returncode is not None:
            return
        assert self.board.stdin is not None and self.board.stdout is not None
        self.board.stdin.close()
        with suppress(TimeoutError):
            async with asyncio.timeout(END_S):
                self.told = orjson.loads(await self.board.stdout.readline())
                await self.board.wait()
        if self.board.returncode is None:
            self.board.kill()
            await self.board.wait()

    # What befalls it.

    def judge(self) -> None:
        self.agreement.is_so(now_us(), self.running, self.paths.apart)

    def starts(self, number: int) -> None:
        """A node's process is about to start: what it says from then on is of a new life."""
        self.read()
        self.agreement.began(now_us(), number)

    def runs(self, number: int, running: bool) -> None:
        """A node's process runs from now on, or no longer."""
        self.running[number] = running
        self.judge()

    async def part(self, nodes: Sequence[int], oneway: bool) -> None:
        await self.ask({"part": list(nodes), "oneway": oneway})
        self.paths.parts.append(Part(frozenset(nodes), oneway))
        self.judge()

    async def join(self, nodes: Sequence[int], oneway: bool) -> None:
        await self.ask({"join": list(nodes), "oneway": oneway})
        self.paths.parts.remove(Part(frozenset(nodes), oneway))
        self.judge()

    async def treat(self, manner: Manner) -> None:
        told = {"loss": manner.loss, "double": manner.double, "reorder": manner.reorder}
        await self.ask({"manner": {**told, "delay_us": manner.delay_us}})

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
                if b'"member"' in line:
                    row = orjson.loads(line)
                    if row.get("event") == "member" and "name" in row:
                        present = row["state"] == "present"
                        self.agreement.said(now_us(), number, self.places[row["name"]], present)

    def row(self) -> dict[str, Any]:
        span = self.day.span_s * len(self.ports)
        return {**self.agreement.row(), "cluster_bytes_s": round(self.told.get("bytes", 0) / span)}
