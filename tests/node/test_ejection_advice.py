"""Ejection advice, which reports of other nodes give: what a node does on it."""

from __future__ import annotations

import random

import pytest

from larchlatch.config.deployment import read_deployment_settings
from larchlatch.config.endpoints import EndpointList, parse_endpoint
from larchlatch.config.upstream import UpstreamSettings
from larchlatch.node.balancer_actor import BalancerActor
from larchlatch.node.descriptor_budget import DescriptorBudget
from larchlatch.node.mailbox import Mailbox
from larchlatch.node.messages import EjectionAdvised, EndpointsChanged, UnreachableUpstream
from larchlatch.node.metrics import Counters
from larchlatch.node.upstream_registry import UpstreamRegistry
from larchlatch.policy.balancer import Balancer
from tests.support.configuration import endpoint_row, node_configuration

NOW_US = 100_000_000


@pytest.mark.parametrize("allowed", [True, False])
def test_advice_starts_a_probe_only_where_the_settings_allow_probes(allowed: bool) -> None:
    """Elsewhere an upstream answers NO, which would count as a failure and be reported to all nodes."""
    raw = node_configuration([], 1, caps={"probes": allowed})["settings"]
    counters = Counters()
    mailbox = Mailbox(counters)
    registry = UpstreamRegistry(
        ["a", "b"], UpstreamSettings(250_000, False, False, 0), DescriptorBudget(64), counters, mailbox.post
    )
    balancer = Balancer(read_deployment_settings(raw, "settings"), random.Random(1))
    actor = BalancerActor(balancer, ["rerun"], mailbox, registry, counters)
    entry = parse_endpoint(endpoint_row(0, "127.0.0.1:9"), "row")
    actor.handle(NOW_US, EndpointsChanged(EndpointList(1, True, [entry]), from_discovery=True))
    actor.handle(NOW_US, EjectionAdvised([entry.name], [UnreachableUpstream(entry.name, 2)]))
    assert registry.actors[0].is_idle is not allowed
    assert balancer.fleet.upstreams[0].unreachable, "the other nodes' reports count in both cases"
