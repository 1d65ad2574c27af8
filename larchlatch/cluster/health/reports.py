"""What other nodes report of upstreams that they can't reach. No I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from larchlatch.cluster.protocol.messages import HealthObservation

REPORTABLE_FAILURES = 2  # failures in a row that are reported to others: one may be a lost packet
# An observation, good or bad, counts for so long: upstreams on probation are probed every 2 s.
OBSERVATION_TTL_US = 3_000_000
# A report is acted on for so long alone: the upstream may have come back since.
ACTIONABLE_US = 1_000_000


class Reporters(NamedTuple):
    """Which nodes report an upstream.

    Attributes:
        all: those whose observation still counts.
        recent: those of them whose observation may be acted on.

    """

    all: frozenset[str]
    recent: frozenset[str]


NO_REPORTERS = Reporters(frozenset(), frozenset())


def reporters_by_upstream(
    reports: Mapping[str, Iterable[HealthObservation]], ages_us: Mapping[str, int]
) -> dict[int, Reporters]:
    """Group the observations of other nodes by upstream, without those that no longer count.

    Args:
        reports: the observations in each node's newest record.
        ages_us: the age of each of these records.

    Returns:
        The reporters of each upstream that is reported, by the hash of its name.

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
