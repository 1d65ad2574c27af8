"""A day: nodes, hosts, clients, the list, and what goes wrong when; read and checked here alone."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Annotated, Any

from msgspec import Meta, field

from larchlatch.config.toml_file import Strict, convert_table, read_toml
from larchlatch.errors import ConfigurationError
from larchlatch.policy.types import DedupScope, DeploymentSettings, Idempotency, TrafficClass
from larchlatch.scenario.amounts import SECOND, Amount, Count, Few, Positive, Share, us
from larchlatch.scenario.faults import BETWEEN, AnyFault, Cut, Join, Kill, Liar, Part, Skew, Stall


class Nodes(Strict, frozen=True):
    count: Count = 2
    back_s: Amount = 2.0  # a killed node is back after this, with the list it had
    noticed_s: Amount = 1.0  # until the front no longer sends clients to a node that has died


class Upstreams(Strict, frozen=True):
    """So many hosts alike; they are spread over the zones."""

    count: Count = 4
    size: Positive = 1.0  # cores; a core does a second of work a second
    late: Few = 0  # of these, so many are not there at first: `join` brings them


class Cold(Strict, frozen=True):
    """How a host that starts warms up, and what pushes it over."""

    least: Share = 0.2  # the share of its work that it can do at first
    warm_s: Amount = 15.0
    overload_multiple: Positive = 4.0
    tip_s: Positive = 1.0


class Sessions(Strict, frozen=True):
    """Clients come by themselves, whatever became of those before."""

    rate: Positive = 20.0  # a second, all together
    life_s: Positive = 20.0  # the mean; lives are exponential
    load_ms: Amount = 5.0  # work a second of a standing link, in ms; exponential
    setup_ms: Amount = 2.0  # work of a setup; exponential
    groups: Count = 50
    skew: Amount = 0.8  # Zipf's exponent of the groups' sizes
    group_ms: Amount = 0.0  # work a second that a group costs each host that has any of it
    wait_ms: Positive = 3000.0  # a client waits so long for its answer
    expected_ms: Positive = 500.0
    message_ms: Positive = 50.0  # a message is wanted within this
    beat_s: Positive = 2.0  # a client says something so often
    effects: Annotated[list[str], Meta(min_length=1)] = field(default_factory=lambda: ["rerunnable"])
    memory_s: Amount = 5.0  # how long a group of hosts remembers a ticket
    retries: Few = 4  # after a refusal; a link that broke comes back anew
    uneven: Amount = 0.0  # how unevenly clients fall on the nodes of their zone; 0: evenly
    back_ms: Positive = 400.0  # the mean pause before that, where nobody has said better


class Network(Strict, frozen=True):
    near_ms: Amount = 0.3  # one way, within a zone
    far_ms: Amount = 2.0
    dial_ms: Positive = 250.0
    probes: bool = True


class Listing(Strict, frozen=True):
    """How soon a change of the list is heard at a node: drawn between the two."""

    soon_ms: Amount = 50.0
    late_ms: Amount = 400.0


class Cluster(Strict, frozen=True):
    """Whether nodes know of each other."""

    on: bool = False
    beat_ms: Annotated[int, Meta(ge=20, le=10_000)] = 200
    sessions_per_s: Amount = 0.0  # new links of the whole installation; 0: no such budget
    floor: Share = 0.5  # the share of each node's part that it never lends
    window_s: Annotated[float, Meta(ge=0.1, le=60)] = 1.0
    term_s: Annotated[float, Meta(ge=0.5, le=600)] = 3.0
    skew: Annotated[float, Meta(ge=0, le=0.1)] = 0.01  # the worst clock that nodes allow for
    electors: Annotated[int, Meta(ge=3, le=7)] = 3  # of who holds a duty; odd
    allot: bool = False  # one node deals out what the budget holds above all floors
    pace: bool = False  # one node says who sends the next link to a cold host


class Day(Strict, frozen=True):
    name: str = "day"
    span_s: Annotated[float, Meta(gt=0, le=86_400)] = 30.0
    seed: int = 1
    zones: Annotated[int, Meta(ge=1, le=64)] = 2
    cells: Annotated[int, Meta(ge=1, le=1000)] = 1
    passes: bool = False  # packets pass through the nodes: a link outlives its node
    store_ms: Amount = 0.0  # what all setups need takes so long, beside the host's own work
    nodes: Nodes = Nodes()
    upstreams: Annotated[list[Upstreams], Meta(min_length=1)] = field(default_factory=lambda: [Upstreams()])
    cold: Cold = Cold()
    sessions: Sessions = Sessions()
    network: Network = Network()
    listing: Listing = Listing()
    cluster: Cluster = Cluster()
    faults: list[AnyFault] = field(default_factory=list)

    @property
    def places(self) -> int:
        """How many hosts there ever are."""
        return sum(entry.count for entry in self.upstreams)


def checked(raw: Any, top: str) -> Day:
    day = convert_table(raw, Day, top)
    for place, effect in enumerate(day.sessions.effects):
        if effect not in {idempotency.value for idempotency in Idempotency}:
            raise ConfigurationError(top, f"links.effects[{place}]: no such effect ({effect!r})")
    if day.listing.late_ms < day.listing.soon_ms:
        raise ConfigurationError(top, "listing.late_ms: less than listing.soon_ms")
    cluster = day.cluster
    if cluster.allot and not (cluster.on and cluster.sessions_per_s):
        raise ConfigurationError(top, "cluster.allot: there is no budget to deal out")
    if cluster.pace and not cluster.on:
        raise ConfigurationError(top, "cluster.pace: cluster.on is false: nodes don't talk to each other")
    if cluster.electors % 2 == 0 or ((cluster.allot or cluster.pace) and cluster.electors > day.nodes.count):
        raise ConfigurationError(top, f"cluster.electors: an odd number of the nodes ({cluster.electors})")
    absent = 0
    for place, entry in enumerate(day.upstreams):
        if entry.late > entry.count:
            raise ConfigurationError(top, f"hosts[{place}].late: more than the hosts there are")
        absent += entry.late
    for place, fault in enumerate(day.faults):
        where = f"{top}: faults[{place}]"
        upstreams = getattr(fault, "upstreams", 0)
        if upstreams > (absent if isinstance(fault, Join) else day.places):
            raise ConfigurationError(f"{where}.hosts", f"more than there are ({upstreams})")
        if isinstance(fault, Kill | Stall | Part | Skew | Liar) and fault.nodes > day.nodes.count:
            raise ConfigurationError(f"{where}.nodes", f"more than there are ({fault.nodes})")
        if isinstance(fault, BETWEEN) and not day.cluster.on:
            raise ConfigurationError(where, "cluster.on is false: nodes don't talk to each other")
        if isinstance(fault, Part):
            if (fault.nodes > 0) is (fault.zone >= 0):
                raise ConfigurationError(where, "one of nodes and zone says who is cut off")
            if fault.zone >= day.zones:
                raise ConfigurationError(
                    f"{where}.zone", f"there are {day.zones}, counted from 0 ({fault.zone})"
                )
        if isinstance(fault, Cut) and fault.zone >= day.zones:
            raise ConfigurationError(f"{where}.zone", f"there are {day.zones}, counted from 0 ({fault.zone})")
    return day


def day_of(path: Path, changes: dict[str, Any] | None = None) -> Day:
    """The day that a file tells of; changes: other values by their keys, dots between."""
    raw = read_toml(path, "day")
    for key, value in (changes or {}).items():
        put(raw, key, value)
    return checked(raw, "day")


def put(raw: dict[str, Any], key: str, value: Any) -> None:
    """Change one value by its key, as `nodes.count` or `hosts.0.size`."""
    at: Any = raw
    words = re.split(r"[.\[\]]+", key.strip("]"))
    for word in words[:-1]:
        if isinstance(at, list):
            if not word.isdigit() or int(word) >= len(at):
                raise ConfigurationError("day", f"{key}: there is no {word}")
            at = at[int(word)]
        else:
            at = at.setdefault(word, {})
        if not isinstance(at, dict | list):
            raise ConfigurationError("day", f"{key}: {word} is a value by itself")
    if isinstance(at, list):
        if not words[-1].isdigit() or int(words[-1]) >= len(at):
            raise ConfigurationError("day", f"{key}: there is no {words[-1]}")
        at[int(words[-1])] = value
    else:
        at[words[-1]] = value


def settings_for(day: Day, me: int) -> DeploymentSettings:
    """The settings that a node's decisions read on this day."""
    sessions = day.sessions
    return DeploymentSettings(
        me=me,
        nodes=day.nodes.count,
        traffic_classes=tuple(
            TrafficClass(
                us(sessions.expected_ms / 1e3),
                us(sessions.message_ms / 1e3),
                Idempotency(effect),
                DedupScope.ALL,
                us(sessions.memory_s),
            )
            for effect in sessions.effects
        ),
        uses_groups=True,
        weighted=True,
        polls_discovery=False,
        probes=day.network.probes,
        can_cancel=True,
        probes_report_load=day.network.probes,
        reports_delay=False,  # as real nodes say
        max_attempts=6,
        max_retry_after_us=us(sessions.wait_ms / 2e3),
        poll_within_us=10 * SECOND,
        slow_start_min_share=day.cold.least,
        slow_start_us=us(day.cold.warm_s),
        overload_multiple=day.cold.overload_multiple,
        overload_window_us=us(day.cold.tip_s),
    )
