"""Stubs of upstreams and of discovery that misbehave at a share of what they send."""

from __future__ import annotations

from typing import TYPE_CHECKING

from larchlatch.loadtest.discovery_stub import DiscoveryStub
from larchlatch.loadtest.upstream_stub import UpstreamStub

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from larchlatch.loadtest.outside_observer import OutsideObserver
    from larchlatch.scenario.clients import Client
    from larchlatch.scenario.scenario import Scenario
    from larchlatch.scenario.upstreams import SimulatedUpstream
    from larchlatch.soak.connection_faults import StubFaults


class FaultyUpstreamStub(UpstreamStub):
    """Misbehaves when a connection is accepted, and when an answer or a message is sent."""

    def __init__(
        self,
        upstream: SimulatedUpstream,
        scenario: Scenario,
        clients: dict[str, Client],
        observer: OutsideObserver,
        faults: StubFaults,
    ) -> None:
        super().__init__(upstream, scenario, clients, observer)
        self._faults = faults

    async def _answer_probes(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bytes:
        await self._faults.maybe_inflict(b"", writer)
        return await super()._answer_probes(reader, writer)

    async def _send(self, data: bytes, writer: asyncio.StreamWriter) -> None:
        await self._faults.maybe_inflict(data, writer)
        await super()._send(data, writer)


class FaultyDiscoveryStub(DiscoveryStub):
    """Misbehaves when a connection is accepted, and within each part of a response."""

    def __init__(self, scenario: Scenario, delay_s: Callable[[], float], faults: StubFaults) -> None:
        super().__init__(scenario, delay_s)
        self._faults = faults

    async def _serve(self, zone: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await self._faults.maybe_inflict(b"", writer)
        except OSError:
            return
        await super()._serve(zone, reader, writer)

    async def _send(self, data: bytes, writer: asyncio.StreamWriter) -> None:
        await self._faults.maybe_inflict(data, writer)
        await super()._send(data, writer)
