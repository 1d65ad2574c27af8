"""Tests of the TCP proxy between zones."""

from __future__ import annotations

import asyncio

import pytest

from larchlatch.loadtest.background_tasks import BackgroundTasks
from larchlatch.loadtest.tcp_fault_proxy import (
    CloseUpstream,
    IsolateZone,
    OpenUpstream,
    ReconnectZone,
    Setup,
    TcpFaultProxy,
)


def test_isolated_zone_takes_no_connection_and_carries_nothing_until_it_is_reconnected() -> None:
    async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            writer.write(line)

    async def outcome_of_connection(port: int) -> str:
        """Return the outcome of a new connection within half a second."""
        try:
            async with asyncio.timeout(0.5):
                _, writer = await asyncio.open_connection("127.0.0.1", port)
        except TimeoutError:
            return "nothing"
        except OSError:
            return "refused"
        writer.close()
        return "had"

    async def run_proxy() -> None:
        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        async with BackgroundTasks() as tasks:
            proxy = TcpFaultProxy(tasks)
            await check_isolation(proxy, port)
            proxy.close()
        server.close()

    async def check_isolation(proxy: TcpFaultProxy, port: int) -> None:
        setup = Setup("127.0.0.1", zones=2, upstream_ports=[port, port], upstream_zones=[0, 1])
        [[zone_0_to_0, zone_0_to_1], [zone_1_to_0, zone_1_to_1]] = await proxy.set_up(setup)
        reader, writer = await asyncio.open_connection("127.0.0.1", zone_0_to_1)
        writer.write(b"one\r\n")
        assert await reader.readline() == b"one\r\n"
        await proxy.execute(IsolateZone(0))
        assert [
            await outcome_of_connection(at) for at in (zone_0_to_0, zone_0_to_1, zone_1_to_0, zone_1_to_1)
        ] == ["had", "nothing", "nothing", "had"]
        writer.write(b"two\r\n")
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.3):
                await reader.readline()
        await proxy.execute(CloseUpstream(1))
        assert await outcome_of_connection(zone_1_to_1) == "refused"
        await proxy.execute(OpenUpstream(1))
        assert [await outcome_of_connection(at) for at in (zone_0_to_1, zone_1_to_1)] == ["nothing", "had"], (
            "an upstream that restarts during the isolation must stay isolated"
        )
        await proxy.execute(ReconnectZone(0))
        assert await reader.readline() == b"two\r\n", "delayed data must arrive after the reconnection"
        assert await outcome_of_connection(zone_0_to_1) == "had"
        writer.close()

    asyncio.run(run_proxy())
