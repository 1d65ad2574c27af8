"""The types of a scenario: nodes, upstreams, demand, network, discovery, cluster and faults.

Where the key in a scenario file differs from the attribute, it is the `name` of the field, or stands in
`FILE_KEYS` of `config/toml_file.py`.
"""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, field

from larchlatch.config.toml_file import Strict
from larchlatch.scenario.amounts import Count, CountOrZero, NonNegative, Positive, Share
from larchlatch.scenario.faults import AnyFault


class NodeFleet(Strict, frozen=True):
    """The nodes of a scenario.

    Attributes:
        count: The number of nodes.
        restart_after_s: The time from a node's crash to its restart, in seconds; the new process starts with
            the endpoint list of the old one.
        detection_s: How long clients still connect to a node that has crashed, in seconds.

    """

    count: Count = 2
    restart_after_s: NonNegative = field(default=2.0, name="back_s")
    detection_s: NonNegative = field(default=1.0, name="noticed_s")


class UpstreamGroup(Strict, frozen=True):
    """Upstreams of one size, distributed evenly over the zones.

    Attributes:
        count: The number of upstreams.
        size: The number of cores of each upstream; a core does one second of work per second.
        absent: How many of the upstreams run only after an `UpstreamJoin` has started them.

    """

    count: Count = 4
    size: Positive = 1.0
    absent: CountOrZero = field(default=0, name="late")


class SlowStart(Strict, frozen=True):
    """How an upstream warms up after its start, and which load makes it crash meanwhile.

    Attributes:
        initial_share: The share of its full capacity that an upstream has when it has just started.
        duration_s: The time until it has its full capacity, in seconds; capacity grows linearly.
        overload_multiple: An upstream that warms up crashes if the load of the sessions that arrive within
            the overload window exceeds this multiple of its present capacity.
        overload_window_s: The length of the overload window, in seconds.

    """

    initial_share: Share = field(default=0.2, name="least")
    duration_s: NonNegative = field(default=15.0, name="warm_s")
    overload_multiple: Positive = 4.0
    overload_window_s: Positive = field(default=1.0, name="tip_s")


class Demand(Strict, frozen=True):
    """The demand of clients. It is an open loop: the arrival of clients does not depend on earlier ones.

    Attributes:
        rate: The mean number of clients that arrive per second, at all nodes together.
        lifetime_s: The mean time for which a client wants a session, in seconds; exponentially distributed.
        load_ms: The mean work of an established session, in milliseconds per second; exponentially
            distributed.
        setup_ms: The mean work of establishing a session, in milliseconds; exponentially distributed.
        groups: The number of groups (affinity keys).
        group_skew: The exponent of the Zipf distribution of group sizes.
        group_ms: The additional work of an upstream for each group of which it has sessions, in
            milliseconds per second.
        wait_ms: How long a client waits for its final answer, in milliseconds.
        expected_ms: The latency objective of establishing a session, in milliseconds.
        message_ms: The latency objective of a message, in milliseconds.
        message_interval_s: The time between two messages of a client, in seconds.
        idempotencies: The idempotency of each traffic class, that is, whether an attempt may be repeated.
        dedup_window_s: How long upstreams recognize the repeat of a keyed session, in seconds.
        max_retries: The largest number of consecutive rejections after which a client retries; an established
            session resets the count.
        imbalance: How unevenly clients are distributed over the nodes of their zone; 0 is evenly.
        retry_pause_ms: The mean pause of a client before a retry if the node advises none, in milliseconds.

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
        same_zone_ms: The one-way latency within a zone, in milliseconds.
        other_zone_ms: The one-way latency between zones, in milliseconds.
        connect_timeout_ms: How long a node waits for a connection to an upstream, in milliseconds.
        probes: Whether upstreams answer probes with their load.

    """

    same_zone_ms: NonNegative = field(default=0.3, name="near_ms")
    other_zone_ms: NonNegative = field(default=2.0, name="far_ms")
    connect_timeout_ms: Positive = field(default=250.0, name="dial_ms")
    probes: bool = True


class Discovery(Strict, frozen=True):
    """The random delay between a change of the endpoint list and its receipt by a node.

    Attributes:
        min_delay_ms: The shortest delay, in milliseconds.
        max_delay_ms: The longest delay, in milliseconds.

    """

    min_delay_ms: NonNegative = field(default=50.0, name="soon_ms")
    max_delay_ms: NonNegative = field(default=400.0, name="late_ms")


class Cluster(Strict, frozen=True):
    """The settings of the cluster that nodes form.

    Attributes:
        on: Whether nodes form a cluster.
        heartbeat_ms: The time between two heartbeats, in milliseconds.
        sessions_per_s: The shared quota of new sessions per second of all nodes; 0 for no quota.
        floor: The fraction of its part of the quota that a node never lends.
        window_s: The length of the quota window, in seconds.
        term_s: The term of loans and leases, in seconds.
        max_clock_skew: The largest error of a clock's rate that nodes allow for; 0.01 is 1%.
        electors: The number of nodes that elect the holders of roles; it is odd.
        quota_allocator: Whether an elected node lends the part of the quota that exceeds the floors of all
            nodes.
        token_issuer: Whether an elected node decides which node sends the next session to an upstream in slow
            start.

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
        """Whether the cluster elects the holder of at least one role."""
        return self.quota_allocator or self.token_issuer


class Scenario(Strict, frozen=True):
    """A scenario for the emulator or the load test, as its file describes it.

    Attributes:
        name: The name of the scenario in results.
        span_s: The duration of the scenario, in seconds.
        seed: The seed of all random numbers.
        zones: The number of zones over which nodes, upstreams and clients are distributed.
        cells: The number of cells over which upstreams are distributed.
        packet_forwarding: Whether nodes forward the packets of sessions, so that sessions outlive their node.
        shared_store_ms: The time that the shared store takes to establish a session, in addition to the
            upstream's own work, in milliseconds.
        nodes: The nodes.
        upstreams: The groups of upstreams.
        slow_start: How upstreams warm up.
        sessions: The demand of clients.
        network: The latencies of the network.
        discovery: The delays of changes of the endpoint list.
        cluster: The settings of the cluster.
        faults: The faults, in any order.

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
        """The number of all upstreams, including those that are absent at the start."""
        return sum(group.count for group in self.upstreams)

    @property
    def absent_upstream_count(self) -> int:
        """The number of upstreams that are absent at the start."""
        return sum(group.absent for group in self.upstreams)
