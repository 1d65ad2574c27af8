"""Which upstreams can't be reached, by what nodes have observed themselves and report to each other. No I/O.

Observations with an age are shared, never verdicts: each node draws its own. Another node's report makes a
node probe for itself; the reports of several count as failures of its own, until it observes otherwise.
Times are whole microseconds of a clock that never runs back.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from larchlatch.cluster.health.reports import (
    NO_REPORTERS,
    OBSERVATION_TTL_US,
    REPORTABLE_FAILURES,
    Reporters,
    reporters_by_upstream,
)
from larchlatch.cluster.protocol.messages import HealthObservation

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

# So many others must report the same before it is acted on; in two sites, where there are several.
CONFIRMATIONS = 2
REPROBE_US = 2_000_000  # between two probes of an upstream for the sake of the same reports
# Probes that one heartbeat requests: a liar that reports all upstreams must not have every node probe all.
MAX_PROBES = 2
# Observations in a record, the newest first: more would leave no room for others' records.
MAX_REPORTED = 16


class ReportedFailure(NamedTuple):
    """An upstream that enough others can't reach: each report counts as a failure of this node's own."""

    upstream: int  # hash of its name
    reporters: int


class EjectionAdvice(NamedTuple):
    """What to make of all observations; upstreams are hashes of their names.

    Attributes:
        probes: upstreams to probe now.
        failures: upstreams that enough others have newly reported.
        newly_unreachable: upstreams that this node, by its own observations or others' reports, did not
            take for unreachable before.

    """

    probes: list[int]
    failures: list[ReportedFailure]
    newly_unreachable: list[int]


@dataclass(slots=True)
class UpstreamObservation:
    """What this node knows of one upstream itself.

    Attributes:
        failures: own failures in a row.
        failed_at_us: when the last of them was.
        reached_at_us: when a connection to it was last had.
        probed_at_us: when a probe of it was last requested here.
        probed_for: the nodes that reported it then.
        acted_for: the nodes whose reports were acted on, since it was last reached.
        connection_broke: an established connection broke off: a probe is due without any report.
        is_unreachable: it counted as unreachable at the last heartbeat.

    """

    failures: int = 0
    failed_at_us: int = 0
    reached_at_us: int = -OBSERVATION_TTL_US
    probed_at_us: int = -REPROBE_US
    probed_for: frozenset[str] = frozenset()
    acted_for: frozenset[str] = frozenset()
    connection_broke: bool = False
    is_unreachable: bool = False

    def expire_failures(self, now_us: int) -> None:
        """Forget own failures that no longer count.

        An upstream that has come back is no longer probed, and a node that had found it unreachable would
        take it for that for ever, and heed no report when it fails again.
        """
        if self.failures and now_us >= self.failed_at_us + OBSERVATION_TTL_US:
            self.failures = 0

    def needs_probe(self, now_us: int, reporters: frozenset[str]) -> bool:
        """Return whether this node should observe for itself.

        A failure wants a second one before it is reported, and a connection that broke off a first: waiting
        for the node's next probe by itself, failures were reported two seconds later. A node that keeps on
        reporting causes a probe once in a while; another that joins it, at once.
        """
        if self.failures >= REPORTABLE_FAILURES:
            return False
        if self.failures > 0 or self.connection_broke or not reporters <= self.probed_for:
            return True
        return bool(reporters) and now_us >= self.probed_at_us + REPROBE_US

    def probed_since_report(self, now_us: int, reporters: frozenset[str]) -> bool:
        """Return whether this node has probed for itself since these nodes reported.

        Two sites may both be cut off from an upstream that is well for this one. Acted on in the heartbeat
        in which they come, their reports would eject it; a probe of this node's own is back by the next.
        """
        return reporters <= self.probed_for and now_us > self.probed_at_us

    def contradicts(self, now_us: int) -> bool:
        """Return whether own observations go before reports.

        A connection that was had lately says more than any report, and so do own failures.
        """
        return self.failures > 0 or now_us < self.reached_at_us + OBSERVATION_TTL_US

    def note_probe(self, now_us: int, reporters: frozenset[str]) -> None:
        """Note that a probe is requested, and for whose reports."""
        self.probed_at_us = now_us
        self.probed_for = reporters
        self.connection_broke = False

    def update_unreachable(self) -> bool:
        """Judge anew whether it is unreachable; return whether it newly is."""
        before = self.is_unreachable
        self.is_unreachable = self.failures >= REPORTABLE_FAILURES or bool(self.acted_for)
        return self.is_unreachable and not before


class HealthObservations:
    """A node's own observations of upstreams, and its judgement of what others report.

    Attributes:
        upstreams: what is known of each upstream on the endpoint list, by the hash of its name.

    """

    def __init__(self) -> None:
        """Start without upstreams."""
        self.upstreams: dict[int, UpstreamObservation] = {}

    def set_upstreams(self, upstreams: Iterable[int]) -> None:
        """Follow the endpoint list; reports of any other upstream are ignored."""
        known = self.upstreams
        self.upstreams = {upstream: known.get(upstream, UpstreamObservation()) for upstream in upstreams}

    def observe(self, now_us: int, upstream: int, *, reached: bool | None) -> None:
        """Note an attempt or a probe of this node.

        Args:
            now_us: when its result was there.
            upstream: hash of the upstream's name.
            reached: whether a connection was had; None if an established one broke off.

        """
        known = self.upstreams.setdefault(upstream, UpstreamObservation())
        known.connection_broke = reached is None
        if reached is None:
            return
        if reached:
            known.failures, known.reached_at_us, known.acted_for = 0, now_us, frozenset()
        else:
            known.failures += 1
            known.failed_at_us = now_us

    def own_report(self, now_us: int) -> list[HealthObservation]:
        """Return what this node's record reports: its own observations alone.

        Reports of others never go in: passed on as one's own, one liar's would come back as many.
        """
        reportable = [
            (now_us - known.failed_at_us, upstream, known.failures)
            for upstream, known in self.upstreams.items()
            if known.failures >= REPORTABLE_FAILURES and now_us < known.failed_at_us + OBSERVATION_TTL_US
        ]
        newest = sorted(reportable)[:MAX_REPORTED]
        return [HealthObservation(upstream, failures, age_us) for age_us, upstream, failures in newest]

    def advise(
        self,
        now_us: int,
        reports: Mapping[str, Iterable[HealthObservation]],
        ages_us: Mapping[str, int],
        sites: Mapping[str, str],
        *,
        several_sites: bool,
    ) -> EjectionAdvice:
        """Judge what others report by what this node has observed.

        Args:
            now_us: the time of this heartbeat.
            reports: the observations in each present node's record.
            ages_us: the age of each of these records.
            sites: the site of each node.
            several_sites: nodes of more than one site are present.

        Returns:
            What to probe, what to eject, and what is new of it.

        """
        reported = reporters_by_upstream(reports, ages_us)
        due: list[tuple[int, int]] = []  # when each was probed last, and the upstream
        failures: list[ReportedFailure] = []
        for upstream, known in self.upstreams.items():
            reporters = reported.get(upstream, NO_REPORTERS)
            known.expire_failures(now_us)
            if known.needs_probe(now_us, reporters.all):
                due.append((known.probed_at_us, upstream))
            if not reporters.all:
                known.acted_for = frozenset()
            elif self._is_confirmed(reporters, sites, several_sites=several_sites):
                failures += self._act(now_us, upstream, reporters.recent)
        probes = [upstream for _, upstream in sorted(due)[:MAX_PROBES]]
        for upstream in probes:
            self.upstreams[upstream].note_probe(now_us, reported.get(upstream, NO_REPORTERS).all)
        return EjectionAdvice(probes, failures, self._newly_unreachable())

    @staticmethod
    def _is_confirmed(reporters: Reporters, sites: Mapping[str, str], *, several_sites: bool) -> bool:
        """Return whether enough nodes report an upstream, of different sites where there are several."""
        if len(reporters.recent) < CONFIRMATIONS:
            return False
        return not several_sites or len({sites[name] for name in reporters.recent}) > 1

    def _act(self, now_us: int, upstream: int, reporters: frozenset[str]) -> list[ReportedFailure]:
        """Return the failure that these reports come to, if own observations allow it and it is new."""
        known = self.upstreams[upstream]
        if not known.probed_since_report(now_us, reporters) or known.contradicts(now_us):
            return []
        if reporters <= known.acted_for:
            return []
        known.acted_for |= reporters
        return [ReportedFailure(upstream, len(reporters))]

    def _newly_unreachable(self) -> list[int]:
        return [upstream for upstream, known in self.upstreams.items() if known.update_unreachable()]
