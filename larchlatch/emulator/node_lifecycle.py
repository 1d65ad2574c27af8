"""Starts, kills and restarts simulated nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from larchlatch.emulator.clock import Priority
from larchlatch.emulator.node import SimulatedNode
from larchlatch.emulator.session_table import ForwardedSession
from larchlatch.invariants.session_figures import SessionEvent
from larchlatch.scenario.amounts import us
from larchlatch.scenario.node_settings import deployment_settings

if TYPE_CHECKING:
    from larchlatch.emulator.baselines import PolicyFactory
    from larchlatch.emulator.clients import ClientPopulation
    from larchlatch.emulator.cluster import SimulatedCluster
    from larchlatch.emulator.context import SimulationContext
    from larchlatch.emulator.discovery import SimulatedDiscovery
    from larchlatch.emulator.node_environment import NodeEnvironment
    from larchlatch.emulator.session_record import SessionRecord
    from larchlatch.policy.types import Endpoint


class NodeLifecycle:
    """Starts, kills and restarts nodes.

    Attributes:
        decommissioned: The numbers of the nodes that are stopped permanently.

    """

    def __init__(
        self,
        context: SimulationContext,
        environment: NodeEnvironment,
        create_policy: PolicyFactory,
        *,
        clients: ClientPopulation,
        discovery: SimulatedDiscovery,
        cluster: SimulatedCluster | None,
    ) -> None:
        """Prepare to start nodes in this environment; `create_policy` creates the policy of each."""
        self.decommissioned: set[int] = set()
        self._context = context
        self._environment = environment
        self._create_policy = create_policy
        self._clients = clients
        self._discovery = discovery
        self._cluster = cluster
        self._start_counts = [0] * context.scenario.nodes.count

    def start_all(self) -> None:
        """Create all nodes."""
        nodes = self._context.nodes
        nodes.extend(self._create(number) for number in range(self._context.scenario.nodes.count))

    def _create(self, number: int) -> SimulatedNode:
        self._start_counts[number] += 1
        scenario = self._context.scenario
        rng = self._context.streams.stream(f"node {number} start {self._start_counts[number]}")
        policy = self._create_policy(deployment_settings(scenario, number), rng)
        node = SimulatedNode(self._environment, policy, number=number, zone=number % scenario.zones)
        if self._cluster is not None:
            node.cluster = self._cluster.members[number]
        return node

    def is_current(self, node: SimulatedNode) -> bool:
        """Return whether this is the latest process of a node."""
        return self._context.nodes[node.number] is node

    def kill(self, node: SimulatedNode) -> None:
        """Kill a node; its next process starts with the endpoint list that the killed one had."""
        if self._cluster is not None:
            self._cluster.kill(node.number)
        nodes, clock = self._context.scenario.nodes, self._context.clock
        endpoints = list(node.endpoints.values())
        self._context.rules.node_died(node.number)
        clock.call_later(nodes.detection_s, self._detect_death, node)
        if node.number not in self.decommissioned:
            clock.call_later(nodes.restart_after_s, self._restart, node, endpoints)
        for record in node.die():
            self._lose_session(record)

    def decommission(self, node: SimulatedNode) -> None:
        """Kill a node without restarting it."""
        self.decommissioned.add(node.number)
        self.kill(node)

    def _lose_session(self, record: SessionRecord) -> None:
        """End a session of a dead node: its client reconnects, or its packets arrive through another node."""
        number, attempt, client = record.session.number, record.attempt, record.client
        sessions = self._context.sessions
        self._context.rules.session_over(number)
        if sessions.established.pop(number, None) is not None:
            if self._context.scenario.packet_forwarding and attempt is not None:
                self._forward(record, ForwardedSession(attempt.upstream, number))
                return
            self._context.figures.counts[SessionEvent.LOST_WITH_NODE] += 1
        sessions.release_forwarded(number, client)
        if attempt is not None and attempt.is_held:
            sessions.release(attempt.upstream, number, client)
        self._clients.reconnect(client)

    def _forward(self, record: SessionRecord, forwarded: ForwardedSession) -> None:
        """Schedule that a client's next message after the death is detected takes another node."""
        scenario, clock = self._context.scenario, self._context.clock
        draw = self._context.streams.draw("beat", record.session.number)
        next_message_us = round(us(scenario.sessions.message_interval_s) * draw)
        at = clock.now + us(scenario.nodes.detection_s) + next_message_us
        clock.schedule(at, Priority.ENVIRONMENT, self._clients.connect, record.client, forwarded)

    def _detect_death(self, node: SimulatedNode) -> None:
        if not node.is_alive and self.is_current(node):
            self._clients.is_entry[node.number] = False

    def _restart(self, dead: SimulatedNode, endpoints: list[Endpoint]) -> None:
        if self._cluster is not None:
            self._cluster.restart(dead.number)
        node = self._context.nodes[dead.number] = self._create(dead.number)
        self._context.trace.record("restart", node.number)
        node.receive_endpoints(endpoints, whole=True, from_discovery=False)
        self._discovery.reset_delivery_order(node)
        self._discovery.send_whole_list(node)
        self._clients.is_entry[node.number] = True
