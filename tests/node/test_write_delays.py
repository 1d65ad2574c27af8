"""Repeats of a session while the node is held up between its reading of the clock and its write."""

from __future__ import annotations

import socket

import pytest
from anyio.abc import SocketStream, TaskGroup

from larchlatch.node import attempts
from larchlatch.node.attempts import AttemptCounter
from larchlatch.node.clock import now_us
from larchlatch.node.wire.dialing import send_all
from larchlatch.policy.retries import MAX_TRANSIT_US, MAX_WRITE_DELAY_US
from larchlatch.policy.types import Outcome
from tests.support.loopback import run_on_loopback
from tests.support.races import ActorHarness, ScriptedUpstream, make_record

HELD_UP_US = 150_000  # the operators' bound for a hold-up of a node


async def establish(upstream: ScriptedUpstream, stream: SocketStream) -> None:
    await stream.send(b"UP r1\r\n")


@pytest.mark.parametrize("left_us", [1, 20_001, 100_000, 149_000, 160_000, 300_000, 400_000])
def test_no_repeat_arrives_after_its_window_though_the_node_is_held_up(
    left_us: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A repeat that an upstream no longer recognizes runs a second time.

    The hold-up is forced where it does most harm: after the last check of the clock, before the write.
    """

    async def body(tasks: TaskGroup) -> None:
        upstream = await ScriptedUpstream().start(tasks, establish)
        harness = ActorHarness(upstream.named)
        record = make_record("ticket")
        record.session.repeat_until = now_us() + left_us
        late_us = 0

        def held_up_now() -> int:
            return now_us() + late_us

        async def send_after_hold_up(sock: socket.socket, data: bytes) -> bool:
            nonlocal late_us
            late_us = HELD_UP_US
            assert held_up_now() < record.session.repeat_until, "the repeat is written after its window"
            return await send_all(sock, data)

        monkeypatch.setattr(attempts, "now_us", held_up_now)
        monkeypatch.setattr(attempts, "send_all", send_after_hold_up)
        outcome = await harness.attempt(record)
        assert not harness.counters.counts[AttemptCounter.FAILED]
        if left_us > MAX_WRITE_DELAY_US + MAX_TRANSIT_US + 50_000:
            assert outcome is Outcome.ESTABLISHED, "the window is left unused for longer than necessary"
        if left_us <= HELD_UP_US:
            assert outcome is Outcome.NOT_SENT and not upstream.lines

    run_on_loopback(body)


def test_a_first_attempt_has_no_window() -> None:
    """Guards against a session that is never sent, as no attempt of it can have run."""

    async def body(tasks: TaskGroup) -> None:
        upstream = await ScriptedUpstream().start(tasks, establish)
        assert await ActorHarness(upstream.named).attempt(make_record("ticket")) is Outcome.ESTABLISHED

    run_on_loopback(body)
