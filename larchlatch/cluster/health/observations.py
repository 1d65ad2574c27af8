"""One node's observations of upstreams, and its evaluation of other nodes' reports. No I/O.

Nodes exchange observations with their age, never conclusions: each node draws its own. A report by another
node makes this node probe the upstream itself. Reports by several nodes count as failures of this node's own
attempts, unless its own observations contradict them. Times are whole microseconds of a monotonic clock.
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

CONFIRMATIONS = (
    2  # nodes that have to report an upstream before it is ejected; from two sites if there are several
)
REPROBE_US = 2_000_000  # least interval between two probes of an upstream caused by the same reports
MAX_PROBES = 2  # probes requested in one heartbeat: a faulty node may report all upstreams
MAX_REPORTED = 16  # observations in this node's record, to leave space for other nodes' records


class ReportedFailure(NamedTuple):
    """An upstream that enough other nodes report as unreachable.

    Attributes:
        upstream: hash of the upstream's name.
        reporters: number of nodes that report it; each counts as one failure of this node's own attempts.

    """

    upstream: int
    reporters: int


class EjectionAdvice(NamedTuple):
    """The conclusions from all observations at one heartbeat; upstreams are hashes of their names.

    Attributes:
        probes: upstreams to probe now.
        failures: upstreams that enough other nodes have newly reported.
        newly_unreachable: upstreams that count as unreachable since this heartbeat, by this node's own
            observations or by reports.

    """

    probes: list[int]
    failures: list[ReportedFailure]
    newly_unreachable: list[int]


@dataclass(slots=True)
class UpstreamObservation:
    """This node's own observations of one upstream, and its reactions to reports of it.

    Attributes:
        failures: failed attempts and probes of this node in a row.
        failed_at_us: time of the last of these failures.
        reached_at_us: time of the last successful connection.
        probed_at_us: time of the last requested probe.
        reporters_at_probe: nodes that reported the upstream at the time of that probe.
        counted_reporters: nodes whose reports have counted as failures since the upstream was last reached.
        connection_broke: whether an established connection broke off, so that a probe is due.
        is_unreachable: whether the upstream counted as unreachable at the last heartbeat.

    """

    failures: int = 0
    failed_at_us: int = 0
    reached_at_us: int = -OBSERVATION_TTL_US
    probed_at_us: int = -REPROBE_US
    reporters_at_probe: frozenset[str] = frozenset()
    counted_reporters: frozenset[str] = frozenset()
    connection_broke: bool = False
    is_unreachable: bool = False

    def expire_failures(self, now_us: int) -> None:
        """Clear this node's own failures if they are too old to count.

        This node may not probe the upstream again after it has recovered. If the failures were kept, the
        upstream would stay unreachable for good, and reports of its next failure would be ignored.
        """
        if self.failures and now_us >= self.failed_at_us + OBSERVATION_TTL_US:
            self.failures = 0

    def needs_probe(self, now_us: int, reporters: frozenset[str]) -> bool:
        """Return whether this node should probe the upstream itself.

        A probe is due after a first failure, to confirm it before it is reported; after an established
        connection broke off; and at once when a further node reports the upstream. Reports by the same nodes
        cause only one probe in `REPROBE_US`.
        """
        if self.failures >= REPORTABLE_FAILURES:
            return False
        if self.failures > 0 or self.connection_broke or not reporters <= self.reporters_at_probe:
            return True
        return bool(reporters) and now_us >= self.probed_at_us + REPROBE_US

    def probed_since_report(self, now_us: int, reporters: frozenset[str]) -> bool:
        """Return whether this node has probed the upstream itself since these nodes reported it.

        Two other sites may both be cut off from an upstream that this site reaches. So reports count only
        one heartbeat after they arrive, when the result of this node's own probe is known.
        """
        return reporters <= self.reporters_at_probe and now_us > self.probed_at_us

    def contradicts(self, now_us: int) -> bool:
        """Return whether this node has recent observations of its own, which take precedence over reports."""
        return self.failures > 0 or now_us < self.reached_at_us + OBSERVATION_TTL_US

    def record_probe(self, now_us: int, reporters: frozenset[str]) -> None:
        """Record that a probe is requested now, and which nodes report the upstream."""
        self.probed_at_us = now_us
        self.reporters_at_probe = reporters
        self.connection_broke = False

    def update_unreachable(self) -> bool:
        """Update whether the upstream counts as unreachable; return whether it newly does."""
        was_unreachable = self.is_unreachable
        self.is_unreachable = self.failures >= REPORTABLE_FAILURES or bool(self.counted_reporters)
        return self.is_unreachable and not was_unreachable


class HealthObservations:
    """A node's own observations of upstreams, and its evaluation of other nodes' reports.

    Attributes:
        upstreams: the observations of each upstream on the endpoint list, by the hash of its name.

    """

    def __init__(self) -> None:
        """Start with an empty endpoint list."""
        self.upstreams: dict[int, UpstreamObservation] = {}

    def set_upstreams(self, upstreams: Iterable[int]) -> None:
        """Use a new endpoint list; reports of upstreams that are not on it are ignored."""
        previous = self.upstreams
        self.upstreams = {upstream: previous.get(upstream, UpstreamObservation()) for upstream in upstreams}

    def observe(self, now_us: int, upstream: int, *, reached: bool | None) -> None:
        """Record the result of an attempt or a probe of this node.

        Args:
            now_us: time of the result.
            upstream: hash of the upstream's name.
            reached: whether a connection could be established; None: an established one broke off.

        """
        observation = self.upstreams.setdefault(upstream, UpstreamObservation())
        observation.connection_broke = reached is None
        if reached is None:
            return
        if reached:
            observation.failures, observation.reached_at_us, observation.counted_reporters = (
                0,
                now_us,
                frozenset(),
            )
        else:
            observation.failures += 1
            observation.failed_at_us = now_us

    def own_report(self, now_us: int) -> list[HealthObservation]:
        """Return the observations for this node's record.

        Only this node's own observations are reported: if nodes repeated those of others, many nodes would
        seem to confirm what a single faulty node reports.
        """
        reportable = [
            (now_us - observation.failed_at_us, upstream, observation.failures)
            for upstream, observation in self.upstreams.items()
            if observation.failures >= REPORTABLE_FAILURES
            and now_us < observation.failed_at_us + OBSERVATION_TTL_US
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
        """Return the ejection advice that follows from this node's observations and other nodes' reports.

        Args:
            now_us: the time of this heartbeat.
            reports: the observations in the record of each present node, by the node's name.
            ages_us: the age of each of these records, in microseconds.
            sites: the site of each node, by its name.
            several_sites: whether nodes of more than one site are present.

        """
        reported = reporters_by_upstream(reports, ages_us)
        due: list[tuple[int, int]] = []  # time of the last probe, then the upstream
        failures: list[ReportedFailure] = []
        for upstream, observation in self.upstreams.items():
            reporters = reported.get(upstream, NO_REPORTERS)
            observation.expire_failures(now_us)
            if observation.needs_probe(now_us, reporters.all):
                due.append((observation.probed_at_us, upstream))
            if not reporters.all:
                observation.counted_reporters = frozenset()
            elif self._is_confirmed(reporters, sites, several_sites=several_sites):
                failures += self._count_reports(now_us, upstream, reporters.recent)
        probes = [upstream for _, upstream in sorted(due)[:MAX_PROBES]]
        for upstream in probes:
            self.upstreams[upstream].record_probe(now_us, reported.get(upstream, NO_REPORTERS).all)
        return EjectionAdvice(probes, failures, self._newly_unreachable())

    @staticmethod
    def _is_confirmed(reporters: Reporters, sites: Mapping[str, str], *, several_sites: bool) -> bool:
        """Return whether enough nodes report an upstream, from different sites if there are several."""
        if len(reporters.recent) < CONFIRMATIONS:
            return False
        return not several_sites or len({sites[name] for name in reporters.recent}) > 1

    def _count_reports(self, now_us: int, upstream: int, reporters: frozenset[str]) -> list[ReportedFailure]:
        """Return the failure that confirmed reports add: at most one, none if not new or contradicted."""
        observation = self.upstreams[upstream]
        if not observation.probed_since_report(now_us, reporters) or observation.contradicts(now_us):
            return []
        if reporters <= observation.counted_reporters:
            return []
        observation.counted_reporters |= reporters
        return [ReportedFailure(upstream, len(reporters))]

    def _newly_unreachable(self) -> list[int]:
        return [
            upstream for upstream, observation in self.upstreams.items() if observation.update_unreachable()
        ]
