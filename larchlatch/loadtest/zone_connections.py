"""Manages the connections between zones: starts the TCP proxy and isolates zones through it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from larchlatch.loadtest import tcp_fault_proxy as proxy
from larchlatch.loadtest.helper_process import HelperProcess
from larchlatch.scenario.upstreams import Condition

if TYPE_CHECKING:
    from collections.abc import Sequence

    from larchlatch.loadtest.upstream_stub import UpstreamStub

TCP_PROXY_MODULE = "larchlatch.loadtest.tcp_fault_proxy"


class ZoneConnections:
    """Connections between nodes and upstreams of different zones.

    If the scenario isolates no zone, no proxy is started, and nodes connect to upstreams directly.

    Attributes:
        isolated_zones: Zones that are isolated from all others now.

    """

    def __init__(self, stubs: Sequence[UpstreamStub]) -> None:
        self.isolated_zones: list[int] = []
        self._stubs = stubs
        self._proxy: HelperProcess | None = None

    async def start_proxy(self, address: str, zones: int) -> list[list[int]]:
        """Start the proxy, and return its ports by zone of nodes and number of upstream."""
        self._proxy = HelperProcess(TCP_PROXY_MODULE)
        setup = proxy.Setup(
            address,
            zones,
            upstream_ports=[stub.port for stub in self._stubs],
            upstream_zones=[stub.upstream.zone for stub in self._stubs],
        )
        ports = await self._proxy.start(setup, list[list[int]])
        for stub in self._stubs:
            if stub.upstream.condition is Condition.ABSENT:
                await self.execute(proxy.CloseUpstream(stub.upstream.number))
        return ports

    async def stop(self) -> None:
        """Stop the proxy if it was started."""
        if self._proxy is not None:
            await self._proxy.stop()

    def is_connected(self, node_zone: int, upstream: int) -> bool:
        """Return whether nodes of a zone can connect to an upstream."""
        upstream_zone = self._stubs[upstream].upstream.zone
        return node_zone == upstream_zone or not {node_zone, upstream_zone} & set(self.isolated_zones)

    async def isolate(self, zone: int) -> None:
        """Block all connections between a zone and the others."""
        self.isolated_zones.append(zone)
        await self.execute(proxy.IsolateZone(zone))

    async def reconnect(self, zone: int) -> None:
        """End the isolation of a zone."""
        self.isolated_zones.remove(zone)
        await self.execute(proxy.ReconnectZone(zone))

    async def execute(self, command: proxy.Command) -> None:
        """Make the proxy execute a command; does nothing if no proxy was started."""
        if self._proxy is not None:
            await self._proxy.execute(command)
