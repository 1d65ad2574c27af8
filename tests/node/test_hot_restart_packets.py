"""The packets of a hot restart: their encoding, and the rejection of incomplete and invalid ones."""

from __future__ import annotations

import os
import socket

import orjson
import pytest
from anyio.abc import TaskGroup, UNIXSocketStream

from larchlatch.config.endpoints import EndpointEntry, EndpointList
from larchlatch.errors import InvalidInputError
from larchlatch.node.hot_restart.channel import Channel, frame
from larchlatch.node.hot_restart.packets import (
    BalancerState,
    Hello,
    Packet,
    Serving,
    SessionHandover,
    StateHandover,
    Welcome,
    decode_packet,
    encode_packet,
)
from larchlatch.policy.types import Outcome
from tests.support.balancer_harness import endpoint
from tests.support.loopback import run_on_loopback

PACKETS: list[Packet] = [
    Hello("n0", "127.0.0.1:3000"),
    Welcome(
        EndpointList(
            7, True, [EndpointEntry("s-0", ("127.0.0.1", 3000), "a", 3, endpoint(0).state, 1.0, 9000)]
        )
    ),
    Serving(),
    StateHandover(BalancerState({"hosts": {}, "asked": [], "noted": 0.0}), ["id1", "idé"], 12, 0.5, 17),
    StateHandover(BalancerState({"noted": 0.0}, {"all": 5}), [], 0, None, 0),
    SessionHandover(
        b"OPEN id1 k1 c=once,d=9\r\n", "s-0", 1.5, 0, int(Outcome.RESET), b"half a l\xff", b"one\r\ntwo"
    ),
]


@pytest.mark.parametrize("packet", PACKETS, ids=lambda packet: type(packet).__name__)
def test_a_packet_cut_at_any_byte_is_incomplete_and_leaves_no_descriptor(packet: Packet) -> None:
    """Guards against descriptors left open and partial packets accepted when a sender is killed."""

    async def body(tasks: TaskGroup) -> None:
        data = frame(packet, 1)
        for cut in range(len(data) + 1):
            sender, receiver = socket.socketpair()
            open_before = len(os.listdir("/proc/self/fd"))
            socket.send_fds(sender, [data[:cut]], [sender.fileno()] if cut else [])
            sender.shutdown(socket.SHUT_WR)
            receiver.setblocking(False)
            received = await Channel(await UNIXSocketStream.from_socket(receiver)).receive()
            if cut < len(data):
                assert received is None
            else:
                assert received is not None and received[0] == packet
                received[1][0].close()
            assert len(os.listdir("/proc/self/fd")) == open_before
            sender.close()
            receiver.close()

    run_on_loopback(body)


@pytest.mark.parametrize(
    "text",
    [
        b"",
        b"{",
        b"[]",
        b"{}",
        b'{"kind":"Nothing"}',
        b'{"kind":"StateHandover"}',
        b'{"kind":"Welcome","members":{}}',
        b'{"kind":"Ceded","learned":{},"idents":[],"holds":-1,"clock_us":0}',
        b'{"kind":"Ceded","learned":{},"idents":[],"holds":1,"clock_us":0,"drained_s":-0.5}',
    ],
)
def test_an_invalid_packet_raises_an_error(text: bytes) -> None:
    """Guards against another error than `InvalidInputError`, which alone the receiver handles."""

    async def body(tasks: TaskGroup) -> None:
        sender, receiver = socket.socketpair()
        sender.send(b"LL\x01\x00" + len(text).to_bytes(4) + text)
        receiver.setblocking(False)
        with pytest.raises(InvalidInputError, match="packet"):
            await Channel(await UNIXSocketStream.from_socket(receiver)).receive()
        sender.close()
        receiver.close()

    run_on_loopback(body)


def test_quota_usage_is_written_inside_the_balancers_state() -> None:
    """Guards against a moved key: a process of an earlier release reads the quota usage there."""
    written = orjson.loads(
        encode_packet(StateHandover(BalancerState({"noted": 0.5}, {"all": 5}), [], 0, None, 0))
    )
    assert written["learned"] == {"noted": 0.5, "budgets": {"all": 5}}


@pytest.mark.parametrize("usage", ['{"all":"5"}', '{"all":null}', '{"all":true}'])
def test_quota_usage_that_is_no_number_makes_the_packet_invalid(usage: str) -> None:
    """Guards against quota usage of a wrong type, with which the successor would calculate."""
    text = f'{{"kind":"Ceded","learned":{{"budgets":{usage}}},"idents":[],"holds":0,"clock_us":0}}'
    with pytest.raises(InvalidInputError, match="all has the wrong type"):
        decode_packet(text.encode())
