"""A fleet with sixteen times the hosts: the connections for probes use up the node's descriptors."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins2 import BROKEN, HELD, Client, Discovery, Host, Node, NotRunError, Record, main, ping, trouble  # noqa: E402

HOSTS = 16
SIXTEEN_TIMES = 256
SOCKETS = 256
SESSIONS_PER_S = 10
SESSION_S = 2.0
PLAY_S = 60


async def session(record: Record, port: int, clients: list[Client]) -> None:
    """Open a session, hold it for two seconds with a line, and leave."""
    client = Client(record, port)
    clients.append(client)
    if await client.open() and client.up:
        await client.echo()
        await asyncio.sleep(SESSION_S)
    client.close()


async def play(record: Record, folder: Path, nodes: list[Node]) -> int:
    discovery = await Discovery(record).start()
    count = SIXTEEN_TIMES if trouble() else HOSTS
    for number in range(count):
        # The capacity of all hosts together stays the same.
        host = Host(f"s-{number:04x}", record, zone="ab"[number % 2], cell=number // 4, size=HOSTS / count)
        discovery.add(await host.start())
    node = Node("n0", folder, discovery, record, sockets=SOCKETS)
    nodes.append(node)
    node.start()
    await node.until_ready()
    clients: list[Client] = []
    tasks = []
    for _ in range(PLAY_S * SESSIONS_PER_S):
        tasks.append(asyncio.create_task(session(record, node.port, clients)))
        await asyncio.sleep(1 / SESSIONS_PER_S)
    await asyncio.gather(*tasks)
    lost = [client for client in clients if client.connected and not client.answer]
    probed = sum(bool(host.probes) for host in discovery.hosts.values())
    standing = sum(host.probe_connections for host in discovery.hosts.values())
    pong = await ping(node.port)
    alive = nodes[0].processes[0].poll() is None
    record.note(
        f"{len(clients)} requests, {sum(client.up for client in clients)} up, {len(lost)} without an answer; "
        f"{probed} hosts probed, {standing} idle connections for probes; PING at the end: {pong!r}; "
        f"the process runs: {alive}"
    )
    print(
        f"requests {len(clients)}, up {sum(client.up for client in clients)}, no answer {len(lost)}, "
        f"probed {probed}, probe connections {standing}, PING {pong!r}"
    )
    if not any(client.up for client in clients):
        raise NotRunError("no client was served at all")
    return BROKEN if lost else HELD


main(HERE, play)
