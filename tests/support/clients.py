"""Clients that connect to a node on loopback and open sessions."""

from __future__ import annotations

from itertools import count

import anyio

from larchlatch.node.wire.stream import Ending, LineConnection

CLIENT_IDS = count(1)  # each client has an id of its own


async def connect(port: int) -> LineConnection:
    return LineConnection(await anyio.connect_tcp("127.0.0.1", port))


async def open_session(
    port: int, wait_ms: int = 2000, traffic_class: str = "rerun", key: str = "k1", ident: str = ""
) -> LineConnection:
    """Connect a client, send its request for a session, and return its connection."""
    client = await connect(port)
    client_id = ident or f"id{next(CLIENT_IDS)}"
    await client.send(f"OPEN {client_id} {key} c={traffic_class},t=acme,d={wait_ms},g={key}\r\n".encode())
    return client


async def read_to_end(client: LineConnection) -> list[bytes]:
    """Return all lines that the client receives up to the end of its connection."""
    lines = []
    while not isinstance(line := await client.line(), Ending):
        lines.append(line)
    return lines
