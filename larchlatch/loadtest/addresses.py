"""Loopback addresses and free ports for nodes."""

from __future__ import annotations

import os
import socket
from itertools import count

from larchlatch.loadtest.limits import MAX_NODES

RUNS_WITH_OWN_ADDRESSES = 15  # runs of one process, one after the other or at once
SUBNETS_PER_OCTET = 250
FIRST_OCTET = 20  # of 127.x: leaves the lowest addresses to everything else on the machine
OCTETS = 200

_runs = count()


def next_run_number() -> int:
    """Return the number of a further run of this process."""
    return next(_runs)


def node_address(run_number: int, node_number: int) -> str:
    """Return the loopback address of a node, which differs between processes, runs and nodes.

    Args:
        run_number: The run, of those of this process.
        node_number: The node.

    """
    # On a shared address, a port that is free now may be a proxy's by the time the node listens there, and
    # the node would be heard by nobody.
    process = os.getpid() % 60_000
    octet = FIRST_OCTET + process // SUBNETS_PER_OCTET % OCTETS
    host = run_number % RUNS_WITH_OWN_ADDRESSES * MAX_NODES + node_number + 1
    return f"127.{octet}.{1 + process % SUBNETS_PER_OCTET}.{host}"


def free_tcp_port(address: str) -> int:
    """Return a port on which nobody listens now."""
    return _free_port(address, socket.SOCK_STREAM)


def free_udp_port(address: str) -> int:
    """Return a port at which nobody receives datagrams now."""
    return _free_port(address, socket.SOCK_DGRAM)


def _free_port(address: str, kind: socket.SocketKind) -> int:
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((address, 0))
        port: int = probe.getsockname()[1]
    return port
