"""Nodes of a cluster that a test drives step by step, with their keys and their entries in a cluster file."""

from __future__ import annotations

import random

from larchlatch.cluster.cluster_file import ClusterConfiguration, parse_cluster
from larchlatch.cluster.election.electorate import Electorate
from larchlatch.cluster.exchange.exchange import Exchange
from larchlatch.cluster.exchange.state import SharedState
from larchlatch.cluster.membership.member import MemberState
from larchlatch.cluster.membership.membership import Membership
from larchlatch.cluster.protocol.messages import DropReason
from larchlatch.cluster.protocol.signing import Signer, Verifier
from larchlatch.cluster.quota.loan_terms import LoanTerms
from larchlatch.cluster.quota.settings import QuotaSettings
from larchlatch.node.messages import EjectionAdvised, SlowStartTokens

HEARTBEAT_US = 200_000
LOAN_TERMS = LoanTerms(1_000_000, 3_000_000, 0.01)
WALL_US = 1_800_000_000_000_000
SECRETS = {name: bytes([place]) * 32 for place, name in enumerate("abcdefgh", 1)}
KEYS = {name: Signer(secret).public_key for name, secret in SECRETS.items()}
ENTRY = {"name": "a", "address": "10.0.0.1:7400", "key": KEYS["a"].hex()}
OTHER = {"name": "b", "address": "10.0.0.2:7400", "key": KEYS["b"].hex()}


class AcceptingBalancer:
    """A balancer that accepts everything that its cluster sends it."""

    def advise_ejection(self, advice: EjectionAdvised) -> None:
        pass

    def receive_tokens(self, tokens: SlowStartTokens) -> bool:
        return True


class ManualNode:
    """One node that a test drives step by step, with its membership, its exchange and its counters."""

    def __init__(
        self,
        name: str,
        names: str = "abcd",
        wall: int = WALL_US,
        seed: int = 1,
        *,
        quota_settings: QuotaSettings | None = None,
        electorate: Electorate | None = None,
    ) -> None:
        self.counts: dict[str, int] = {}
        self.members = Membership(
            name,
            dict.fromkeys(names, ""),
            heartbeat_us=HEARTBEAT_US,
            wall_us=wall,
            now_us=0,
            rng=random.Random(seed),
        )
        shared = SharedState.create(
            name,
            quota_settings or QuotaSettings((), tuple(names), 1.0, LOAN_TERMS, 1),
            electorate or Electorate(),
            max_clock_difference_us=0,
            heartbeat_us=HEARTBEAT_US,
            now=0,
            random=random.Random(seed),
        )
        sites = dict.fromkeys(names, "")
        self.exchange = Exchange(
            self.members, shared, sites, KEYS, Signer(SECRETS[name]), Verifier(), self.count
        )

    def count(self, kind: str) -> None:
        self.counts[kind] = self.counts.get(kind, 0) + 1

    def state(self, name: str) -> MemberState:
        return self.members.members[name].state

    def drop_count(self, why: DropReason) -> int:
        return self.counts.get(f"cluster_dropped_{why.value}", 0)

    def next_datagram(self, now: int = 0, wall: int = WALL_US) -> bytes:
        """Send a heartbeat and return the first of its datagrams."""
        return self.exchange.heartbeat(now=now, wall=wall).datagrams[0][1]


def run_heartbeats(nodes: list[ManualNode], first: int, count: int, cut: frozenset[str] = frozenset()) -> int:
    """Run heartbeats of all nodes in turn; no datagram passes between the nodes in `cut` and the others.

    Returns:
        The number of the next heartbeat.

    """
    by_name = {node.members.own_name: node for node in nodes}
    for number in range(first, first + count):
        now = number * HEARTBEAT_US
        for node in nodes:
            for name, data in node.exchange.heartbeat(now=now, wall=WALL_US + now).datagrams:
                if name in by_name and (name in cut) is (node.members.own_name in cut):
                    by_name[name].exchange.receive(data, now=now, wall=WALL_US + now)
    return first + count


def cluster_with_electors(*electors: str) -> ClusterConfiguration:
    nodes = [{"name": f"n{n}", "address": f"127.0.0.1:{7000 + n}", "key": f"{n:02x}" * 32} for n in range(6)]
    budgets = [{"name": "all", "links_per_s": 60, "tariffs": ["student"]}]
    duties = {"electors": list(electors), "allot": True}
    return parse_cluster({"nodes": nodes, "budgets": budgets, "duties": duties}, "cluster")
