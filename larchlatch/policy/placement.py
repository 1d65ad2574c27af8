"""Decides whether a session is sent to an upstream, is held, or gets its final answer."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import islice
from typing import TYPE_CHECKING

from larchlatch.policy.health import is_healthy
from larchlatch.policy.types import Answer, Forward, Hold

if TYPE_CHECKING:
    from random import Random

    from larchlatch.policy.backoff import Backoff
    from larchlatch.policy.probing import Probing
    from larchlatch.policy.retries import Retries
    from larchlatch.policy.selection import UpstreamSelector
    from larchlatch.policy.slow_start import SlowStart
    from larchlatch.policy.types import DeploymentSettings, Session, TokenCandidates
    from larchlatch.policy.upstream import Candidates, Upstream

HOLD_US = 50_000  # shortest time until a session that no upstream may take is placed again
PROBE_WAIT_US = 25_000  # wait for requested probes and tokens; covers a round trip between zones
TOKEN_CANDIDATES = 4  # several, as the budget of one may be spent when half of a fleet is in slow start


@dataclass(eq=False)
class Placement:
    """Places sessions that have no attempt in flight; its only state is the node's backoff.

    Attributes:
        settings: The deployment settings.
        node_backoff: Spaces out the attempts of this node at all upstreams.
        selector: Finds candidates and chooses among them.
        slow_start: Limits the sessions that upstreams in slow start may take.
        retries: Decides which further attempts are safe, and gives final answers.
        probing: Requests probes of candidates.
        random: The source of random draws.
    """

    settings: DeploymentSettings
    node_backoff: Backoff
    selector: UpstreamSelector
    slow_start: SlowStart
    retries: Retries
    probing: Probing
    random: Random

    def place(self, now: int, session: Session) -> Answer:
        """Return an upstream for a session, or that it is held, or its final answer."""
        if self._gets_final_answer(now, session):
            return self.retries.final_answer(now, session)
        if self._waits_for_node_backoff(now, session):
            return self._hold(now, session, until=self.node_backoff.until)
        self.slow_start.record_arrival(now, session)
        candidates = self._candidates(now, session)
        if not candidates.pair and session.maybe_executed_at >= 0:
            return self.retries.final_answer(now, session)
        token_candidates = self._token_candidates(now, session, candidates)
        probes_requested = self.probing.request(now, session, candidates.pair)
        if probes_requested or token_candidates:
            return Hold(now + PROBE_WAIT_US, token_candidates)
        upstream = self.selector.choose(now, session, candidates)
        if upstream is None:
            return self._defer(now, session, candidates.pair)
        return self._send(now, session, upstream)

    def _gets_final_answer(self, now: int, session: Session) -> bool:
        """Return whether a session gets its final answer now.

        It does if it has used all of its attempts, or would miss its deadline if it were held once more.
        """
        is_last_moment = now + HOLD_US >= session.deadline
        return is_last_moment or session.attempt_count >= self.settings.max_attempts

    def _waits_for_node_backoff(self, now: int, session: Session) -> bool:
        """Return whether a session has to wait for the end of the node's backoff.

        A session for which a token was requested is exempt: the request has already counted as the attempt
        that the backoff permits.
        """
        return now < self.node_backoff.until and not session.token_requested

    def _candidates(self, now: int, session: Session) -> Candidates:
        """Return the candidates among those upstreams where a further attempt is safe."""
        ring_walk = self.selector.ring_walk(now, session)
        retryable = (upstream for upstream in ring_walk if self.retries.may_retry(now, session, upstream))
        return self.selector.candidates(now, session, retryable)

    def _token_candidates(self, now: int, session: Session, candidates: Candidates) -> TokenCandidates:
        """Return the upstreams in slow start for which to request a token; empty if no token is needed."""
        if not self._needs_token(now, session, candidates.pair):
            return ()
        session.token_requested = True
        # The node's backoff permits one attempt per delay, and the token request counts as that attempt. If
        # another session could use the attempt instead, the token would be wasted.
        self.node_backoff.attempt_sent(now)
        near = candidates.pair + candidates.spread
        usable = self.selector.fallback_upstreams(now, near, candidates.rest_of_ring)
        warming = (other for other in usable if self._is_healthy_and_warming(now, other))
        return tuple(
            self.slow_start.token_candidate(now, session, other)
            for other in islice(warming, TOKEN_CANDIDATES)
        )

    def _needs_token(self, now: int, session: Session, pair: list[Upstream]) -> bool:
        """Return whether there is a token issuer and a candidate may not take the session without a token."""
        if not self.slow_start.has_token_issuer(now) or session.token_requested:
            return False
        return not all(self.slow_start.may_take(now, upstream, session) for upstream in pair)

    def _is_healthy_and_warming(self, now: int, upstream: Upstream) -> bool:
        return is_healthy(now, upstream) and not self.slow_start.is_warm(now, upstream)

    def _hold(self, now: int, session: Session, *, until: int) -> Answer:
        """Hold a session at least until this time, or give its final answer if its deadline is too near.

        Args:
            now: The present time in microseconds.
            session: The session.
            until: When the session may be placed again at the earliest, in microseconds.
        """
        # A random delay is added so that held sessions are not all placed again at the same time.
        place_at = max(until, now + HOLD_US) + int(self.random.uniform(0, HOLD_US))
        if until > now and place_at + HOLD_US >= session.deadline:
            return self.retries.final_answer(now, session, until - now)
        return Hold(min(session.deadline - HOLD_US, place_at))

    def _defer(self, now: int, session: Session, pair: list[Upstream]) -> Answer:
        """Hold a session that no upstream may take now until a warm candidate may be healthy again."""
        session.token_requested = False
        warm_upstreams = [upstream for upstream in pair if self.slow_start.is_warm(now, upstream)]
        healthy_at = [max(upstream.backoff.until, upstream.slow_until) for upstream in warm_upstreams]
        return self._hold(now, session, until=min(healthy_at, default=now))

    def _send(self, now: int, session: Session, upstream: Upstream) -> Answer:
        """Send an attempt to an upstream; the attempt times out only at the session's deadline.

        A slow attempt waits in the upstream's queue with all others, and the upstream serves it even if it
        has been given up. A shorter timeout would therefore fill the queue with abandoned work.
        """
        self.slow_start.spend(now, upstream, session)
        upstream.backoff.attempt_sent(now)
        self.node_backoff.attempt_sent(now)
        upstream.add(session)
        session.attempt_sent(now, upstream.number)
        self.retries.attempt_sent(session)
        return Forward(upstream.number, session.deadline)
