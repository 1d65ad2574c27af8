"""Creates the invariant checkers of a scenario, for the emulator and the load test."""

from __future__ import annotations

from typing import TYPE_CHECKING

from larchlatch.invariants.membership_agreement import MembershipAgreement
from larchlatch.invariants.quota_safety import QuotaSafety
from larchlatch.invariants.single_leader import SingleLeader, merged_figures, role_holders
from larchlatch.invariants.slow_start_safety import SlowStartSafety
from larchlatch.invariants.upstream_avoidance import UpstreamAvoidance
from larchlatch.scenario.amounts import us

if TYPE_CHECKING:
    from larchlatch.invariants.checker import Figures, InvariantChecker, Verdict
    from larchlatch.invariants.observations import Observation
    from larchlatch.scenario.scenario import Scenario

# The names of the roles in the logs of nodes.
QUOTA_ALLOCATOR = "allotter"
TOKEN_ISSUER = "pacer"


class ClusterCheckers:
    """The checkers of properties of the whole cluster; each gets every observation.

    Attributes:
        membership: Checks that nodes agree on which nodes are present.
        quota: Checks that nodes keep to the shared quota; None if there is none.
        avoidance: Checks how nodes detect and eject upstreams.
        leaders: A checker for each role, by the name of the role.

    """

    def __init__(self, scenario: Scenario, now: int) -> None:
        self.membership = MembershipAgreement(scenario.nodes.count, now)
        self.quota = quota_checker(scenario)
        self.avoidance = UpstreamAvoidance()
        self.leaders = leader_checkers(scenario)
        self._checkers: list[InvariantChecker] = [self.membership, self.avoidance, *self.leaders.values()]
        if self.quota is not None:
            self._checkers.append(self.quota)

    def observe(self, observation: Observation) -> None:
        """Pass an observation to all checkers."""
        for checker in self._checkers:
            checker.observe(observation)

    def role_holders(self) -> list[int]:
        """Return the numbers of the nodes that hold at least one role, in ascending order."""
        return role_holders(self.leaders.values())

    def verdicts(self) -> list[Verdict]:
        """Return the verdict on each property up to now."""
        return [checker.verdict() for checker in self._checkers]

    def figures(self, now: int) -> Figures:
        """Return the figures of all checkers by their keys in a result; `now` is the end of the scenario."""
        return {
            **self.membership.figures(now),
            **(self.quota.figures(now) if self.quota is not None else {}),
            **self.avoidance.figures(now),
            **merged_figures(self.leaders.values(), now),
        }


def quota_checker(scenario: Scenario) -> QuotaSafety | None:
    """Return the checker of the shared quota, or None if the scenario has no quota."""
    cluster = scenario.cluster
    if not cluster.sessions_per_s:
        return None
    return QuotaSafety(cluster.sessions_per_s, us(cluster.window_s))


def leader_checkers(scenario: Scenario) -> dict[str, SingleLeader]:
    """Return a checker for each role of the scenario, by the role's name."""
    cluster = scenario.cluster
    roles = (QUOTA_ALLOCATOR,) * cluster.quota_allocator + (TOKEN_ISSUER,) * cluster.token_issuer
    return {role: SingleLeader(role, range(cluster.electors)) for role in roles}


def slow_start_checker(scenario: Scenario) -> SlowStartSafety:
    """Return the checker of the sessions that nodes send to upstreams in slow start."""
    return SlowStartSafety(scenario.slow_start, scenario.sessions.load_ms * 1000)
