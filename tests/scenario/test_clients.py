"""Tests of the clients that a scenario generates."""

from __future__ import annotations

from larchlatch.scenario.clients import client_arrivals
from larchlatch.scenario.random_streams import RandomStreams
from larchlatch.scenario.scenario_file import parse_scenario
from tests.support.simulations import ALL_FAULTS, SMALL


def test_a_further_fault_changes_no_arrival() -> None:
    """Guards against random numbers that faults and clients share.

    If faults drew from the stream of the clients, an added fault would change the demand, and results with
    and without the fault could not be compared.
    """
    came = []
    for faults in ([], ALL_FAULTS):
        day = parse_scenario({**SMALL, "faults": faults}, "day")
        clients = client_arrivals(day, RandomStreams(day.seed))
        came.append([(c.due, c.life_us, c.group, c.load) for c in clients])
    assert came[0] == came[1] and len(came[0]) > 200
    streams = RandomStreams(7)
    draws = [streams.draw("x", 1), streams.draw("x", 2), streams.draw("y", 1), RandomStreams(8).draw("x", 1)]
    assert len(set(draws)) == 4
