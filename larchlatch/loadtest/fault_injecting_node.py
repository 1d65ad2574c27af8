"""A node's process that commits faults: its clock gains or loses, or it sends false reports to other nodes.

It is a whole node, run as `python -m larchlatch` is, that differs in its clock, in its exchange with other
nodes, and in one more line of its log for each order of a token issuer. On SIGUSR2 it reads which faults to
commit from then on, from the file that an environment variable names.
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
    """An exchange that can be found, so as to be told what to send false reports of."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        exchanges.add(self)


class FaultInjectingClusterService(service.ClusterService):
    """A cluster service that tells its exchange of all upstreams, and logs all executed orders."""

    def update_endpoints(self, *args: Any, **named: Any) -> None:
        """Pass new endpoints on to the exchange as well, which may send false reports of them."""
        super().update_endpoints(*args, **named)
        if isinstance(self.exchange, ByzantineExchange):
            self.exchange.upstreams = list(self.upstreams)

    def log_orders(self, orders: list[ExecutedOrder]) -> None:
        """Log all executed orders: the observer needs those too that a node logs at no usual level."""
        super().log_orders(orders)
        for order in orders:
            if order.role == TOKEN_ISSUER:
                service.log.info("order_executed", **order._asdict())


def read_faults(*_: object) -> None:
    """Commit the faults of the file from now on."""
    faults = msgspec.json.decode(Path(os.environ[INJECTED_FAULTS_VARIABLE]).read_bytes(), type=InjectedFaults)
    clock.set_gain(true_time_us(), faults.skew)
    for exchange in exchanges:
        exchange.false_subject = faults.about


def main() -> None:
    """Run the command line with the faulty parts in place of the service's own."""
    vars(service).update(
        steady_us=lambda: clock.at(true_time_us()),
        Exchange=FaultInjectingExchange,
        ClusterService=FaultInjectingClusterService,
    )
    signal.signal(signal.SIGUSR2, read_faults)
    cli()


if __name__ == "__main__":
    main()
