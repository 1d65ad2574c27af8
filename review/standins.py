"""Stand-ins for clients, hosts and the platform, and the processes of the project under test.

Everything is on loopback and uses the standard library alone. The pages that the stand-ins follow are
PROTOCOL.md and DEPLOY.md of the users; for clusters, docs/operating-cluster.md.
"""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
LOOPBACK = "127.0.0.1"
BROKEN, HELD, COULD_NOT_RUN = 11, 0, 2  # exit codes; run.sh makes 1 of the first
KEEP_ALIVE_S = 2.0  # of a watch at discovery
ANSWER_SLACK_S = 0.5  # after a request's time its answer only earns nothing; later, or never, it is lost
CLIENT_LINE_EVERY_S = 2.0


class CouldNotRunError(Exception):
    """The case could not be run, so it shows nothing."""


class Record:
    """Writes what was sent, answered and run to `record.txt`, each line with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._started = time.monotonic()

    def add(self, text: str) -> None:
        line = f"{time.monotonic() - self._started:8.3f} {text}"
        self._file.write(line + "\n")
        self._file.flush()

    def say(self, text: str) -> None:
        """Write a line to the record and to standard output."""
        self.add(text)
        print(text, flush=True)

    def close(self) -> None:
        self._file.close()


def free_port(kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((LOOPBACK, 0))
        return int(sock.getsockname()[1])


class Host:
    """A server behind the nodes. It gives each session a receipt, and answers every line of it at once."""

    def __init__(self, name: str, record: Record) -> None:
        self.name = name
        self.port = 0
        self.opened: list[tuple[float, str]] = []  # when each attempt came, and the id of its session
        self._record = record
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0, backlog=1024)
        self.port = int(self._server.sockets[0].getsockname()[1])

    def entry(self) -> dict[str, Any]:
        return {
            "id": self.name,
            "host_port": f"{LOOPBACK}:{self.port}",
            "locality": "a",
            "flavor": "m2",
            "cell": 0,
            "phase": "in_service",
            "size": 1.0,
            "up_since_ms": 0,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while line := await reader.readline():
                if line.startswith(b"OPEN "):
                    ident = line.split()[1].decode()
                    self.opened.append((time.monotonic(), ident))
                    self._record.add(f"{self.name} runs   {ident}: {line.decode().strip()}")
                    writer.write(f"UP {self.name}-{ident}\r\n".encode())
                elif line == b"PING\r\n":
                    writer.write(b"PONG\r\n")
                elif line == b"STATS\r\n":
                    writer.write(b"PONG inflight=1,util=0.10,x0=0.10\r\n")
                else:
                    writer.write(line)
                await writer.drain()
        with contextlib.suppress(OSError):
            writer.close()


class Discovery:
    """The agent that tells one node's machine the list of hosts; it answers at once."""

    def __init__(self, hosts: list[Host]) -> None:
        self.port = 0
        self._hosts = hosts
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        self.port = int(self._server.sockets[0].getsockname()[1])

    def whole_list(self) -> dict[str, Any]:
        return {"revision": 41, "complete": True, "members": [host.entry() for host in self._hosts]}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            head = await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n")
            writer.write(b"Transfer-Encoding: chunked\r\n\r\n")
            self._write_chunk(writer, json.dumps(self.whole_list()).encode() + b"\n")
            if b"watch=1" not in head:
                writer.write(b"0\r\n\r\n")
            while b"watch=1" in head:
                await writer.drain()
                await asyncio.sleep(KEEP_ALIVE_S)
                self._write_chunk(writer, b"\n")
            await writer.drain()
        with contextlib.suppress(OSError):
            writer.close()

    @staticmethod
    def _write_chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
        writer.write(b"%x\r\n%s\r\n" % (len(data), data))


def settings(*, me: int = 0, nodes: int = 4) -> dict[str, Any]:
    """Return the settings of a small deployment, after the example on the users' wire page."""
    return {
        "areas": ["a", "b"],
        "caps": {
            "cancel": True,
            "conn_idle_us": 30_000_000,
            "dial_timeout_us": 250_000,
            "max_retry_after_us": 1_500_000,
            "most_setup_tries": 6,
            "probes": True,
            "retry_after": True,
            "second_copies": False,
        },
        "discovery": "pushed",
        "domain": {
            "groups": True,
            "message_aim_us": [50_000, 150_000],
            "mode": "proxy",
            "tells_delay": True,
            "tells_load": True,
        },
        "me": me,
        "peers_total": nodes,
        "rules": {
            "answer_slack_us": 16_000,
            "ask_within_us": 10_000_000,
            "cold_from": 0.12,
            "cold_us": 20_000_000,
            "drain_grace_us": 500_000,
            "tip_after_us": 1_000_000,
            "tip_multiple": 4.0,
        },
        "tariffs": [
            {
                "name": "status-watch",
                "cut_off_us": 3_000_000,
                "expected_time_us": 500_000,
                "effect": "idempotent",
                "group": "all",
                "repeat_window_us": 5_000_000,
            },
            {
                "name": "repay-watch",
                "cut_off_us": 2_000_000,
                "expected_time_us": 500_000,
                "effect": "idempotent",
                "group": "all",
                "repeat_window_us": 5_000_000,
            },
        ],
        "telemetry": {"fields": ["inflight", "util", "x0"], "via": "probe"},
        "tenants": [{"name": "malanad-bank", "share": 1.0, "allowance_per_s": 0.0}],
        "weights": "nominal",
    }


