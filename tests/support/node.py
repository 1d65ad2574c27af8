"""Nodes that run in the test's own task group."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from anyio.abc import TaskGroup

from larchlatch.config.node import parse_node_configuration
from larchlatch.node.runtime import run_node
from tests.support.configuration import node_configuration
from tests.support.stand_ins import DiscoveryStub, UpstreamStubs

NO_FILE = Path("none.json")  # path of the configuration file for nodes that never reload it
EMPTY_CHANGE = {"revision": 2, "complete": False, "members": []}


async def start_node_with(tasks: TaskGroup, upstreams: UpstreamStubs, **changes: Any) -> int:
    """Start a node with these upstreams and return the port on which it listens."""
    discovery = await DiscoveryStub([EMPTY_CHANGE]).start(tasks)
    return await start_node(tasks, node_configuration(upstreams.addresses, discovery.port, **changes))


async def start_node(tasks: TaskGroup, raw: dict[str, Any]) -> int:
    """Start a node with this configuration and return the port on which it listens."""
    port: int = await tasks.start(run_node, parse_node_configuration(raw), NO_FILE)
    return port
