"""A node's process that can be made to go by a wrong clock, and to lie to others. Started by the load tool.

A whole node, with these two seams, and one more line in its log for each leave of a pacer. SIGUSR2 makes it
read its orders, a JSON file that a variable of its environment names: `skew`, the share that its clock gains
from now on; `about`, what it lies about.
"""

from __future__ import annotations

import os
import signal
import weakref
from pathlib import Path
from typing import Any

import orjson

from larchlatch.__main__ import cli
from larchlatch.cluster import service as actor
from larchlatch.cluster.election.electorate import TOKEN_ISSUER
from larchlatch.cluster.exchange.results import ExecutedOrder
from larchlatch.scenario.puppets import ORDERS, Drift, Lying

true_us = actor.steady_us
drift = Drift(true_us())
exchanges: weakref.WeakSet[Puppet] = weakref.WeakSet()


class Puppet(Lying):
    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        exchanges.add(self)


class Node(actor.ClusterService):
    def update_endpoints(self, *args: Any, **named: Any) -> None:
        super().update_endpoints(*args, **named)
        assert isinstance(self.exchange, Lying)
        self.exchange.upstreams = list(self.upstreams)

    def log_orders(self, orders: list[ExecutedOrder]) -> None:
        """The judge wants to see each order, also those that are not told at the usual level."""
        super().log_orders(orders)
        for order in orders:
            if order.role == TOKEN_ISSUER:
                actor.log.info("order_executed", **order._asdict())


def ordered(*_: object) -> None:
    orders = orjson.loads(Path(os.environ[ORDERS]).read_bytes())
    drift.run(true_us(), orders["skew"])
    for exchange in exchanges:
        exchange.about = orders["about"]


def main() -> None:
    vars(actor).update(steady_us=lambda: drift.at(true_us()), Exchange=Puppet, ClusterService=Node)
    signal.signal(signal.SIGUSR2, ordered)
    cli()


if __name__ == "__main__":
    main()
