"""A cold host under a whole fleet: what all nodes together send it stays within what it bears."""

from __future__ import annotations

import math

import pytest

from larchlatch.links import Outcome
from tests.ground import SECOND, Ground, line

FULL = 100.0  # links that fill a warm host of this size
COLD = 9  # the host that has just come up
LASTS = 10 * SECOND


def node_of(fleet: int, me: int, seed: int, now: int, came_up: int) -> Ground:
    """A node that has just started, before a host that came up then."""
    node = Ground(nodes=fleet, me=me, seed=seed, hosts=4, probes=True, probe_tells_load=True)
    node.now = now
    node.relist(line(COLD, came_up=came_up))
    return node


def asked(node: Ground, key: int) -> None:
    """One link comes, and its candidates are probed."""
    for host in node.lines:
        node.brain.report(node.now, host, True, 0.05 if host == COLD else 0.5, held=FULL / 2)
    link = node.arrive(key=key)
    node.run(SECOND // 100)
    if link.number in node.out:
        node.end(link, Outcome.STANDS)


@pytest.mark.parametrize("restarts", [False, True])
@pytest.mark.parametrize("told", [0.9, 1.0, 1.1])
@pytest.mark.parametrize(("nodes", "links"), [(2, 120), (7, 40), (30, 10), (200, 3)])
def test_a_fleet_keeps_a_cold_hosts_budget(nodes: int, links: int, told: float, restarts: bool) -> None:
    """Bursts at every node at once, and again later; nodes restart and forget what they have spent; the
    number of nodes that each is told is wrong by a tenth."""
    fleet = max(1, round(nodes * told))
    sends: list[int] = []
    start = 0
    for me in range(nodes):
        node = Ground(nodes=fleet, me=me, seed=me, hosts=4, probes=True, probe_tells_load=True)
        start = node.now
        node.relist(line(COLD, came_up=start))
        for burst in range(2):
            for number in range(links):
                asked(node, 1 + 1000 * me + 500 * burst + number)
            sends += [at - start for at, host in node.cold_sends if host == COLD]
            node.cold_sends.clear()
            if restarts:
                node = node_of(fleet, me, 7 * me + burst, node.now, start)
            node.run(start + (burst + 1) * LASTS // 2 - node.now if node.now < start + LASTS // 2 else SECOND)
    terms = Ground().terms
    rate = terms.tip_multiple * FULL * terms.tip_after_us / terms.cold_us

    def borne(at: int) -> float:
        able = rate * (terms.cold_from + (1 - terms.cold_from) * (at + SECOND) / terms.cold_us)
        return able + 2 * math.sqrt(able) + 2

    assert sends, "a host that nobody fills shows nothing"
    for at in sends:
        assert sum(at <= other < at + terms.tip_after_us for other in sends) <= borne(at)
