"""Fixtures for the tests of a node."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import pytest

from larchlatch.node import runtime as node_run
from larchlatch.node.clients.connections import ClientConnections


@pytest.fixture
def client_connections(monkeypatch: pytest.MonkeyPatch) -> Iterator[list[ClientConnections]]:
    """Collect the client connections of the nodes that a test starts in this process."""
    made: list[ClientConnections] = []

    class Kept(ClientConnections):
        def __init__(self, *given: Any) -> None:
            super().__init__(*given)
            made.append(self)

    monkeypatch.setattr(node_run, "ClientConnections", Kept)
    yield made
