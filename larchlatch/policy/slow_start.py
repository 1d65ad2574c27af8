"""Limits the sessions that are sent to upstreams in slow start, which have just started.

All nodes together send such an upstream no more sessions in an overload window than it can handle while it
warms up. Without a token issuer the nodes take turns: each overload window of an upstream is the turn of one
node, which may spend the whole budget of that window there.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from xxhash import xxh3_64_intdigest

from larchlatch.policy.ring import CANDIDATE_COUNT
from larchlatch.policy.structures import HASH_RANGE, Arrivals
from larchlatch.policy.types import TokenCandidate

if TYPE_CHECKING:
    from larchlatch.policy.ring import UpstreamRing
    from larchlatch.policy.types import DeploymentSettings, Session, Token
    from larchlatch.policy.upstream import Fleet, Upstream

# Shares of the configured overload multiple that the budget of a turn uses.
KNOWN_CAPACITY_SHARE = 0.75  # if probes report the capacity of warm upstreams
ESTIMATED_CAPACITY_SHARE = 0.5  # if that capacity is estimated from this node's own sessions

MIN_MEASURABLE_UTILIZATION = 0.1  # below this, a few sessions more or less would change the derived capacity


@dataclass(eq=False)
class SlowStart:
    """Limits the sessions that upstreams in slow start may take; owns recent arrivals and the budget's state.

    Attributes:
        settings: The deployment settings.
        fleet: All upstreams.
        ring: Estimates the size of a session's group.
        arrivals: The sessions that arrived at this node within the last overload window.
        issuer_until: Until when a token issuer allots the budgets of all nodes, instead of turns, in
            microseconds.
        released: Whether another process of this node has its budget. This process can't see what the other
            one spends, so it spends nothing itself.
    """

    settings: DeploymentSettings
    fleet: Fleet
    ring: UpstreamRing
    arrivals: Arrivals = field(default_factory=Arrivals)
    issuer_until: int = 0
    released: bool = False

    def warm_share(self, now: int, upstream: Upstream) -> float:
        """Return the least share of its full capacity that an upstream has, by the time since it started."""
        settings = self.settings
        if not upstream.started_at or now >= upstream.started_at + settings.slow_start_us:
            return 1.0
        progress = max(0, now - upstream.started_at) / settings.slow_start_us
        return settings.slow_start_min_share + (1 - settings.slow_start_min_share) * progress

    def is_warm(self, now: int, upstream: Upstream) -> bool:
        """Return whether an upstream is past its slow start."""
        return self.warm_share(now, upstream) >= 1.0

    def has_token_issuer(self, now: int) -> bool:
        """Return whether a token issuer currently allots the slow-start budgets of all nodes."""
        return now < self.issuer_until

    def may_take(self, now: int, upstream: Upstream, session: Session, *, candidate: bool = True) -> bool:
        """Return whether an upstream may take a session.

        Args:
            now: The present time in microseconds.
            upstream: The upstream; a warm one may take every session.
            session: The session to be placed.
            candidate: Whether the upstream is one of the session's candidates. Otherwise the sessions of all
                groups count as demand, as any session may be sent to an upstream outside its candidates.
        """
        if self.is_warm(now, upstream):
            return True
        if self.released:
            return False
        if self.has_token_issuer(now):
            return _holds_token(now, upstream, session)
        capacity = self.reported_capacity(upstream)
        budget = self.turn_budget(now, upstream, capacity)
        turn = self._turn(now, upstream)
        spent = _spent_in(turn, upstream)
        if self._is_own_turn(turn) and spent < _own_turn_limit(budget, capacity):
            return True
        if not capacity or spent >= budget - 1:
            return False
        return self._is_admitted_at_random(upstream, session, turn=turn, budget=budget, candidate=candidate)

    def turn_budget(self, now: int, upstream: Upstream, capacity: float) -> float:
        """Return how many average sessions an upstream in slow start may be sent in one overload window.

        Args:
            now: The present time in microseconds.
            upstream: The upstream.
            capacity: The number of sessions that fill it once it is warm, by load reports; 0 if unknown.
        """
        settings = self.settings
        budget_share = KNOWN_CAPACITY_SHARE
        if not capacity:
            budget_share = ESTIMATED_CAPACITY_SHARE
            capacity = self._estimated_capacity(now, upstream)
        # The capacity by the configured slow start is a lower bound. If a probe shows a higher capacity, that
        # one counts.
        configured_capacity = self.warm_share(now, upstream) * capacity
        probed_capacity = min(upstream.capacity, capacity)
        present_capacity = max(configured_capacity, probed_capacity)
        multiple = budget_share * settings.overload_multiple
        return multiple * present_capacity * settings.overload_window_us / settings.slow_start_us

    def reported_capacity(self, upstream: Upstream) -> float:
        """Return how many sessions fill an upstream once it is warm, by probes of warm ones; 0 if unknown."""
        known = [other for other in self.fleet.upstreams.values() if other.warm_capacity]
        if not known:
            return 0.0
        total_per_size = sum(other.warm_capacity / other.size for other in known)
        return total_per_size / len(known) * upstream.size

    def record_arrival(self, now: int, session: Session) -> None:
        """Count a session among the recent arrivals, only once even if it is placed repeatedly."""
        self.arrivals.record(now, session, self.settings.overload_window_us)

    def record_capacity(self, now: int, upstream: Upstream, sessions: float) -> None:
        """Derive an upstream's capacity from the sessions and the utilization that a probe reports."""
        if not sessions or upstream.utilization < MIN_MEASURABLE_UTILIZATION:
            return
        upstream.capacity = sessions / upstream.utilization
        upstream.warm_capacity = upstream.capacity if self.is_warm(now, upstream) else 0.0

    def record_token(self, now: int, issuer_until: int, token: Token | None) -> None:
        """Record until when a token issuer allots slow-start budgets, and a token if it issued one."""
        self.issuer_until = issuer_until
        if token is not None and token.upstream in self.fleet.upstreams:
            self.fleet.upstreams[token.upstream].add_token(now, token)

    def token_candidate(self, now: int, session: Session, upstream: Upstream) -> TokenCandidate:
        """Return the candidate to name in a token request, for a session and an upstream in slow start."""
        budget = self.turn_budget(now, upstream, self.reported_capacity(upstream))
        return TokenCandidate(upstream.number, budget, self.fleet.weight(session))

    def spend(self, now: int, upstream: Upstream, session: Session) -> None:
        """Charge a session that is sent to an upstream to the budget of the present turn."""
        turn = self._turn(now, upstream)
        upstream.spent_in_turn = self.fleet.weight(session) + _spent_in(turn, upstream)
        upstream.turn = turn
        upstream.tokens.pop(session.number, None)

    def _turn(self, now: int, upstream: Upstream) -> int:
        """Return the number of the present overload window of an upstream, counted from 0 at its start."""
        return (now - upstream.started_at) // self.settings.overload_window_us

    def _is_own_turn(self, turn: int) -> bool:
        return turn % self.settings.nodes == self.settings.me

    def _estimated_capacity(self, now: int, upstream: Upstream) -> float:
        """Return the sessions at a warm upstream of this size, if all nodes have as many as this one."""
        warm_upstreams = [other for other in self.fleet.ready if self.is_warm(now, other)]
        total_size = sum(other.size for other in warm_upstreams)
        if not total_size:
            return 0.0
        sessions = self.settings.nodes * sum(len(other.sessions) for other in warm_upstreams)
        return sessions / total_size * upstream.size

    def _is_admitted_at_random(
        self, upstream: Upstream, session: Session, *, turn: int, budget: float, candidate: bool
    ) -> bool:
        """Return whether a random draw admits a session without a turn of this node.

        If each node sees few sessions, many turns pass unused. So a share of all sessions is admitted in
        addition, which stays within the budget if all nodes have as many arrivals as this one. The draw is a
        hash, so that it gives the same result however often and on whichever node a session is placed again
        within the turn.
        """
        demand = self._expected_demand(session, candidate=candidate)
        # The number of admitted sessions varies by about the square root of its mean. So the mean is lower
        # than the budget: the mean and its variation together stay within the budget.
        admitted = (budget**0.5 - 1) ** 2
        seed = ((session.key or session.number) + turn) % HASH_RANGE
        draw = xxh3_64_intdigest(upstream.name.encode(), seed)
        return bool(draw * demand < admitted * HASH_RANGE)

    def _expected_demand(self, session: Session, *, candidate: bool) -> float:
        """Return the expected demand for the upstream in this overload window, in average sessions.

        All nodes are assumed to have as many arrivals as this one.
        """
        share = 1.0
        if candidate:
            share = CANDIDATE_COUNT / max(1, len(self.fleet.ready)) + self.ring.share(session)
        arrivals = self.settings.nodes * max(1, len(self.arrivals.times))
        return arrivals * min(1.0, share) * self.fleet.weight(session)


def _holds_token(now: int, upstream: Upstream, session: Session) -> bool:
    return now < upstream.tokens.get(session.number, 0)


def _spent_in(turn: int, upstream: Upstream) -> float:
    """Return how much budget this node has spent at an upstream in this turn, in average sessions."""
    return upstream.spent_in_turn if upstream.turn == turn else 0.0


def _own_turn_limit(budget: float, capacity: float) -> float:
    """Return how much budget a node may spend in its own turn without a random draw, in average sessions.

    If the capacity is known, that is one session, as random draws admit sessions of all nodes in this turn.
    """
    return 1.0 if capacity else max(1.0, budget)
