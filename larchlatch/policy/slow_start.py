"""Slow start: what all nodes together send a started upstream stays within what it bears as it warms up."""

from dataclasses import dataclass, field

from xxhash import xxh3_64_intdigest

from larchlatch.policy.ring import UpstreamRing
from larchlatch.policy.structures import Arrivals
from larchlatch.policy.types import DeploymentSettings, Session, TokenCandidate
from larchlatch.policy.upstream import Fleet, Upstream

SAFE_SHARE = 0.75  # of the stated multiple of a capacity: the rest is for what is guessed of it
GUESSED_SHARE = 0.5  # the same where not even a warm capacity is reported, but guessed from own sessions
REPORTABLE_UTILIZATION = 0.1  # from which reported sessions tell a capacity: below, a few of them decide


@dataclass(eq=False)
class SlowStart:
    """Decides what upstreams in slow start can take; owns recent arrivals, and who has the node's budget."""

    settings: DeploymentSettings
    fleet: Fleet
    ring: UpstreamRing
    arrivals: Arrivals = field(default_factory=Arrivals)  # of the last overload window
    issuer_until: int = 0  # until then a token issuer speaks for all nodes, in place of turns
    released: bool = False  # another process of this node has its budget, and spends unseen by this one

    def warm_share(self, now: int, upstream: Upstream) -> float:
        """Return the least share of its work that an upstream can do, by the time since it started."""
        settings = self.settings
        if not upstream.started_at or now >= upstream.started_at + settings.slow_start_us:
            return 1.0
        age = max(0, now - upstream.started_at) / settings.slow_start_us
        return settings.slow_start_min_share + (1 - settings.slow_start_min_share) * age

    def is_warm(self, now: int, upstream: Upstream) -> bool:
        """Return whether an upstream is past its slow start."""
        return self.warm_share(now, upstream) >= 1.0

    def may_take(self, now: int, upstream: Upstream, session: Session, *, candidate: bool = True) -> bool:
        """Return whether it may take a session; where it is no candidate of its own, all may want it."""
        if self.is_warm(now, upstream) or self.released:
            return self.is_warm(now, upstream)
        if now < self.issuer_until:
            return now < upstream.tokens.get(session.number, 0)
        # No node sees what others send: they take turns by number, a window each with its whole budget.
        capacity = self.reported_capacity(upstream)
        budget = self.turn_budget(now, upstream, capacity)
        turn, spent = self.turn_and_spent(now, upstream)
        if turn % self.settings.nodes == self.settings.me and spent < (1.0 if capacity else max(1.0, budget)):
            return True
        if not capacity or spent >= budget - 1:
            return False
        # Turns pass unused where nodes see few sessions: others get in by chance, within budget if all have
        # as many arrivals, less a root as room for chance. A session placed again draws no second time.
        own_demand = 2 / max(1, len(self.fleet.ready)) + self.ring.share(session) if candidate else 1.0
        arrivals = self.settings.nodes * max(1, len(self.arrivals.times))
        wanted = arrivals * min(1.0, own_demand) * self.fleet.weight(session)
        draw = xxh3_64_intdigest(upstream.name.encode(), ((session.key or session.number) + turn) % 2**64)
        return bool(draw * wanted < (budget**0.5 - 1) ** 2 * 2**64)

    def turn_and_spent(self, now: int, upstream: Upstream) -> tuple[int, float]:
        """Return the number of the present overload window of an upstream, and what was spent in it."""
        turn = (now - upstream.started_at) // self.settings.overload_window_us
        return turn, upstream.spent_in_turn if upstream.turn == turn else 0.0

    def turn_budget(self, now: int, upstream: Upstream, capacity: float) -> float:
        """Return the sessions for one turn, by a reported capacity, else by that of level load."""
        settings, safe_share = self.settings, SAFE_SHARE
        if not capacity:
            safe_share = GUESSED_SHARE
            warm_upstreams = [other for other in self.fleet.ready if self.is_warm(now, other)]
            size = sum(other.size for other in warm_upstreams)
            own = settings.nodes * sum(len(other.sessions) for other in warm_upstreams)
            capacity = own / size * upstream.size if size else 0.0
        # The stated slow start is the slowest: what a probe has shown holds on, as capacity only grows.
        able = max(self.warm_share(now, upstream) * capacity, min(upstream.capacity, capacity))
        multiple = safe_share * settings.overload_multiple
        return multiple * able * settings.overload_window_us / settings.slow_start_us

    def reported_capacity(self, upstream: Upstream) -> float:
        """Return the sessions that fill an upstream once warm, by probes of others; 0 for unknown."""
        known = [other for other in self.fleet.upstreams.values() if other.warm_capacity]
        total = sum(other.warm_capacity / other.size for other in known)
        return total / len(known) * upstream.size if known else 0.0

    def record_capacity(self, now: int, upstream: Upstream, sessions: float) -> None:
        """Take over from a probe how many sessions an upstream holds at its reported utilization."""
        if sessions and upstream.utilization >= REPORTABLE_UTILIZATION:
            upstream.capacity = sessions / upstream.utilization
            upstream.warm_capacity = upstream.capacity if self.is_warm(now, upstream) else 0.0

    def token_candidate(self, now: int, session: Session, upstream: Upstream) -> TokenCandidate:
        """Return what the token issuer has to know of an upstream in slow start."""
        budget = self.turn_budget(now, upstream, self.reported_capacity(upstream))
        return TokenCandidate(upstream.number, budget, self.fleet.weight(session))

    def spend(self, now: int, upstream: Upstream, session: Session) -> None:
        """Charge a session that is sent to an upstream to the budget of this turn."""
        upstream.turn, spent = self.turn_and_spent(now, upstream)
        upstream.spent_in_turn = self.fleet.weight(session) + spent
        upstream.tokens.pop(session.number, None)
