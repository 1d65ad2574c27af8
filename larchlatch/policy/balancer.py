"""Every decision of a node: the facade that wires the deciding parts. The package says how to call it."""

from collections import deque
from collections.abc import Iterable
from random import Random

from larchlatch.policy import types
from larchlatch.policy.backoff import BACKOFF_US, Backoff
from larchlatch.policy.load import LoadEstimator, running_mean
from larchlatch.policy.migration import Migration
from larchlatch.policy.probing import DiscoveryPolling, Probing
from larchlatch.policy.retries import Retries
from larchlatch.policy.ring import UpstreamRing
from larchlatch.policy.selection import UpstreamSelector, is_fit
from larchlatch.policy.slow_start import SlowStart
from larchlatch.policy.types import Answer, DueActions, Endpoint, Forward, Hold, Nothing, Outcome, Session
from larchlatch.policy.upstream import Candidates, Fleet, Upstream

SECOND = 1_000_000  # microseconds
# They tell of what all attempts depend on; a failed connection only of one upstream or its network.
TELLING = frozenset({Outcome.COMPLETED, Outcome.REJECTED, Outcome.ERROR, Outcome.TIMED_OUT, Outcome.RESET})
HOLD_US = SECOND // 20  # a session that no upstream may take now is placed again after this
PROBE_WAIT_US = SECOND // 40  # it waits this long for its candidates' probes: a round trip between zones
TOKEN_CANDIDATES = 4  # for one session: with half of a fleet in slow start a budget is left at one of them
RESET_BACKOFF_US = 1 * SECOND  # first backoff after a session was reset: piled-up work takes longer
TRIAL_US = SECOND // 4  # an upstream that resets sessions is tried by all nodes together once in this
SETTLE_US = 1 * SECOND  # a session is a success once established so long: upstreams reset new ones within
NODE_JUDGED_OUTCOMES = 8  # over all upstreams by which a node judges what all attempts depend on
NODE_BACKOFF_US = SECOND // 50  # first pause between two attempts of a node when most fail everywhere
LONGEST_NODE_BACKOFF_US = 1 * SECOND  # a few attempts a second find out when it is over
NODE_TRIAL_US = 2 * SECOND  # all nodes together establish a session per upstream in this, when most are slow


