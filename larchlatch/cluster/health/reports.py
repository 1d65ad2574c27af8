"""Evaluates which nodes report each upstream as unreachable, by the age of their reports. No I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from larchlatch.cluster.protocol.messages import HealthObservation

REPORTABLE_FAILURES = 2  # failures in a row before an upstream is reported; one may be a lost packet
OBSERVATION_TTL_US = 3_000_000  # time for which an observation counts: more than the 2 s between probes
ACTIONABLE_US = 1_000_000  # age from which a report no longer causes ejection: the upstream may be back


class Reporters(NamedTuple):
    """The nodes that report one upstream.

    Attributes:
        all: nodes whose observation of the upstream has not expired.
        recent: those of them whose observation is recent enough to cause an ejection.

    """

    all: frozenset[str]
    recent: frozenset[str]


NO_REPORTERS = Reporters(frozenset(), frozenset())


def reporters_by_upstream(
    reports: Mapping[str, Iterable[HealthObservation]], ages_us: Mapping[str, int]
) -> dict[int, Reporters]:
    """Return the reporters of each reported upstream, by the hash of the upstream's name.

    Args:
        reports: the observations in each node's newest record, by the node's name.
        ages_us: the age of each of these records, in microseconds.

    """
    counted: dict[int, set[str]] = {}
    recent: dict[int, set[str]] = {}
    for name, observations in reports.items():
        for observation in observations:
            age_us = max(0, observation.age_us) + ages_us[name]
            if observation.failures < REPORTABLE_FAILURES or age_us >= OBSERVATION_TTL_US:
                continue
            counted.setdefault(observation.upstream, set()).add(name)
            if age_us < ACTIONABLE_US:
                recent.setdefault(observation.upstream, set()).add(name)
    return {
        upstream: Reporters(frozenset(names), frozenset(recent.get(upstream, ())))
        for upstream, names in counted.items()
    }
