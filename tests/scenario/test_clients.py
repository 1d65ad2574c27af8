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
    arrivals = []
    for faults in ([], ALL_FAULTS):
        scenario = parse_scenario({**SMALL, "faults": faults}, "day")
        clients = client_arrivals(scenario, RandomStreams(scenario.seed))
        arrivals.append([(client.due, client.life_us, client.group, client.load) for client in clients])
    assert arrivals[0] == arrivals[1] and len(arrivals[0]) > 200
    streams = RandomStreams(7)
    draws = [streams.draw("x", 1), streams.draw("x", 2), streams.draw("y", 1), RandomStreams(8).draw("x", 1)]
    assert len(set(draws)) == 4
