"""Fixtures for the tests of a node."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import pytest

from larchlatch.node import runtime as node_runtime
from larchlatch.node.clients.connections import ClientConnections


@pytest.fixture
def client_connections(monkeypatch: pytest.MonkeyPatch) -> Iterator[list[ClientConnections]]:
    """Collect the client connections of the nodes that a test starts in this process."""
    instances: list[ClientConnections] = []

    class RecordedConnections(ClientConnections):
        def __init__(self, *args: Any) -> None:
            super().__init__(*args)
            instances.append(self)

    monkeypatch.setattr(node_runtime, "ClientConnections", RecordedConnections)
    yield instances
