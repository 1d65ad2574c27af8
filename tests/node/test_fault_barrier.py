"""Tests of FaultBarrier: which exceptions it stops, logs and counts, and which propagate."""

from __future__ import annotations

import anyio
import pytest
from structlog.testing import capture_logs

from larchlatch.node.fault_barrier import FaultBarrier
from larchlatch.node.metrics import Counters


def make_barrier(counters: Counters) -> FaultBarrier:
    return FaultBarrier(counters, counter="faults", event="fault", place="here")


def test_an_exception_is_stopped_logged_and_counted() -> None:
    counters, error = Counters(), ValueError("x")
    with capture_logs() as events, make_barrier(counters) as barrier:
        raise error
    assert barrier.caught and counters.snapshot() == {"faults": 1}
    assert events == [{"event": "fault", "place": "here", "exc_info": error, "log_level": "error"}]


def test_a_block_without_an_exception_is_neither_logged_nor_counted() -> None:
    counters = Counters()
    with capture_logs() as events, make_barrier(counters) as barrier:
        pass
    assert not barrier.caught and not counters.snapshot() and not events


@pytest.mark.parametrize("error", [KeyboardInterrupt, SystemExit, GeneratorExit])
def test_an_exception_that_ends_the_process_propagates(error: type[BaseException]) -> None:
    counters = Counters()
    with pytest.raises(error), make_barrier(counters):
        raise error
    assert not counters.snapshot()


def test_cancellation_propagates() -> None:
    counters = Counters()

    async def body() -> bool:
        with anyio.CancelScope() as scope:
            scope.cancel()
            with make_barrier(counters):
                await anyio.sleep(1)
        return scope.cancelled_caught

    assert anyio.run(body) and not counters.snapshot()
