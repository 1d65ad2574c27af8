"""A stub of discovery: nodes watch the endpoint list, and each receives a change after a random delay."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import anyio
import orjson

from larchlatch.loadtest.node_settings import zone_name
from larchlatch.loadtest.streams import CONNECTION_ERRORS, close_writer
from larchlatch.node.clock import now_us
from larchlatch.policy.types import EndpointState
from larchlatch.scenario.amounts import SECOND, us

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from larchlatch.loadtest.background_tasks import BackgroundTasks
    from larchlatch.loadtest.upstream_stub import UpstreamStub
    from larchlatch.scenario.scenario import Scenario

KEEP_ALIVE_S = 1.0  # a watch without a change for this long is sent an empty line
UPSTREAM_PREFIX = "h-"
PHASES = {
    EndpointState.READY: "in_service",
    EndpointState.DRAINING: "terminating",
    EndpointState.GONE: "terminated",
}
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"

# An endpoint and a list of endpoints, in the JSON form of discovery.
Endpoint = dict[str, Any]
EndpointList = dict[str, Any]


def upstream_name(number: int) -> str:
    """Return the name of an upstream in the endpoint list."""
    return f"{UPSTREAM_PREFIX}{number}"


def upstream_number(name: str) -> int:
    """Return the number of the upstream with this name in the endpoint list."""
    return int(name.removeprefix(UPSTREAM_PREFIX))


def endpoint(stub: UpstreamStub, state: EndpointState) -> Endpoint:
    """Return an upstream's entry in the endpoint list."""
    upstream = stub.upstream
    return {
        "id": upstream_name(upstream.number),
        "host_port": f"{stub.address}:{stub.port}",
        "locality": zone_name(upstream.zone),
        "cell": upstream.cell,
        "phase": PHASES[state],
        "size": upstream.size,
        "up_since_ms": upstream.started_at // 1000,
    }


class DiscoveryStub:
    """Serves the endpoint list to nodes over HTTP.

    Attributes:
        ports: The port for each zone of nodes; zones may be sent different ports for the same upstream.
        proxy_ports: For each zone of nodes and number of upstream, the proxy's port through which the zone's
            nodes reach the upstream; empty if nodes connect to upstreams directly.

    """

    def __init__(self, scenario: Scenario, delay_s: Callable[[], float]) -> None:
        """Create the stub; `delay_s` draws the delay of a change before it is sent to a watch, in seconds."""
        self.ports: list[int] = []
        self.proxy_ports: list[list[int]] = []
        self._zones = scenario.zones
        self._max_delay_us = us(scenario.discovery.max_delay_ms / 1e3)
        self._delay_s = delay_s
        self._endpoints: dict[int, Endpoint] = {}
        self._changes: list[Endpoint] = []  # one for each revision
        self._changed = anyio.Event()
        self._outage_until = 0.0  # seconds of the clock of `now_us`
        self._servers: list[asyncio.Server] = []

    async def listen(self, address: str, tasks: BackgroundTasks) -> None:
        """Accept connections on a port for each zone; `tasks` owns the tasks that serve them."""
        for zone in range(self._zones):

            def accepted(
                reader: asyncio.StreamReader, writer: asyncio.StreamWriter, zone: int = zone
            ) -> None:
                tasks.start(self._serve, zone, reader, writer)

            server = await asyncio.start_server(accepted, address, 0)
            self._servers.append(server)
            self.ports.append(server.sockets[0].getsockname()[1])

    def close(self) -> None:
        """Refuse new connections from now on."""
        for server in self._servers:
            server.close()

    # The endpoint list.

    def list_at_start(self, stub: UpstreamStub) -> None:
        """Add an upstream to the list that nodes receive at their start."""
        self._endpoints[stub.upstream.number] = endpoint(stub, EndpointState.READY)

    def change(self, stub: UpstreamStub, state: EndpointState) -> None:
        """Change or remove an upstream's entry; each watch is sent the change after its own delay."""
        entry = endpoint(stub, state)
        self._endpoints[stub.upstream.number] = entry
        if state is EndpointState.GONE:
            del self._endpoints[stub.upstream.number]
        self._changes.append(entry)
        if state is not EndpointState.READY:
            known_at = max(now_us(), int(self._outage_until * SECOND))
            stub.no_attempts_after_us = known_at + self._max_delay_us
        self._changed.set()
        self._changed = anyio.Event()

    def begin_outage(self, for_s: float) -> None:
        """Send no changes to any watch for a time in seconds."""
        self._outage_until = now_us() / SECOND + for_s

    def known_endpoints(self, zone: int) -> EndpointList:
        """Return the complete list, with the addresses through which nodes of a zone reach the upstreams."""
        members = self._seen_from(zone, self._endpoints.values())
        return {"revision": len(self._changes), "complete": True, "members": members}

    def _seen_from(self, zone: int, entries: Iterable[Endpoint]) -> list[Endpoint]:
        if not self.proxy_ports:
            return list(entries)
        return [{**entry, "host_port": self._proxy_address(zone, entry)} for entry in entries]

    def _proxy_address(self, zone: int, entry: Endpoint) -> str:
        address, _, _ = entry["host_port"].rpartition(":")
        return f"{address}:{self.proxy_ports[zone][upstream_number(entry['id'])]}"

    # Connections.

    async def _serve(self, zone: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            request_line, _, _ = (await reader.readuntil(b"\r\n\r\n")).decode().partition("\r\n")
            await self._send(RESPONSE_HEAD, writer)
            if "watch=1" in request_line:
                from_revision = int(request_line.partition("from=")[2].split("&")[0].split()[0])
                await self._send_changes(zone, from_revision, writer)
            else:
                await self._send(_chunk(orjson.dumps(self.known_endpoints(zone)) + b"\n"), writer)
                await self._send(LAST_CHUNK, writer)
        except (*CONNECTION_ERRORS, EOFError):
            pass  # the node has closed the connection, or its process has ended
        finally:
            close_writer(writer)

    async def _send_changes(self, zone: int, from_revision: int, writer: asyncio.StreamWriter) -> None:
        """Send all changes after a revision as they occur, until the node closes the connection."""
        sent_revision = from_revision if from_revision <= len(self._changes) else 0
        while True:
            if sent_revision < len(self._changes):
                revision = len(self._changes)
                await anyio.sleep(max(self._delay_s(), self._outage_until - now_us() / SECOND))
                members = self._seen_from(zone, self._changes[sent_revision:revision])
                update = {"revision": revision, "complete": False, "members": members}
                await self._send(_chunk(orjson.dumps(update) + b"\n"), writer)
                sent_revision = revision
            else:
                with anyio.move_on_after(KEEP_ALIVE_S):
                    await self._changed.wait()
                if sent_revision == len(self._changes):
                    await self._send(_chunk(b"\n"), writer)

    async def _send(self, data: bytes, writer: asyncio.StreamWriter) -> None:
        """Send data to a node.

        Raises:
            OSError: The connection has ended.

        """
        writer.write(data)
        await writer.drain()


def _chunk(data: bytes) -> bytes:
    """Return data as a chunk of an HTTP body."""
    return b"%x\r\n%s\r\n" % (len(data), data)
