"""How the peer of a node's connection misbehaves: what it does, and at which step of the conversation."""

from __future__ import annotations

import socket
import struct
from collections import Counter
from contextlib import suppress
from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

import anyio

from larchlatch.loadtest.streams import abort_writer, close_writer

if TYPE_CHECKING:
    import asyncio
    from random import Random

RESET_AT_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER on, for zero seconds
MAX_HOLD_S = 6.0  # longer than the node waits for an admin call
MAX_JUNK_BYTES = 3000
JUNK_LINE_SHARE = 0.5  # share of junk that ends with the end of a line


class ConnectionFault(StrEnum):
    """What a peer does to a connection; the values are keys of the result."""

    RESET = "reset"  # resets it
    CLOSE = "closed"  # closes it
    CUT = "cut"  # closes it in the middle of what it sends
    JUNK = "junk"  # sends random bytes instead, and closes it
    HOLD = "held"  # stops in the middle of what it sends, and closes it much later


class FaultPlan(NamedTuple):
    """A drawn connection fault.

    Attributes:
        fault: What the peer does.
        step: How many steps of the conversation are complete before that.
        sent_share: Share of the next step's data that is sent before, for `CUT` and `HOLD`.
        hold_s: How long the connection is held, for `HOLD`, in seconds.
        junk: What is sent, for `JUNK`.

    """

    fault: ConnectionFault
    step: int
    sent_share: float
    hold_s: float
    junk: bytes


def draw_plan(rng: Random, steps: int) -> FaultPlan:
    """Draw a fault at one of the steps of a conversation."""
    fault = rng.choice(list(ConnectionFault))
    step = rng.randrange(steps)
    sent_share = rng.random()
    hold_s = rng.uniform(0, MAX_HOLD_S)
    junk = rng.randbytes(rng.randint(1, MAX_JUNK_BYTES))
    if rng.random() < JUNK_LINE_SHARE:
        junk += b"\r\n"
    return FaultPlan(fault, step, sent_share, hold_s, junk)


async def inflict(plan: FaultPlan, data: bytes, writer: asyncio.StreamWriter) -> None:
    """Misbehave at a step that would send `data`; the connection is closed afterwards.

    Raises:
        OSError: The node has ended the connection before.

    """
    part = data[: int(len(data) * plan.sent_share)]
    match plan.fault:
        case ConnectionFault.RESET:
            reset_writer(writer)
        case ConnectionFault.CLOSE:
            pass
        case ConnectionFault.CUT:
            writer.write(part)
        case ConnectionFault.JUNK:
            writer.write(plan.junk)
        case ConnectionFault.HOLD:
            writer.write(part)
            await anyio.sleep(plan.hold_s)
    close_writer(writer)


def reset_writer(writer: asyncio.StreamWriter) -> None:
    """Close a connection by a reset, and discard what has not been sent."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.family == socket.AF_INET:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
    abort_writer(writer)


def connect_and_reset(address: tuple[str, int]) -> None:
    """Connect and reset at once, mostly before the node has accepted the connection.

    Raises:
        OSError: The node does not listen.

    """
    with socket.socket() as sock:
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        with suppress(BlockingIOError):  # on loopback the connection is complete when the call returns
            sock.connect(address)


class InflictedFaultError(ConnectionError):
    """A stub has ended a connection by a drawn fault; what serves the connection ends as well."""


class StubFaults:
    """Draws the connection faults of a stub, whenever it sends something.

    Attributes:
        counts: How often each fault was inflicted.

    """

    def __init__(self, rng: Random, share: float) -> None:
        """Create the source; `share` is the share of all sends at which a fault is inflicted."""
        self.counts: Counter[ConnectionFault] = Counter()
        self._rng = rng
        self._share = share
        self._stopped = False

    def stop(self) -> None:
        """Inflict no more faults."""
        self._stopped = True

    async def maybe_inflict(self, data: bytes, writer: asyncio.StreamWriter) -> None:
        """Inflict a drawn fault in place of sending `data`, or do nothing.

        Raises:
            InflictedFaultError: A fault was inflicted.

        """
        if self._stopped or self._rng.random() >= self._share:
            return
        plan = draw_plan(self._rng, 1)
        self.counts[plan.fault] += 1
        await inflict(plan, data, writer)
        raise InflictedFaultError