class Node:
    """One process of the project, started by `run` of the deploy file as the platform starts it."""

    def __init__(
        self, name: str, folder: Path, record: Record, discovery: Discovery, *, me: int = 0, nodes: int = 4
    ) -> None:
        self.name = name
        self.port = free_port()
        self.control = free_port()
        self.folder = folder / name
        self.folder.mkdir()
        self.log = self.folder / "log.txt"
        self._record = record
        self._process: subprocess.Popen[bytes] | None = None
        self.config: dict[str, Any] = {
            "name": name,
            "listen": f"{LOOPBACK}:{self.port}",
            "control": f"{LOOPBACK}:{self.control}",
            "discovery": f"{LOOPBACK}:{discovery.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": discovery.whole_list(),
            "settings": settings(me=me, nodes=nodes),
        }

    def start(self, arguments: str = "") -> None:
        """Start the process; `arguments` are those of docs/operating-cluster.md, for a cluster."""
        config = self.folder / "config.json"
        config.write_text(json.dumps(self.config))
        temporary = self.folder / "tmp"
        temporary.mkdir(exist_ok=True)
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = {
            key: value for key, value in os.environ.items() if not key.startswith(("EDGE_", "LARCHLATCH_"))
        }
        environment |= {
            "EDGE_NAME": self.name,
            "EDGE_LISTEN": self.config["listen"],
            "EDGE_DISCOVERY": self.config["discovery"],
            "EDGE_CONFIG": str(config),
            "TMPDIR": str(temporary),
        }
        with self.log.open("ab") as log:
            self._process = subprocess.Popen(
                ["/bin/sh", "-c", f"{command} {arguments}".strip()],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self._record.add(f"{self.name} started, process {self._process.pid}")

    @property
    def exit_code(self) -> int | None:
        """The exit code of the process if it has ended."""
        assert self._process is not None
        return self._process.poll()

    def signal(self, number: signal.Signals) -> None:
        assert self._process is not None
        self._record.add(f"{self.name} is sent {number.name}")
        self._process.send_signal(number)

    def kill(self) -> None:
        """End the process that this object started, at the end of the case."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait()

    def log_events(self, event: str) -> list[dict[str, Any]]:
        """Return the rows of the node's log with this event."""
        rows = []
        for line in self.log.read_text(errors="replace").splitlines():
            with contextlib.suppress(ValueError):
                row = json.loads(line)
                if isinstance(row, dict) and row.get("event") == event:
                    rows.append(row)
        return rows

    async def wait_until_ready(self, within_s: float = 30.0) -> None:
        """Wait until the node answers PING with PONG, as fronts do before they send clients."""
        give_up_at = time.monotonic() + within_s
        while time.monotonic() < give_up_at:
            if self.exit_code is not None:
                raise CouldNotRunError(f"{self.name} ended at its start: {self.last_lines()}")
            if await self.answers_ping():
                self._record.add(f"{self.name} is ready")
                return
            await asyncio.sleep(0.05)
        raise CouldNotRunError(f"{self.name} was not ready within {within_s:g} s")

    async def answers_ping(self) -> bool:
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(LOOPBACK, self.port)
                writer.write(b"PING\r\n")
                answer = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return answer == b"PONG\r\n"

    async def readiness(self) -> int:
        """Call `GET /ops/readiness` as operators do; return the HTTP status, or 0 without an answer."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(LOOPBACK, self.control)
                writer.write(b"GET /ops/readiness HTTP/1.1\r\nHost: node\r\n\r\n")
                status_line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return 0
        fields = status_line.split()
        return int(fields[1]) if len(fields) > 1 else 0

    def call_and_reset(self) -> None:
        """Connect to the address for operators as a caller that dies then: its connection is reset."""
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            sock.settimeout(1.0)
            sock.connect((LOOPBACK, self.control))

    def last_lines(self, count: int = 3) -> str:
        return " | ".join(self.log.read_text(errors="replace").splitlines()[-count:])


class ClusterFile:
    """The cluster file of some nodes, each with a key by the command `cluster-key`, on loopback addresses."""

    def __init__(self, folder: Path, nodes: list[Node]) -> None:
        self.nodes = nodes
        self._ports = {node.name: free_port(socket.SOCK_DGRAM) for node in nodes}
        self._keys = {node.name: self._create_key(folder, node) for node in nodes}

    @staticmethod
    def _create_key(folder: Path, node: Node) -> str:
        """Create the key of a node with the project's command, and return the public key that it prints."""
        command = [str(ROOT / ".venv/bin/python"), "-B", "-m", "larchlatch", "cluster-key"]
        result = subprocess.run(
            [*command, "--out", str(folder / f"{node.name}.key")],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=False,
        )
        if result.returncode:
            error = result.stderr.strip().splitlines()[-1:]
            raise CouldNotRunError(f"cluster-key failed; are the packages of a cluster installed? {error}")
        return result.stdout.split()[-1]

    def arguments(self, folder: Path, node: Node) -> str:
        """Return the arguments of `serve` for a node of the cluster."""
        return f"--cluster {node.folder / 'cluster.toml'} --cluster-key {folder / (node.name + '.key')}"

    def write(self, node: Node, head: str, *, without: str = "") -> None:
        """Write a node's file: the operators' settings in `head`, and all nodes but one."""
        lines = [head]
        for other in self.nodes:
            if other.name != without:
                lines += [
                    "[[nodes]]",
                    f'name = "{other.name}"',
                    f'address = "{LOOPBACK}:{self._ports[other.name]}"',
                    f'site = "site-{other.name}"',
                    f'key = "{self._keys[other.name]}"',
                ]
        (node.folder / "cluster.toml").write_text("\n".join(lines) + "\n")


class Client:
    """A client with one connection: it sends its request, and after `UP` a line every two seconds.

    Attributes:
        answer: the first line that came back; empty if there was none.
        lost: why the rule on lost requests and connections is broken for this client; empty if it is kept.

    """

    def __init__(self, ident: str, port: int, record: Record, *, class_name: str = "status-watch") -> None:
        self.ident = ident
        self.answer = ""
        self.lost = ""
        self.asked_at = 0.0
        self._port = port
        self._record = record
        self._class_name = class_name
        self._wait_s = {"repay-watch": 2.0}.get(class_name, 3.0)

    def request(self) -> bytes:
        key = hashlib.sha256(self.ident.encode()).hexdigest()[:16]
        values = f"c={self._class_name},t=malanad-bank,d={int(self._wait_s * 1000)},g={key}"
        return f"OPEN {self.ident} {key} {values}\r\n".encode()

    async def run(self, *, hold_s: float = 0.0) -> None:
        """Ask, and hold the session for a time if it is served."""
        try:
            reader, writer = await asyncio.open_connection(LOOPBACK, self._port)
        except OSError as error:
            self._note(f"could not connect ({error.__class__.__name__})")
            return
        try:
            writer.write(self.request())
            self.asked_at = time.monotonic()
            await self._await_answer(reader)
            if self.answer.startswith("UP ") and hold_s:
                await self._hold(reader, writer, hold_s)
        finally:
            writer.close()

    async def _await_answer(self, reader: asyncio.StreamReader) -> None:
        line = b""
        try:
            async with asyncio.timeout(self._wait_s + ANSWER_SLACK_S):
                line = await reader.readline()
        except TimeoutError:
            self._lose("no answer in its time and half a second more")
            return
        except OSError as error:
            self._lose(f"its connection was reset before an answer ({error.__class__.__name__})")
            return
        self.answer = line.decode().strip()
        if not line.endswith(b"\n"):
            self._lose("its connection was closed with no answer")
            return
        self._note(f"answered {self.answer!r} after {time.monotonic() - self.asked_at:.3f} s")

    async def _hold(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, hold_s: float) -> None:
        end_at = time.monotonic() + hold_s
        while time.monotonic() < end_at:
            writer.write(b"hello\r\n")
            try:
                async with asyncio.timeout(7.0):
                    line = await reader.readline()
            except (OSError, TimeoutError) as error:
                self._lose(f"its session was cut off without MOVE ({error.__class__.__name__})")
                return
            if line == b"MOVE\r\n":
                self._note("moved")
                return
            if not line:
                self._lose("its session was ended without MOVE, and its host still answers")
                return
            await asyncio.sleep(min(CLIENT_LINE_EVERY_S, max(0.0, end_at - time.monotonic())))

    def _note(self, text: str) -> None:
        self._record.add(f"client {self.ident}: {text}")

    def _lose(self, reason: str) -> None:
        self.lost = reason
        self._note(f"LOST: {reason}")


Case = Callable[[Record, Path, list[Node], bool], Awaitable[bool]]


def main(folder: Path, case: Case, *, at_most_s: float = 110.0) -> None:
    """Run a case and exit with its result."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))  # ends the processes too
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    record.say(f"TROUBLE={int(trouble)}")
    temporary = Path(tempfile.mkdtemp(prefix="review-"))
    nodes: list[Node] = []
    result = COULD_NOT_RUN

    async def run() -> bool:
        async with asyncio.timeout(at_most_s):
            return await case(record, temporary, nodes, trouble)

    try:
        result = BROKEN if asyncio.run(run()) else HELD
        record.say("the rule was broken" if result == BROKEN else "the rule held")
    except Exception as error:  # a fault of the stand-ins shows nothing about the project
        record.say(f"could not run: {error!r}")
        record.add(traceback.format_exc())
    finally:
        for node in nodes:
            node.kill()
            if not node.log.exists():
                continue
            for line in node.log.read_text(errors="replace").splitlines():
                record.add(f"log of {node.name}: {line}")
        shutil.rmtree(temporary, ignore_errors=True)
        record.close()
    sys.exit(result)
