"""The description of a scenario: nodes, upstreams, demand, network, discovery, cluster and faults.

Attributes bear the names of the field; where a scenario file has another key, it stands beside the attribute.
"""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, field

from larchlatch.config.toml_file import Strict
from larchlatch.scenario.amounts import Count, CountOrZero, NonNegative, Positive, Share
from larchlatch.scenario.faults import AnyFault


class NodeFleet(Strict, frozen=True):
    """The nodes.

    Attributes:
        count: How many there are.
        restart_after_s: How long a killed node is away; it comes back with the endpoint list that it had.
        detection_s: How long clients are still sent to a node that has died.

    """

    count: Count = 2
    restart_after_s: NonNegative = field(default=2.0, name="back_s")
    detection_s: NonNegative = field(default=1.0, name="noticed_s")


class UpstreamGroup(Strict, frozen=True):
    """Upstreams of one size, spread over the zones.

    Attributes:
        count: How many there are.
        size: Cores of each; a core does a second of work in a second.
        absent: How many of them are not there until an `UpstreamJoin` starts them.

    """

    count: Count = 4
    size: Positive = 1.0
    absent: CountOrZero = field(default=0, name="late")


class SlowStart(Strict, frozen=True):
    """How an upstream that starts warms up, and what overloads it meanwhile.

    Attributes:
        initial_share: The share of its work that it can do at first.
        duration_s: How long it takes to do all of it.
        overload_multiple: Work within the overload window, over what it can do, from which it falls over.
        overload_window_s: Length of the overload window.

    """

    initial_share: Share = field(default=0.2, name="least")
    duration_s: NonNegative = field(default=15.0, name="warm_s")
    overload_multiple: Positive = 4.0
    overload_window_s: Positive = field(default=1.0, name="tip_s")


class Demand(Strict, frozen=True):
    """Clients arrive independently of what became of earlier ones.

    Attributes:
        rate: Clients that arrive in a second, at all nodes together.
        lifetime_s: Mean time that a client wants a session for; exponential.
        load_ms: Mean work that an established session costs in a second; exponential.
        setup_ms: Mean work of establishing a session; exponential.
        groups: How many groups (affinity keys) there are.
        group_skew: Zipf's exponent of the groups' sizes.
        group_ms: Work a second that a group costs each upstream that has any of its sessions.
        wait_ms: How long a client waits for its final answer.
        expected_ms: The latency objective of establishing a session.
        message_ms: The latency objective of a message.
        message_interval_s: How often a client says something.
        idempotencies: The traffic classes, by whether an attempt may be repeated.
        dedup_window_s: How long upstreams remember keyed sessions.
        max_retries: How often a client comes back after a rejection; one whose session broke starts anew.
        imbalance: How unevenly clients fall on the nodes of their zone; 0 is evenly.
        retry_pause_ms: Mean pause of a client before it comes back, where the node gives no advice.

    """

    rate: Positive = 20.0
    lifetime_s: Positive = field(default=20.0, name="life_s")
    load_ms: NonNegative = 5.0
    setup_ms: NonNegative = 2.0
    groups: Count = 50
    group_skew: NonNegative = field(default=0.8, name="skew")
    group_ms: NonNegative = 0.0
    wait_ms: Positive = 3000.0
    expected_ms: Positive = 500.0
    message_ms: Positive = 50.0
    message_interval_s: Positive = field(default=2.0, name="beat_s")
    idempotencies: Annotated[list[str], Meta(min_length=1)] = field(
        default_factory=lambda: ["rerunnable"], name="effects"
    )
    dedup_window_s: NonNegative = field(default=5.0, name="memory_s")
    max_retries: CountOrZero = field(default=4, name="retries")
    imbalance: NonNegative = field(default=0.0, name="uneven")
    retry_pause_ms: Positive = field(default=400.0, name="back_ms")


