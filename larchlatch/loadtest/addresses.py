"""Chooses loopback addresses and free ports for the nodes of a run."""

from __future__ import annotations

import os
import socket
from itertools import count

from larchlatch.loadtest.limits import MAX_NODES

RUNS_WITH_OWN_ADDRESSES = 15  # in one process; a later run reuses the addresses of an earlier one
SUBNETS_PER_SECOND_OCTET = 250
MIN_SECOND_OCTET = 20  # of 127.x.0.0/16; lower ones are left to other programs of the machine
SECOND_OCTET_COUNT = 200

_runs = count()


def next_run_number() -> int:
    """Return a number for a new run, counted within this process."""
    return next(_runs)


def node_address(run_number: int, node_number: int) -> str:
    """Return the loopback address of a node, which normally differs between processes, runs and nodes.

    Args:
        run_number: Number of the run within this process.
        node_number: Number of the node within the run.

    """
    # If nodes shared an address with proxies, a proxy could take a free port before the node listens on it,
    # and the node would not be reachable.
    process = os.getpid() % 60_000
    second_octet = MIN_SECOND_OCTET + process // SUBNETS_PER_SECOND_OCTET % SECOND_OCTET_COUNT
    host = run_number % RUNS_WITH_OWN_ADDRESSES * MAX_NODES + node_number + 1
    return f"127.{second_octet}.{1 + process % SUBNETS_PER_SECOND_OCTET}.{host}"


def free_tcp_port(address: str) -> int:
    """Return a TCP port of an address on which no process listens now."""
    return _free_port(address, socket.SOCK_STREAM)


def free_udp_port(address: str) -> int:
    """Return a UDP port of an address to which no socket is bound now."""
    return _free_port(address, socket.SOCK_DGRAM)


def _free_port(address: str, kind: socket.SocketKind) -> int:
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((address, 0))
        port: int = probe.getsockname()[1]
    return port
