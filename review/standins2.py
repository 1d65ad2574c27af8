"""Stand-ins for the cases 6 and up: hosts, the discovery agent, clients, and the processes of nodes.

They speak the users' protocol (PROTOCOL.md) and nothing else, with the standard library alone. All addresses
are loopback addresses, all ports are chosen by the operating system.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from contextlib import suppress
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
LOOPBACK = "127.0.0.1"
KEEP_ALIVE_S = 2.0  # PROTOCOL.md: "While nothing changes, an empty line comes every 2 s."
ANSWER_SLACK_S = (
    0.55  # STANDING.md: half a second after its time a request is lost; PROTOCOL.md: 50 ms on sockets
)

BROKEN, HELD, NOT_RUN = 11, 0, 2  # exit codes; run.sh makes 1 of the first
LONGEST_PLAY_S = 105.0  # a case that takes longer could not run


class NotRunError(Exception):
    """The case could not run: a process did not start, or a stand-in was too slow."""


def trouble() -> bool:
    """Return whether the case is played with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port() -> int:
    """Return a port that was free on the loopback address."""
    with socket.socket() as sock:
        sock.bind((LOOPBACK, 0))
        return int(sock.getsockname()[1])


class Record:
    """The file record.txt of a case: one line for each thing that was sent, answered or run."""

    def __init__(self, folder: Path) -> None:
        self.began = time.monotonic()
        self._file = (folder / "record.txt").open("w", encoding="utf-8")

    def now(self) -> float:
        return time.monotonic() - self.began

    def note(self, text: str) -> None:
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        self._file.close()