class Balancer:
    """Places sessions on upstreams; owns the node's own backoff, and which sessions are settling."""

    def __init__(self, settings: types.DeploymentSettings, random: Random) -> None:
        self.settings = settings
        self.random = random
        self.fleet = fleet = Fleet()
        self.node_backoff = Backoff(NODE_JUDGED_OUTCOMES, NODE_BACKOFF_US, LONGEST_NODE_BACKOFF_US)
        self.settling: deque[Session] = deque()  # established, not yet a success; oldest first
        self.mean_setup_us = 0.0
        self.ring = UpstreamRing(settings, fleet, random)
        self.slow_start = SlowStart(settings, fleet, self.ring)
        self.load = LoadEstimator(settings, fleet, self.slow_start)
        self.retries = Retries(settings, fleet, random)
        self.probing = Probing(settings, fleet)
        self.polling = DiscoveryPolling(settings, random)
        self.selector = UpstreamSelector(fleet, self.ring, self.load, self.slow_start, random)
        self.migration = Migration(settings, fleet, self.selector, self.node_backoff, random)

    def place(self, now: int, session: Session) -> Answer:
        """Return an upstream for a session, or that it is held, or its final answer."""
        if session.attempt_in_flight or session.established:
            return Nothing()
        self._credit_settled(now)
        # A session held too long would miss its final answer: it gets it while there is still time.
        if now + HOLD_US >= session.deadline or session.attempt_count >= self.settings.max_attempts:
            return self.retries.final_answer(now, session)
        # Attempts that fail everywhere feed the overload of what all depend on: they go out one by one.
        if now < self.node_backoff.until and not session.token_requested:
            return self._hold(now, session, self.node_backoff.until)
        self.slow_start.arrivals.record(now, session, self.settings.overload_window_us)
        successors = self.ring.successors(session)
        if session.mid_flow and not session.attempt_count:
            successors = self.selector.prefer_warm(now, successors)
        retryable = (upstream for upstream in successors if self.retries.may_retry(now, session, upstream))
        candidates = self.selector.candidates(now, session, retryable)
        if not candidates.pair and session.maybe_executed_at >= 0:
            return self.retries.final_answer(now, session)
        tokens = self._want_token(now, session, candidates)
        if self.probing.request(now, session, candidates.pair) or tokens:
            return Hold(now + PROBE_WAIT_US, tokens)
        upstream = self.selector.choose(now, session, candidates)
        return self._send(now, session, upstream) if upstream else self._defer(now, session, candidates.pair)

    def _want_token(self, now: int, session: Session, candidates: Candidates) -> types.TokenCandidates:
        slow_start, pair = self.slow_start, candidates.pair
        requestable = now < slow_start.issuer_until and not session.token_requested
        if not requestable or all(slow_start.may_take(now, upstream, session) for upstream in pair):
            return ()
        session.token_requested = True
        # In a node's backoff this is the one attempt: another that went meanwhile would waste the token.
        self.node_backoff.until = now + self.node_backoff.delay_us
        reachable = self.selector.reachable(now, pair + candidates.spread, candidates.beyond)
        warming = [other for other in reachable if is_fit(now, other) and not slow_start.is_warm(now, other)]
        return tuple(slow_start.token_candidate(now, session, other) for other in warming[:TOKEN_CANDIDATES])

    def _hold(self, now: int, session: Session, until: int) -> Answer:
        # Spread a little, or all that wait would come back at once.
        place_at = max(until, now + HOLD_US) + int(self.random.uniform(0, HOLD_US))
        # No hope before its deadline: the client is told at once, and when to come back, not held until then.
        if until > now and place_at + HOLD_US >= session.deadline:
            return self.retries.final_answer(now, session, until - now)
        return Hold(min(session.deadline - HOLD_US, place_at))

    def _defer(self, now: int, session: Session, pair: list[Upstream]) -> Answer:
        session.token_requested = False  # asked for again: what had no room for it may have some by then
        warm_upstreams = [upstream for upstream in pair if self.slow_start.is_warm(now, upstream)]
        fit_at = [max(upstream.backoff.until, upstream.slow_until) for upstream in warm_upstreams]
        return self._hold(now, session, min(fit_at, default=now))

    def _send(self, now: int, session: Session, upstream: Upstream) -> Answer:
        self.slow_start.spend(now, upstream, session)
        # One attempt per delay: a crowd would all wait for a silent upstream, or overload one just recovered.
        upstream.backoff.until = now + upstream.backoff.delay_us
        self.node_backoff.until = now + self.node_backoff.delay_us
        upstream.add(session)
        session.attempt_sent(now, upstream.number)
        self.retries.in_flight[session.number] = session
        # Slow attempts queue with everybody's: shorter time-outs would fill the queue with dead work.
        return Forward(upstream.number, session.deadline)

    def outcome(self, now: int, session: Session, outcome: Outcome, *, answered: bool = False) -> Answer:
        """Record how a session or its attempt ended; return what to do unless its client is answered."""
        upstream = self.fleet.upstreams[session.upstream]
        self.retries.in_flight.pop(session.number, None)
        if outcome is Outcome.ESTABLISHED:
            self.retries.established_sent_at = max(self.retries.established_sent_at, session.sent_at)
            self.mean_setup_us = running_mean(self.mean_setup_us, now - session.sent_at)
            session.attempt_established(now)
            upstream.unreachable = False
            self.settling.append(session)
            self.ring.record_established(session)
            return Nothing()
        self.fleet.look_at = now
        upstream.remove(session)  # or it would look busier than it is
        self._record_end(now, session, upstream, outcome)
        if outcome in TELLING and not (session.established and now >= session.established_at + SETTLE_US):
            self.node_backoff.record(now, session.sent_at, succeeded=outcome is Outcome.COMPLETED)
        session.attempt_ended(outcome, self.settings.class_of(session))
        return Nothing() if answered else self.place(now, session)

    def _record_end(self, now: int, session: Session, upstream: Upstream, outcome: Outcome) -> None:
        backoff = upstream.backoff
        if outcome is Outcome.RESET:
            self.load.penalize(now, upstream)
            # Every node tries it again after its own backoff: what is slow for one is a crowd from hundreds.
            longest_us = max(backoff.longest_us, TRIAL_US * self.settings.nodes)
            backoff.escalate(now, session.sent_at, RESET_BACKOFF_US, longest_us)
        elif outcome is Outcome.REJECTED:
            backoff.escalate(now, session.sent_at, BACKOFF_US, backoff.longest_us)
        elif not session.established and outcome not in (Outcome.NOT_SENT, Outcome.CANCELLED):
            upstream.unreachable = outcome is Outcome.CONNECT_FAILED
            backoff.record(now, session.sent_at, succeeded=outcome is Outcome.COMPLETED)

    def _credit_settled(self, now: int) -> None:
        # An overloaded upstream establishes sessions only to reset them: no success until they have settled.
        while self.settling and now >= self.settling[0].established_at + SETTLE_US:
            session = self.settling.popleft()
            if session.established:
                upstream = self.fleet.upstreams[session.upstream]
                for backoff in (upstream.backoff, self.node_backoff):
                    backoff.record(now, session.established_at, succeeded=now >= upstream.slow_until)

    def wait(self, now: int) -> DueActions:
        """Return what falls due now, and how long until the next does."""
        probes, migrations, superseded = [], [], []
        # Asked after every event: all upstreams are looked at only when one may have something due.
        if now >= self.fleet.look_at:
            self.fleet.look_at = now + SECOND
            probes = self.probing.due(now)
            migrations = self.migration.due(now)
        wait_us = self.fleet.look_at - now
        if self.retries.in_flight and self.settings.can_cancel:
            superseded = self.retries.superseded(now)
            wait_us = min(wait_us, self.retries.check_at - now)
        poll, poll_wait_us = self.polling.due(now)
        setup_us = int(self.mean_setup_us)
        return DueActions(min(wait_us, poll_wait_us), probes, poll, migrations, superseded, setup_us)

    def update_endpoints(self, now: int, endpoints: Iterable[Endpoint], *, whole: bool, asked: bool) -> None:
        """Take over an endpoint list, or the changes to it; asked: it answers a poll."""
        updated = self.fleet.update(list(endpoints), whole=whole)
        longest_us = NODE_TRIAL_US * self.settings.nodes // (len(self.fleet.ready) or 1)
        self.node_backoff.longest_us = max(LONGEST_NODE_BACKOFF_US, longest_us)
        if asked:
            self.polling.answered()
        self.ring.update(updated)

    def discovery_failed(self, now: int) -> None:
        """Record that a poll failed, or that the subscription was lost."""
        self.polling.failed(now)

    def record_probe(self, now: int, number: int, probe: types.ProbeResult) -> None:
        """Record the result of a probe of an upstream."""
        upstream = self.fleet.upstreams[number]
        upstream.unreachable = not probe.answered
        if upstream.unreachable and now < upstream.unresponsive_until:
            self.fleet.look_at = now
        if not probe.answered or upstream.backoff.delay_us:
            upstream.backoff.record(now, upstream.probed_at, succeeded=probe.answered)
        if probe.utilization is not None:
            upstream.utilization, upstream.utilization_at = probe.utilization, now
            self.slow_start.record_capacity(now, upstream, probe.sessions or 0.0)
            self.migration.check_report(now, upstream)

    def record_load(self, now: int, session: Session, load: float) -> None:
        """Record a session's load as it is now, in microseconds of work a second."""
        self.fleet.change_load(session, load)
        self.fleet.mean_session_load = running_mean(self.fleet.mean_session_load, load)

    def record_delay(self, now: int, session: Session, delay_us: int) -> None:
        """Record what a message takes on a session's upstream now."""
        self.migration.record_delay(now, self.fleet.upstreams[session.upstream], delay_us)

    def record_unresponsive(self, now: int, number: int) -> None:
        """Record that messages wait on an upstream's sessions, and for a while none has been answered."""
        self.migration.record_unresponsive(now, self.fleet.upstreams[number])

    def record_token(self, now: int, issuer_until: int, token: types.Token | None = None) -> None:
        """Record that a token issuer speaks for all nodes until then, and the token that it issues."""
        self.slow_start.issuer_until = issuer_until
        # For that session alone: a heavy one that was refused would use the token of a light one.
        if token is not None and token.upstream in self.fleet.upstreams:
            self.fleet.upstreams[token.upstream].add_token(now, token)

    def add_established(self, session: Session, number: int) -> None:
        """Take over a session that was established before this node started; a list may lack its upstream."""
        self.fleet.add_established(session, number)
        self.ring.record_established(session)

    def remove_session(self, session: Session) -> None:
        """Forget a session: its client is gone, or it is no longer this node's."""
        self.retries.in_flight.pop(session.number, None)
        self.fleet.remove(session)

    def release_slow_start_budget(self, *, released: bool) -> None:
        """Leave the node's slow-start budget to another process of it, or take it back."""
        self.slow_start.released = released
