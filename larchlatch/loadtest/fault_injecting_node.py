"""A node process that commits faults: its clock gains or loses time, or it sends false reports.

It is a complete node with the command line of `python -m larchlatch`. Only its clock and its cluster exchange
differ, and it logs one more line for each order of a token issuer. On SIGUSR2 it reads the faults to commit
from then on; the environment variable `INJECTED_FAULTS_VARIABLE` names their file.
"""

from __future__ import annotations

import os
import signal
import weakref
from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec

from larchlatch.__main__ import cli
from larchlatch.cluster import service
from larchlatch.cluster.election.electorate import TOKEN_ISSUER
from larchlatch.loadtest.injected_faults import InjectedFaults
from larchlatch.scenario.byzantine_exchange import INJECTED_FAULTS_VARIABLE, ByzantineExchange
from larchlatch.scenario.drifting_clock import DriftingClock

if TYPE_CHECKING:
    from larchlatch.cluster.exchange.results import ExecutedOrder

true_time_us = service.steady_us
clock = DriftingClock(true_time_us())
exchanges: weakref.WeakSet[FaultInjectingExchange] = weakref.WeakSet()


class FaultInjectingExchange(ByzantineExchange):
    """An exchange that registers itself, so that `read_faults` can set the subject of its false reports."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        exchanges.add(self)


class FaultInjectingClusterService(service.ClusterService):
    """A cluster service that passes all upstreams to its exchange, and logs all executed orders."""

    def update_endpoints(self, *args: Any, **named: Any) -> None:
        """Also pass the new endpoints to the exchange, which may send false reports about them."""
        super().update_endpoints(*args, **named)
        if isinstance(self.exchange, ByzantineExchange):
            self.exchange.upstreams = list(self.upstreams)

    def log_orders(self, orders: list[ExecutedOrder]) -> None:
        """Log all executed orders, also those of a token issuer, which other nodes log at no usual level."""
        super().log_orders(orders)
        for order in orders:
            if order.role == TOKEN_ISSUER:
                service.log.info("order_executed", **order._asdict())


def read_faults(*_: object) -> None:
    """Read the file of injected faults, and commit these faults from now on; a signal handler."""
    faults = msgspec.json.decode(Path(os.environ[INJECTED_FAULTS_VARIABLE]).read_bytes(), type=InjectedFaults)
    clock.set_gain(true_time_us(), faults.skew)
    for exchange in exchanges:
        exchange.false_subject = faults.about


def main() -> None:
    """Run the command line with the clock, exchange and service of this module in place of the usual ones."""
    vars(service).update(
        steady_us=lambda: clock.at(true_time_us()),
        Exchange=FaultInjectingExchange,
        ClusterService=FaultInjectingClusterService,
    )
    signal.signal(signal.SIGUSR2, read_faults)
    cli()


if __name__ == "__main__":
    main()