class NetworkLatency(Strict, frozen=True):
    """The network between nodes and upstreams.

    Attributes:
        same_zone_ms: One way, within a zone.
        other_zone_ms: One way, between zones.
        connect_timeout_ms: How long a node waits for a connection.
        probes: Whether upstreams answer probes with their load.

    """

    same_zone_ms: NonNegative = field(default=0.3, name="near_ms")
    other_zone_ms: NonNegative = field(default=2.0, name="far_ms")
    connect_timeout_ms: Positive = field(default=250.0, name="dial_ms")
    probes: bool = True


class Discovery(Strict, frozen=True):
    """When a node hears of a change of the endpoint list: drawn between the two."""

    min_delay_ms: NonNegative = field(default=50.0, name="soon_ms")
    max_delay_ms: NonNegative = field(default=400.0, name="late_ms")


class Cluster(Strict, frozen=True):
    """What nodes share.

    Attributes:
        on: Whether nodes know of each other.
        heartbeat_ms: Time between two heartbeats.
        sessions_per_s: The quota of new sessions of all nodes together; 0 for none.
        floor: The share of each node's quota share that it never lends.
        window_s: The window of the quota.
        term_s: Length of loans and leases.
        max_clock_skew: The worst clock error that nodes allow for, as a share.
        electors: How many nodes elect the holders of roles; odd.
        quota_allocator: Whether one node lends what the quota holds above all floors.
        token_issuer: Whether one node says who sends the next session to an upstream that warms up.

    """

    on: bool = False
    heartbeat_ms: Annotated[int, Meta(ge=20, le=10_000)] = field(default=200, name="beat_ms")
    sessions_per_s: NonNegative = 0.0
    floor: Share = 0.5
    window_s: Annotated[float, Meta(ge=0.1, le=60)] = 1.0
    term_s: Annotated[float, Meta(ge=0.5, le=600)] = 3.0
    max_clock_skew: Annotated[float, Meta(ge=0, le=0.1)] = field(default=0.01, name="skew")
    electors: Annotated[int, Meta(ge=3, le=7)] = 3
    quota_allocator: bool = field(default=False, name="allot")
    token_issuer: bool = field(default=False, name="pace")

    @property
    def has_roles(self) -> bool:
        """Whether there is any role to be elected for."""
        return self.quota_allocator or self.token_issuer


class Scenario(Strict, frozen=True):
    """A scenario.

    Attributes:
        name: Its name in results.
        span_s: Its length.
        seed: Source of everything that is drawn.
        zones: How many zones nodes, upstreams and clients are spread over.
        cells: How many cells upstreams are spread over.
        packet_forwarding: Whether packets pass through nodes, so that sessions outlive their node.
        shared_store_ms: What the shared store takes for each session, beside the upstream's own work.
        nodes: The nodes.
        upstreams: The groups of upstreams.
        slow_start: How upstreams warm up.
        sessions: The demand.
        network: Latencies.
        discovery: Delays of the endpoint list.
        cluster: What nodes share.
        faults: What goes wrong.

    """

    name: str = "day"
    span_s: Annotated[float, Meta(gt=0, le=86_400)] = 30.0
    seed: int = 1
    zones: Annotated[int, Meta(ge=1, le=64)] = 2
    cells: Annotated[int, Meta(ge=1, le=1000)] = 1
    packet_forwarding: bool = field(default=False, name="passes")
    shared_store_ms: NonNegative = field(default=0.0, name="store_ms")
    nodes: NodeFleet = NodeFleet()
    upstreams: Annotated[list[UpstreamGroup], Meta(min_length=1)] = field(
        default_factory=lambda: [UpstreamGroup()]
    )
    slow_start: SlowStart = field(default=SlowStart(), name="cold")
    sessions: Demand = Demand()
    network: NetworkLatency = NetworkLatency()
    discovery: Discovery = field(default=Discovery(), name="listing")
    cluster: Cluster = Cluster()
    faults: list[AnyFault] = field(default_factory=list)

    @property
    def upstream_count(self) -> int:
        """How many upstreams there ever are."""
        return sum(group.count for group in self.upstreams)

    @property
    def absent_upstream_count(self) -> int:
        """How many upstreams are not there at first."""
        return sum(group.absent for group in self.upstreams)
