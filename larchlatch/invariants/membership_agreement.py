"""Checks membership agreement: soon after a change, all nodes agree on which nodes are present.

This module does no I/O.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Sequence

from larchlatch.invariants.checker import Figures, Verdict
from larchlatch.invariants.observations import FleetChanged, MemberReported, NodeStarted, Observation

# How long a node must have been reachable before it is an error to consider it silent.
SETTLED_US = 5_000_000

IsBlocked = Callable[[int, int], bool]


class MembershipAgreement:
    """Checks that no node considers another node silent that has been reachable for `SETTLED_US`.

    Nodes pass on records, so a node is reachable if a path over running nodes leads from it to the observer.

    Attributes:
        views: For each node, which other nodes it considers present.
        reachable: For each node, which other nodes' records can reach it.
        agreed_after_us: The times from a change of the fleet to correct views at all nodes, in microseconds.
        differing_pairs: The number of pairs in which a running node has a wrong view of another node.
        wrong_silence_reports: How often a node considered a reachable node silent.

    """

    def __init__(self, node_count: int, now: int) -> None:
        self.views = [[False] * node_count for _ in range(node_count)]
        self.reachable = [[False] * node_count for _ in range(node_count)]
        self.agreed_after_us: list[int] = []
        self.differing_pairs = 0
        self.wrong_silence_reports = 0
        self._node_count = node_count
        self._running = [False] * node_count
        self._reachable_since = [[now] * node_count for _ in range(node_count)]
        self._changed_at = now
        self._awaits_agreement = False

    def observe(self, observation: Observation) -> None:
        """Record an observation."""
        match observation:
            case FleetChanged():
                self._update_fleet(observation)
            case NodeStarted():
                self.views[observation.node] = [False] * self._node_count
            case MemberReported():
                self._update_view(observation)

    def _update_fleet(self, change: FleetChanged) -> None:
        self._running = list(change.running)
        for node, sources in enumerate(reachable_sources(self._running, change.is_blocked)):
            reachable, since = self.reachable[node], self._reachable_since[node]
            for other in range(self._node_count):
                if reachable[other] is not (other in sources):
                    reachable[other], since[other] = other in sources, change.now
        self._changed_at, self._awaits_agreement = change.now, True
        self.differing_pairs = sum(
            self.views[node][other] is not self.reachable[node][other] for node, other in self._pairs()
        )
        self._record_agreement(change.now)

    def _pairs(self) -> Iterator[tuple[int, int]]:
        """Yield all pairs of a running node and another node."""
        for node in range(self._node_count):
            if self._running[node]:
                yield from ((node, other) for other in range(self._node_count) if other != node)

    def _update_view(self, report: MemberReported) -> None:
        node, member = report.node, report.member
        if self.views[node][member] is report.present:
            return
        self.views[node][member] = report.present
        reachable = self.reachable[node][member]
        settled = report.now >= self._reachable_since[node][member] + SETTLED_US
        if reachable and settled and not report.present:
            self.wrong_silence_reports += 1
        if self._running[node]:
            self.differing_pairs += 1 if report.present is not reachable else -1
        self._record_agreement(report.now)

    def _record_agreement(self, now: int) -> None:
        if self._awaits_agreement and not self.differing_pairs:
            self._awaits_agreement = False
            self.agreed_after_us.append(now - self._changed_at)

    def verdict(self) -> Verdict:
        """Return how often a node considered a reachable node silent."""
        return Verdict("membership_agreement", self.wrong_silence_reports)

    def figures(self, now: int) -> Figures:
        """Return times to agreement and counts of errors; a time is None if nodes disagree at the end."""
        times = self.agreed_after_us
        agreed = None if self._awaits_agreement else max(times, default=0) / 1e6
        agreed_later = None if self._awaits_agreement else max(times[1:], default=0) / 1e6
        return {
            "agreed_s": agreed,
            "agreed_start_s": times[0] / 1e6 if times else None,
            "agreed_later_s": agreed_later,
            "pairs_apart": self.differing_pairs,
            "members_wrong": self.wrong_silence_reports,
        }


def reachable_sources(running: Sequence[bool], is_blocked: IsBlocked) -> list[set[int]]:
    """Return, for each node, the nodes whose records can reach it directly or through other nodes."""
    groups = list(_equally_connected(running, is_blocked))
    reachable: list[set[int]] = [set() for _ in running]
    for index, members in enumerate(groups):
        sources = {node for other in _sources_of(index, groups, is_blocked) for node in groups[other]}
        for node in members:
            reachable[node] = sources - {node}
    return reachable


def _equally_connected(running: Sequence[bool], is_blocked: IsBlocked) -> Iterable[list[int]]:
    """Return the running nodes in groups of nodes with the same blocked paths."""
    groups: dict[tuple[bool, ...], list[int]] = {}
    nodes = [node for node, runs in enumerate(running) if runs]
    for node in nodes:
        outgoing = tuple(is_blocked(node, other) for other in nodes)
        incoming = tuple(is_blocked(other, node) for other in nodes)
        groups.setdefault(outgoing + incoming, []).append(node)
    return groups.values()


def _sources_of(index: int, groups: Sequence[Sequence[int]], is_blocked: IsBlocked) -> set[int]:
    """Return `index` and the indexes of all groups from which a path leads to the group at `index`."""
    found, unvisited = {index}, [index]
    while unvisited:
        receiver = groups[unvisited.pop()][0]
        for other, members in enumerate(groups):
            if other not in found and not is_blocked(members[0], receiver):
                found.add(other)
                unvisited.append(other)
    return found
