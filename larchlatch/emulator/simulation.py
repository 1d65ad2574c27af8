"""Creates the components of a simulation, connects them and runs a scenario from start to end."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from larchlatch.emulator.baselines import POLICIES
from larchlatch.emulator.clients import ClientPopulation
from larchlatch.emulator.clock import Priority
from larchlatch.emulator.cluster import SimulatedCluster
from larchlatch.emulator.context import START_US, SimulationContext
from larchlatch.emulator.discovery import SimulatedDiscovery
from larchlatch.emulator.faults import (
    SimulatedClientFaults,
    SimulatedNetworkFaults,
    SimulatedNodeFaults,
    SimulatedUpstreamFaults,
)
from larchlatch.emulator.network import SimulatedNetwork
from larchlatch.emulator.node_environment import NodeEnvironment
from larchlatch.emulator.node_lifecycle import NodeLifecycle
from larchlatch.emulator.report import result_of
from larchlatch.emulator.shared_store import SharedStore
from larchlatch.emulator.silence_detection import SilenceDetection
from larchlatch.emulator.upstream_fleet import UpstreamFleet
from larchlatch.emulator.upstream_sampling import INTERVAL_US, UpstreamSampling
from larchlatch.scenario.amounts import us
from larchlatch.scenario.clients import client_arrivals
from larchlatch.scenario.fault_injection import FaultInjector
from larchlatch.scenario.faults import AnyFault, trace_name

if TYPE_CHECKING:
    from collections.abc import Callable

    from larchlatch.emulator.baselines import PolicyFactory
    from larchlatch.emulator.node import SimulatedNode
    from larchlatch.scenario.scenario import Scenario
    from larchlatch.scenario.upstreams import SimulatedUpstream


class Simulation:
    """A scenario that runs in simulated time.

    Attributes:
        scenario: The scenario.
        context: The state that all components share.
        cluster: The cluster; None if the scenario has none.
        lifecycle: Starts, kills and restarts nodes.

    """

    def __init__(
        self,
        scenario: Scenario,
        policy: str | PolicyFactory = "larchlatch",
        write_trace: Callable[[bytes], None] | None = None,
    ) -> None:
        """Create and connect the components.

        Args:
            scenario: The scenario to run.
            policy: The policy of all nodes: the name of one of `POLICIES`, or a factory.
            write_trace: Called with each line of the trace, if given.

        """
        create_policy = POLICIES[policy] if isinstance(policy, str) else policy
        self.scenario = scenario
        self.context = context = SimulationContext(scenario, write_trace)
        self.cluster = SimulatedCluster(context) if scenario.cluster.on else None
        self._discovery = SimulatedDiscovery(context)
        self._clients = ClientPopulation(context)
        silence, store = SilenceDetection(context), SharedStore(scenario.shared_store_ms)
        fleet = UpstreamFleet(context, self._discovery, silence)
        self._sampling = UpstreamSampling(context, fleet)
        upstream_faults = SimulatedUpstreamFaults(context, fleet, store, self.cluster)
        network = SimulatedNetwork(context, store, upstream_faults.crash_under_overload)
        environment = NodeEnvironment(context.clock, context.rules, self._clients, network, self._discovery)
        self.lifecycle = NodeLifecycle(
            context,
            environment,
            create_policy,
            clients=self._clients,
            discovery=self._discovery,
            cluster=self.cluster,
        )
        self._injector = self._create_injector(upstream_faults, silence)
        self.lifecycle.start_all()

    def _create_injector(
        self, upstream_faults: SimulatedUpstreamFaults, silence: SilenceDetection
    ) -> FaultInjector[SimulatedUpstream, SimulatedNode]:
        context, clients, cluster = self.context, self._clients, self.cluster
        return FaultInjector(
            upstreams=upstream_faults,
            nodes=SimulatedNodeFaults(context, self.lifecycle, clients, cluster),
            network=SimulatedNetworkFaults(context, silence, self._discovery, cluster),
            clients=SimulatedClientFaults(context, clients),
            scheduler=context.clock,
        )

    def run(self) -> dict[str, Any]:
        """Run the scenario to its end and return its result."""
        context, clock = self.context, self.context.clock
        for node in context.nodes:
            node.receive_endpoints(list(self._discovery.endpoints.values()), whole=True)
        self._clients.schedule_arrivals(client_arrivals(self.scenario, context.streams))
        for index, fault in enumerate(self.scenario.faults):
            clock.schedule(START_US + us(fault.at_s), Priority.ENVIRONMENT, self._inject, index, fault)
        clock.schedule(START_US + INTERVAL_US, Priority.ENVIRONMENT, self._sampling.tick)
        clock.run_until(context.end)
        for upstream in context.upstreams:
            context.sessions.count_served_time(upstream)
        return result_of(context, self.cluster)

    def _inject(self, index: int, fault: AnyFault) -> None:
        self.context.trace.record("fault", trace_name(fault))
        fault.apply(self._injector, self.context.streams.stream(f"fault {index}"))