class Host:
    """A host that serves each connection: it answers probes, says UP, and brings each line back at once."""

    def __init__(self, ident: str, record: Record, zone: str = "a", cell: int = 0, size: float = 1.0) -> None:
        self.ident = ident
        self.size = size
        self.zone = zone
        self.cell = cell
        self.port = 0
        self.phase = "in_service"
        self.attempts: list[tuple[float, str]] = []  # when an attempt's last byte came, and its id
        self.probes = 0
        self.probe_connections = 0  # connections that began with a probe and are still open
        self.held = 0  # connections that are up now
        self._record = record
        self._server: asyncio.Server | None = None

    async def start(self) -> Host:
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0, backlog=512)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def entry(self) -> dict[str, Any]:
        return {
            "id": self.ident,
            "host_port": f"{LOOPBACK}:{self.port}",
            "locality": self.zone,
            "flavor": "m2",
            "cell": self.cell,
            "phase": self.phase,
            "size": self.size,
            "up_since_ms": 0,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        probing = up = False
        try:
            line = await reader.readline()
            probing = line in (b"PING\r\n", b"STATS\r\n")
            self.probe_connections += probing
            while line in (b"PING\r\n", b"STATS\r\n"):
                self.probes += 1
                report = f" inflight={self.held},util=0.10,x0={0.01 * self.held:.2f}"
                writer.write(b"PONG" + (report.encode() if line == b"STATS\r\n" else b"") + b"\r\n")
                line = await reader.readline()
            if line.endswith(b"\n") and line.startswith(b"OPEN "):
                ident = line.split()[1].decode()
                self.attempts.append((self._record.now(), ident))
                self._record.note(f"host {self.ident} got an attempt for {ident}")
                up = True
                self.held += 1
                await self.answer(ident, reader, writer)
            elif line:
                writer.write(b"SYNTAX\r\n")
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass  # the node has ended the connection, or the case is over
        finally:
            self.probe_connections -= probing
            self.held -= up
            writer.close()

    async def answer(self, ident: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection from its attempt on, until the node ends it."""
        writer.write(f"UP receipt-{ident}\r\n".encode())
        while line := await reader.readline():
            writer.write(line)
            await writer.drain()


class Discovery:
    """The discovery agent on the node's machine: it answers at once and pushes each change."""

    def __init__(self, record: Record) -> None:
        self.revision = 1
        self.hosts: dict[str, Host] = {}
        self.port = 0
        self.down = False  # "is silent while discovery is down"
        self.whole_first = False  # whether a watch begins with the whole list, not with what changed
        self._record = record
        self._changes: list[tuple[int, dict[str, Any]]] = []
        self._changed = asyncio.Event()

    async def start(self) -> Discovery:
        server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        self.port = server.sockets[0].getsockname()[1]
        return self

    def add(self, *hosts: Host) -> None:
        """Add hosts to the list that the nodes have at their start."""
        self.hosts |= {host.ident: host for host in hosts}

    def change(self, host: Host, phase: str) -> None:
        """Tell a change of a host: a new one, one that drains, or one that is gone."""
        host.phase = phase
        self.revision += 1
        self._changes.append((self.revision, host.entry()))
        if phase == "terminated":
            self.hosts.pop(host.ident, None)
        else:
            self.hosts[host.ident] = host
        self._record.note(f"discovery tells that {host.ident} is {phase}")
        self._changed.set()
        self._changed = asyncio.Event()

    def whole(self) -> dict[str, Any]:
        members = [host.entry() for host in self.hosts.values()]
        return {"revision": self.revision, "complete": True, "members": members}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            while self.down:
                await asyncio.sleep(0.05)
            target = head.split()[1]
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            if "watch=1" not in target:
                self._send(writer, self.whole())
                writer.write(b"0\r\n\r\n")
                await writer.drain()
                return
            known = int(target.partition("from=")[2].split("&")[0] or 0)
            if self.whole_first or known > self.revision:
                self._send(writer, self.whole())
                known = self.revision
            while True:
                rows = {row["id"]: row for number, row in self._changes if number > known}
                changed = self._changed
                if rows:
                    known = self.revision
                    self._send(writer, {"revision": known, "complete": False, "members": list(rows.values())})
                await writer.drain()
                with suppress(TimeoutError):
                    await asyncio.wait_for(changed.wait(), KEEP_ALIVE_S)
                    continue
                if not self.down:
                    writer.write(b"1\r\n\n\r\n")
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    @staticmethod
    def _send(writer: asyncio.StreamWriter, update: dict[str, Any]) -> None:
        line = json.dumps(update).encode() + b"\n"
        writer.write(b"%x\r\n%s\r\n" % (len(line), line))


def settings(**changes: Any) -> dict[str, Any]:
    """Return the settings of a small deployment, in the form of WIRE.md."""
    raw: dict[str, Any] = {
        "areas": ["a", "b"],
        "callers": {"marks_retry": True},
        "caps": {
            "cancel": True,
            "conn_idle_us": 30_000_000,
            "dial_timeout_us": 250_000,
            "max_retry_after_us": 1_500_000,
            "most_setup_tries": 6,
            "peers": False,
            "probes": True,
            "retry_after": True,
            "second_copies": False,
        },
        "discovery": "pushed",
        "domain": {
            "groups": False,
            "message_aim_us": [50_000.0, 150_000.0],
            "mode": "proxy",
            "park_us": 0,
            "tells_delay": True,
            "tells_load": True,
        },
        "kind_of_service": "conn",
        "me": 0,
        "my_zone": "a",
        "peers_total": 2,
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
                "stream": True,
            },
            {
                "name": "pay-once",
                "cut_off_us": 3_000_000,
                "expected_time_us": 500_000,
                "effect": "at_most_once",
                "group": "all",
                "repeat_window_us": 5_000_000,
                "stream": True,
            },
        ],
        "telemetry": {"fields": ["inflight", "util", "x0"], "via": "probe"},
        "tenants": [],
        "weights": "nominal",
    }
    for name, value in changes.items():
        raw[name] = {**raw[name], **value} if isinstance(value, dict) else value
    return raw


