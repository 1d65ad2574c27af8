"""Runs the clients of a scenario: when they arrive, which node they connect to, and when they retry.

The load is open-loop: each client arrives at the time that the scenario states, however slowly earlier
clients were served, and its latency is measured from that time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from larchlatch.invariants.session_figures import SessionEvent, time_histogram
from larchlatch.loadtest.client_sessions import SessionResult
from larchlatch.scenario.amounts import SECOND
from larchlatch.scenario.clients import MAX_RECONNECT_US, MIN_RECONNECT_US, entry_node_index

if TYPE_CHECKING:
    from collections.abc import Sequence

    from larchlatch.invariants.session_figures import SessionFigures
    from larchlatch.loadtest.background_tasks import BackgroundTasks
    from larchlatch.loadtest.client_sessions import ClientSessions
    from larchlatch.loadtest.node_fleet import NodeFleet
    from larchlatch.loadtest.node_process import NodeProcess
    from larchlatch.loadtest.scenario_clock import ScenarioClock
    from larchlatch.scenario.clients import Client
    from larchlatch.scenario.random_streams import RandomStreams
    from larchlatch.scenario.scenario import Scenario


class ClientPopulation:
    """Starts all clients of a scenario when they are due, and runs each until it leaves or gives up.

    Attributes:
        lateness: Histogram of how late the load test started each client, in microseconds.

    """

    def __init__(
        self,
        scenario: Scenario,
        streams: RandomStreams,
        clock: ScenarioClock,
        sessions: ClientSessions,
        fleet: NodeFleet,
        figures: SessionFigures,
    ) -> None:
        self.lateness = time_histogram()
        self._scenario = scenario
        self._streams = streams
        self._clock = clock
        self._sessions = sessions
        self._fleet = fleet
        self._figures = figures

    async def run(self, clients: Sequence[Client], tasks: BackgroundTasks) -> None:
        """Start each client when it is due; `tasks` owns the clients' tasks."""
        for client in clients:
            due_s = client.due / SECOND
            await self._clock.sleep_until(due_s)
            lateness_us = round((self._clock.elapsed_s() - due_s) * SECOND)
            self.lateness.record_value(max(1, lateness_us))
            tasks.start(self._run_client, client)

    async def _run_client(self, client: Client) -> None:
        """Run a client from its arrival until it leaves or gives up."""
        due_s = client.due / SECOND
        end_s = self._end_s(client)
        self._figures.counts[SessionEvent.CLIENT_ARRIVED] += 1
        self._figures.wanted_us += (end_s - due_s) * SECOND
        while self._clock.elapsed_s() < end_s:
            client.sessions += 1
            result = await self._run_session(client, due_s, end_s)
            if result.established:
                client.rejections = 0
                await anyio.sleep(self._return_pause_s(client))
                due_s = self._clock.elapsed_s()
                continue
            client.rejections += 1
            if client.rejections > self._scenario.sessions.max_retries:
                self._figures.counts[SessionEvent.ABANDONED] += 1
                return
            await anyio.sleep(result.retry_after_us / SECOND or self._retry_pause_s(client))

    async def _run_session(self, client: Client, due_s: float, end_s: float) -> SessionResult:
        node = self._choose_node(client)
        if node is None:
            return SessionResult(established=False)
        return await self._sessions.run(client, node, due_s=due_s, end_s=end_s)

    def _end_s(self, client: Client) -> float:
        """Return when a client leaves, in seconds of the scenario."""
        return min(self._scenario.span_s, (client.due + client.life_us) / SECOND)

    def _choose_node(self, client: Client) -> NodeProcess | None:
        """Return the node that a client connects to, of its own zone if possible; None if no node serves."""
        nodes = self._fleet.in_rotation()
        eligible = [node for node in nodes if self._fleet.zone_of(node) == client.zone] or nodes
        if not eligible:
            return None
        draw = self._streams.draw("front", client.number, client.sessions)
        return eligible[entry_node_index(draw, len(eligible), self._scenario.sessions.imbalance)]

    def _return_pause_s(self, client: Client) -> float:
        """Return how many seconds a client waits after its session has ended before it requests another."""
        low, high = MIN_RECONNECT_US, MAX_RECONNECT_US
        draw = self._streams.draw("return", client.number, client.sessions)
        return (low + (high - low) * draw) / SECOND

    def _retry_pause_s(self, client: Client) -> float:
        """Return how many seconds a rejected client waits before it retries, if the node names no delay."""
        mean_s = self._scenario.sessions.retry_pause_ms / 1e3
        return mean_s * 2 * self._streams.draw("back", client.number, client.sessions)
