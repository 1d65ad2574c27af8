"""Members of a cluster without I/O, which read cluster files and exchange datagrams as a test chooses."""

from __future__ import annotations

import random
from itertools import count
from typing import Any, NamedTuple

from larchlatch.cluster.cluster_file import ClusterConfiguration, check_transition, parse_cluster
from larchlatch.cluster.exchange.exchange import Exchange
from larchlatch.cluster.exchange.state import SharedState
from larchlatch.cluster.membership.membership import Membership
from larchlatch.emulator.unsigned_signer import UnsignedSigner, unsigned_key
from larchlatch.errors import ConfigurationError
from larchlatch.invariants.observations import SessionAdmitted, SessionRequested
from larchlatch.invariants.quota_safety import QuotaSafety

SECOND_US = 1_000_000
HEARTBEAT_US = 200_000
START_US = 1_000_000 * SECOND_US
NAMES = "abcd"
LIMIT = 24
ELECTORS = ("a", "b", "c")


def cluster_file(
    names: str = NAMES,
    *,
    quotas: tuple[str, ...] = ("all",),
    electors: tuple[str, ...] = (),
    role_term_ms: int = 3000,
    **keys: Any,
) -> ClusterConfiguration:
    """Return a checked cluster file in which each traffic class has the name of its quota."""
    raw: dict[str, Any] = {
        "nodes": [
            {"name": name, "address": f"127.0.0.1:{7000 + index}", "key": name.encode().hex() * 32}
            for index, name in enumerate(names)
        ],
        "budgets": [{"name": quota, "links_per_s": LIMIT, "tariffs": [quota]} for quota in quotas],
        **keys,
    }
    if electors:
        roles = {"allot": bool(quotas), "pace": True, "term_ms": role_term_ms}
        raw["duties"] = {"electors": list(electors), **roles}
    return parse_cluster(raw, "cluster")


class Member:
    """One node with its exchange, which reads cluster files as `ClusterService.reload` does."""

    def __init__(
        self, name: str, configuration: ClusterConfiguration, now: int, *, opens: bool = True
    ) -> None:
        """Start a process of a node; unless it `opens`, another process of the node spends and promises."""
        self.name = name
        self.configuration = configuration
        rng = random.Random(name)
        membership = Membership(
            name,
            configuration.sites,
            heartbeat_us=configuration.heartbeat_us,
            wall_us=now,
            now_us=now,
            rng=rng,
        )
        self.state = SharedState.create(
            name,
            configuration.quota_settings,
            configuration.electorate,
            max_clock_difference_us=configuration.max_clock_difference_us,
            heartbeat_us=configuration.heartbeat_us,
            now=now,
            random=rng,
        )
        if opens:
            self.state.open(now)
        keys = {other: unsigned_key(other) for other in configuration.nodes}
        signer = UnsignedSigner(name)
        self.exchange = Exchange(
            membership, self.state, configuration.sites, keys, signer, signer, lambda counter: None
        )

    def read(self, configuration: ClusterConfiguration, now: int) -> None:
        """Apply a cluster file, unless it lacks this node or can't follow the present one."""
        try:
            check_transition(configuration, before=self.configuration)
        except ConfigurationError:
            return
        if self.name not in configuration.nodes:
            return
        self.configuration = configuration
        self.exchange.apply_configuration(
            configuration.sites,
            {other: unsigned_key(other) for other in configuration.nodes},
            configuration.quota_settings,
            configuration.electorate,
            heartbeat_us=configuration.heartbeat_us,
            now=now,
        )


class InFlight(NamedTuple):
    """A datagram on its way."""

    recipient: str
    data: bytes


class Network:
    """Members that exchange datagrams, which arrive when and in the order that the test chooses."""

    def __init__(self, configuration: ClusterConfiguration, names: str = NAMES) -> None:
        self.now = START_US
        self.members = {name: Member(name, configuration, self.now) for name in names}
        self.in_flight: list[InFlight] = []
        self.checker = QuotaSafety(LIMIT, SECOND_US)
        self._numbers = count()

    def send(self, member: Member, datagrams: list[Any]) -> None:
        for recipient, data in datagrams:
            assert recipient in member.configuration.nodes, "a datagram to a node that is no member"
            self.in_flight.append(InFlight(recipient, data))

    def heartbeat(self, name: str) -> None:
        member = self.members[name]
        self.send(member, member.exchange.heartbeat(now=self.now, wall=self.now).datagrams)

    def deliver(self, index: int) -> None:
        if not self.in_flight:
            return
        recipient, data = self.in_flight.pop(index % len(self.in_flight))
        if recipient in self.members:
            member = self.members[recipient]
            self.send(member, member.exchange.receive(data, now=self.now, wall=self.now).datagrams)

    def request_sessions(self, name: str, number: int, traffic_class: str = "all") -> None:
        for _ in range(number):
            session = str(next(self._numbers))
            if traffic_class == "all":
                self.checker.observe(SessionRequested(self.now, session))
            if not self.members[name].state.quotas.admit(self.now, traffic_class) and traffic_class == "all":
                self.checker.observe(SessionAdmitted(self.now, session))

    def run(self, duration_us: int, demand: dict[str, int]) -> None:
        """Run heartbeats in turn, with all datagrams delivered at once, and a demand at some members."""
        for _ in range(duration_us // HEARTBEAT_US):
            ends_at = self.now + HEARTBEAT_US
            for name in list(self.members):
                self.heartbeat(name)
                self.request_sessions(name, demand.get(name, 0))
                while self.in_flight:
                    self.deliver(0)
                self.now += HEARTBEAT_US // len(self.members)
            self.now = ends_at

    def borrowed(self, name: str) -> dict[str, int]:
        """Return the amounts that a member has borrowed, by lender."""
        amounts: dict[str, int] = {}
        for loan in self.members[name].state.quotas.accounts["all"].borrowed.values():
            if self.now < loan.ends_at:
                amounts[loan.lender] = amounts.get(loan.lender, 0) + loan.amount
        return amounts


def holders(network: Network, role_index: int) -> list[str]:
    """Return the members that hold a role now, by their own clocks."""
    return [
        name
        for name, member in network.members.items()
        if role_index < len(member.configuration.electorate.roles)
        and member.state.election.order_permit(
            network.now, member.configuration.electorate.roles[role_index]
        ).lease
    ]