class Node:
    """One node, started as the deploy file's `run` says, with its configuration in a temporary folder."""

    def __init__(
        self,
        name: str,
        folder: Path,
        discovery: Discovery,
        record: Record,
        *,
        sockets: int,
        settings_changes: dict[str, Any] | None = None,
        arguments: str = "",
    ) -> None:
        self.name = name
        self.port = free_port()
        self.config = folder / f"{name}.json"
        self.tmp = folder / f"{name}-tmp"
        self.tmp.mkdir(exist_ok=True)
        self.log = folder / f"{name}.log"
        self.processes: list[subprocess.Popen[bytes]] = []
        self._record = record
        self._arguments = arguments
        self.content = {
            "name": name,
            "listen": f"{LOOPBACK}:{self.port}",
            "discovery": f"{LOOPBACK}:{discovery.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 2048, "sockets": sockets},
            "known": discovery.whole(),
            "settings": settings(**(settings_changes or {})),
        }
        self.write()

    def write(self) -> None:
        self.config.write_text(json.dumps(self.content))

    def start(self, control: int | None = None) -> subprocess.Popen[bytes]:
        """Start one process of the node; `control` is the port of its door for operators."""
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        command += self._arguments
        environment = {
            **os.environ,
            "EDGE_NAME": self.name,
            "EDGE_LISTEN": str(self.content["listen"]),
            "EDGE_DISCOVERY": str(self.content["discovery"]),
            "EDGE_CONFIG": str(self.config),
            "TMPDIR": str(self.tmp),
        }
        if control is not None:
            environment["EDGE_CONTROL"] = f"{LOOPBACK}:{control}"
        with self.log.open("ab") as log:
            process = subprocess.Popen(  # DEPLOY.md: by /bin/sh -c, from the root
                ["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.processes.append(process)
        self._record.note(f"node {self.name}: process {process.pid} started")
        return process

    async def until_ready(self, within_s: float = 15.0) -> None:
        """Wait until the node answers PING with PONG, as a front does."""
        end = time.monotonic() + within_s
        while time.monotonic() < end:
            if await ping(self.port) == b"PONG\r\n":
                self._record.note(f"node {self.name}: ready")
                return
            await asyncio.sleep(0.1)
        raise NotRunError(f"{self.name} was not ready within {within_s:g} s")

    def signal(self, number: signal.Signals, process: subprocess.Popen[bytes] | None = None) -> None:
        target = process or self.processes[-1]
        self._record.note(f"node {self.name}: {number.name} to process {target.pid}")
        target.send_signal(number)

    def end(self) -> None:
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()


async def ping(port: int, within_s: float = 1.0) -> bytes:
    """Return the answer to a front's PING; empty if there is none."""
    writer = None
    try:
        async with asyncio.timeout(within_s):
            reader, writer = await asyncio.open_connection(LOOPBACK, port)
            writer.write(b"PING\r\n")
            return await reader.readline()
    except (OSError, TimeoutError):
        return b""
    finally:
        if writer is not None:
            writer.close()


async def readiness(port: int, within_s: float = 1.0) -> int:
    """Return the status of GET /ops/readiness; 0 if there is no answer."""
    writer = None
    try:
        async with asyncio.timeout(within_s):
            reader, writer = await asyncio.open_connection(LOOPBACK, port)
            writer.write(b"GET /ops/readiness HTTP/1.1\r\nHost: ops\r\n\r\n")
            return int((await reader.readline()).split()[1])
    except (OSError, TimeoutError, IndexError, ValueError):
        return 0
    finally:
        if writer is not None:
            writer.close()


def cluster_file(folder: Path, quota_per_s: int, **values: float) -> Path:
    """Write the cluster file and the keys of two nodes, n0 and n1; return its path."""
    text = "".join(f"{key} = {value}\n" for key, value in values.items())
    text += f'\n[[budgets]]\nname = "evening"\nlinks_per_s = {quota_per_s}\ntariffs = ["status-watch"]\n'
    for name in ("n0", "n1"):
        key = folder / f"{name}.key"
        command = [".venv/bin/python", "-B", "-m", "larchlatch", "cluster-key", "--out", str(key)]
        made = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
        if made.returncode:
            raise NotRunError(f"no key: {made.stderr}")
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.bind((LOOPBACK, 0))
            port = sock.getsockname()[1]
        public = made.stdout.split()[-1].strip('"')
        text += f'\n[[nodes]]\nname = "{name}"\naddress = "{LOOPBACK}:{port}"\nsite = "a"\nkey = "{public}"\n'
    path = folder / "cluster.toml"
    path.write_text(text)
    return path


def quota_rows(node: Node) -> list[dict[str, int]]:
    rows = [json.loads(line) for line in node.log.read_text().splitlines() if line.startswith("{")]
    return [row for row in rows if row["event"] == "quota_status"]


async def ask_quota(node: Node) -> dict[str, int]:
    """Let a node log its state, and return its row of the quota."""
    known = len(quota_rows(node))
    node.processes[-1].send_signal(signal.SIGUSR1)
    for _ in range(50):
        await asyncio.sleep(0.01)
        rows = quota_rows(node)
        if len(rows) > known:
            return rows[-1]
    raise NotRunError(f"{node.name} logged no row")


class Client:
    """A client: one connection, its OPEN line, the final answer and, after UP, a line every 2 s.

    Attributes:
        answer: the node's first line; empty while there is none.
        sent_at: when the request's last byte was written to the accepted connection.
        ended: how the connection ended before an answer; empty if it did not.

    """

    count = 0

    def __init__(
        self, record: Record, port: int, wait_ms: int = 2000, traffic_class: str = "status-watch"
    ) -> None:
        Client.count += 1
        self.ident = f"{os.getpid():08x}{Client.count:08x}"
        self.key = os.urandom(8).hex()
        self.port = port
        self.wait_ms = wait_ms
        self.traffic_class = traffic_class
        self.answer = b""
        self.sent_at = 0.0
        self.answered_at = 0.0
        self.ended = ""
        self.connected = False
        self._record = record
        self._writer: asyncio.StreamWriter | None = None
        self._reader: asyncio.StreamReader | None = None

    async def open(self, again: bool = False) -> bool:
        """Connect, send the request, and wait for the final answer; return whether one came in time."""
        try:
            async with asyncio.timeout(1.0):
                self._reader, self._writer = await asyncio.open_connection(LOOPBACK, self.port)
        except (OSError, TimeoutError):
            self.ended = "no connection"
            self._record.note(f"client {self.ident} could not connect")
            return False
        self.connected = True
        more = ",again=1" if again else ""
        line = f"OPEN {self.ident} {self.key} c={self.traffic_class},d={self.wait_ms}{more}\r\n"
        self._writer.write(line.encode())
        self.sent_at = self._record.now()
        self._record.note(f"client {self.ident} sent its request to port {self.port}")
        try:
            async with asyncio.timeout(self.wait_ms / 1000 + ANSWER_SLACK_S):
                self.answer = await self._reader.readline()
        except TimeoutError:
            self._record.note(
                f"client {self.ident} has NO ANSWER {self._record.now() - self.sent_at:.3f} s later"
            )
            return False
        except OSError as error:
            self.ended = repr(error)
        if not self.answer:
            self.ended = self.ended or "end of stream"
            self._record.note(f"client {self.ident}: connection ended without an answer ({self.ended})")
            return False
        self.answered_at = self._record.now()
        self._record.note(
            f"client {self.ident} got {self.answer.decode().strip()} "
            f"after {self.answered_at - self.sent_at:.3f} s"
        )
        return True

    @property
    def up(self) -> bool:
        return self.answer.startswith(b"UP ")

    async def echo(self, text: str = "line") -> bytes:
        """Send one line and return the next line that comes back; empty if the connection has ended."""
        assert self._reader is not None
        assert self._writer is not None
        self._writer.write(f"{text}\r\n".encode())
        return await self._reader.readline()

    def send(self, text: str) -> None:
        """Send one line."""
        assert self._writer is not None
        self._writer.write(f"{text}\r\n".encode())

    async def until_end(self) -> str:
        """Read lines until the connection ends; return MOVE, or how it ended."""
        assert self._reader is not None
        try:
            while (line := await self._reader.readline()) != b"MOVE\r\n":
                if not line:
                    return "end of stream"
        except OSError as error:
            return repr(error)
        return "MOVE"

    async def stay(self, every_s: float = 2.0) -> str:
        """Send a line every 2 s until the connection ends; return MOVE, or how it ended."""
        try:
            while True:
                async with asyncio.timeout(8.0):
                    got = await self.echo()
                if got == b"MOVE\r\n":
                    return "MOVE"
                if not got:
                    return "end"
                await asyncio.sleep(every_s)
        except TimeoutError:
            return "silent"
        except OSError as error:
            return f"reset ({error})"

    def close(self) -> None:
        if self._writer is not None:
            self._writer.close()


def main(folder: Path, play: Any) -> None:
    """Play a case with a temporary folder for its nodes, and exit with its result."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))  # so that the nodes are ended
    # A script that is started by nohup passes an ignored SIGHUP on to the nodes. The platform does not.
    signal.signal(signal.SIGHUP, signal.SIG_DFL)
    record = Record(folder)
    result = NOT_RUN
    with tempfile.TemporaryDirectory(prefix="review-") as temporary:
        nodes: list[Node] = []
        try:
            result = asyncio.run(asyncio.wait_for(play(record, Path(temporary), nodes), LONGEST_PLAY_S))
        except NotRunError as error:
            record.note(f"could not run: {error}")
            print(f"could not run: {error}", file=sys.stderr)
        except Exception:  # also the end of LONGEST_PLAY_S
            record.note(f"could not run: {traceback.format_exc()}")
            traceback.print_exc()
        finally:
            for node in nodes:
                node.end()
            for node in nodes if result != HELD else ():
                for line in node.log.read_text(errors="replace").splitlines()[-5:]:
                    record.note(f"log of {node.name}: {line[:400]}")
            word = {BROKEN: "the rule was broken", HELD: "the rule held"}.get(
                result, "the case could not run"
            )
            record.note(f"{word} (TROUBLE={int(trouble())})")
            record.close()
    sys.exit(result)
