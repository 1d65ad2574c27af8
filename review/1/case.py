"""An operator's caller dies: its connection to the address for operators is reset. The node has to go on."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins import Client, Discovery, Host, Node, Record, main  # noqa: E402

STANDING_CLIENTS = 20
CALLERS = 3  # "a few callers"
CALL_EVERY_S = 1.0
LATER_CLIENTS = 10
HOLD_S = 12.0


async def case(record: Record, folder: Path, nodes: list[Node], trouble: bool) -> bool:
    hosts = [Host(f"s-{number}", record) for number in range(4)]
    for host in hosts:
        await host.start()
    discovery = Discovery(hosts)
    await discovery.start()
    node = Node("n0", folder, record, discovery)
    nodes.append(node)
    node.start()
    await node.wait_until_ready()
    record.say(f"readiness before: {await node.readiness()}")

    standing = [Client(f"{number:016x}", node.port, record) for number in range(STANDING_CLIENTS)]
    sessions = [asyncio.create_task(client.run(hold_s=HOLD_S)) for client in standing]
    await asyncio.sleep(3.0)
    for number in range(CALLERS):
        if node.exit_code is not None:
            break
        if trouble:
            record.say(f"caller {number} connects to the operators' address and dies")
            node.call_and_reset()
        else:
            record.say(f"caller {number} asks for readiness: {await node.readiness()}")
        await asyncio.sleep(CALL_EVERY_S)

    later = [Client(f"{100 + number:016x}", node.port, record) for number in range(LATER_CLIENTS)]
    await asyncio.gather(*(client.run() for client in later))
    await asyncio.gather(*sessions)
    lost = [client for client in standing + later if client.lost]
    refused = [client for client in later if not client.answer]
    record.say(f"standing clients: {STANDING_CLIENTS}, of these lost: {sum(c in lost for c in standing)}")
    record.say(f"later clients: {LATER_CLIENTS}, of these without an answer: {len(refused)}")
    record.say(f"readiness after: {await node.readiness()}, exit code of the node: {node.exit_code}")
    return node.exit_code is not None or bool(lost)


if __name__ == "__main__":
    main(HERE, case)
