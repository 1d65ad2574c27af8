"""A simulation of nodes that exchange slow-start tokens over an unreliable network."""

from __future__ import annotations

import random
from collections import deque

from larchlatch.cluster.election.electorate import TOKEN_ISSUER, Electorate
from larchlatch.cluster.election.fencing import NO_PERMIT, OrderPermit
from larchlatch.cluster.election.lease_terms import LeaseTerms
from larchlatch.cluster.protocol.headers import RequestOrigin
from larchlatch.cluster.protocol.messages import TokenGrant, TokenRequest
from larchlatch.cluster.slow_start.notices import TokenNotice
from larchlatch.cluster.slow_start.requester import NOTICE_LAG_US
from larchlatch.cluster.slow_start.tokens import SlowStartTokens
from larchlatch.policy.types import TokenCandidate
from larchlatch.scenario.drifting_clock import DriftingClock

SECOND = 1_000_000
HEARTBEAT_US, STEP_US = 200_000, 40_000
WINDOW, TERM = SECOND, 3 * SECOND
START, WALL = 1000 * SECOND, 1_800_000_000 * SECOND
NAMES = ("a", "b", "c", "d")
ELECTORATE = Electorate(NAMES[:3], NAMES, (TOKEN_ISSUER,), LeaseTerms(TERM, 0.01, 200_000), 7)
UPSTREAM, BUDGET = 99, 5.0


class TokenNode:
    """A node with its slow-start tokens, and with a balancer that receives the notices after a delay."""

    def __init__(self, name: str, now: int) -> None:
        self.name = name
        self.tokens = SlowStartTokens(name, ELECTORATE, now)
        self.tokens.update_upstreams(now, [UPSTREAM], slow_start_us=1000 * SECOND, window_us=WINDOW)
        self.incarnation = now
        self.handed_over_until = 0  # end of the handover of turns that the balancer knows of
        self.token_ends_at: dict[int, int] = {}
        self.pending_notices: deque[tuple[int, TokenNotice]] = deque()  # not yet received by the balancer
        self.queue_notice(now, self.tokens.requester.open(now))
        self.apply_notices(now)
        self.awake_at = 0

    def origin(self, now: int) -> RequestOrigin:
        return RequestOrigin(self.name, self.incarnation, WALL + now)

    def queue_notice(self, now: int, notice: TokenNotice | None, lag_us: int = 0) -> None:
        if notice is not None:
            last = self.pending_notices[-1][0] if self.pending_notices else 0
            self.pending_notices.append((max(last, now + lag_us), notice))

    def apply_notices(self, now: int) -> None:
        while self.pending_notices and self.pending_notices[0][0] <= now:
            _, notice = self.pending_notices.popleft()
            self.handed_over_until = notice.handed_over_until
            if notice.upstream:
                self.token_ends_at[notice.session] = notice.token_ends_at

    def receive(
        self, now: int, message: TokenRequest | TokenGrant, permit: OrderPermit, lag_us: int
    ) -> TokenGrant | None:
        if isinstance(message, TokenRequest):
            return (
                self.tokens.issuer.answer(now, message, permit)
                if self.tokens.issuer.is_new(message)
                else None
            )
        if self.tokens.requester.expects(message):
            self.queue_notice(now, self.tokens.requester.accept(now, message), lag_us)
        return None


class Played:
    """Simulation of nodes whose sessions all go to one upstream in slow start.

    The network loses, duplicates and delays messages. The holder of the role is set, not elected.
    """

    def __init__(
        self, seed: int, loss: float, double: float, late: float, faults: bool, changes: bool = False
    ) -> None:
        """Create the simulation.

        Args:
            seed: seed of the random decisions.
            loss: probability that a message is lost.
            double: probability that a message is duplicated.
            late: probability that a message has a long delay.
            faults: whether there are partitions, restarts and pauses of nodes, and changes of the holder.
            changes: whether the holder changes every two seconds.

        """
        self.rng = random.Random(seed)
        self.loss, self.double, self.late, self.faults = loss, double, late, faults
        self.changes = changes
        self.clocks = {name: DriftingClock(START) for name in NAMES}
        for clock in self.clocks.values():
            clock.set_gain(START, self.rng.choice((-0.01, 0.0, 0.01)))
        self.nodes = {name: TokenNode(name, START) for name in NAMES}
        self.in_flight: list[tuple[int, int, str, TokenRequest | TokenGrant]] = []
        self.cut: frozenset[str] = frozenset()
        self.by_leave: list[int] = []  # times at which sessions were sent with a token
        self.by_turn = 0  # number of sessions sent without a token, in a turn of their node
        self.taken_twice = 0  # number of sessions sent in a turn that their node had promised not to use
        self.holder, self.lease, self.held_until = "a", 1, START + 10**12
        self.sessions = 0

    def now_of(self, name: str, now: int) -> int:
        return self.clocks[name].at(now)

    def lag(self) -> int:
        """Return a random delay of a notice on its way to the balancer, in microseconds."""
        return self.rng.randrange(10_000 if self.rng.random() < 0.9 else NOTICE_LAG_US)

    def order_permit(self, name: str, now: int) -> OrderPermit:
        """Return the permit of the role's holder, for a ballot round at most; NO_PERMIT for other nodes."""
        left_us = self.held_until - now if name == self.holder else 0
        return OrderPermit(self.lease, min(left_us, TERM // 8)) if left_us > 0 else NO_PERMIT

    def send(self, now: int, sender: str, message: TokenRequest | TokenGrant | None) -> None:
        if (
            message is None
            or self.rng.random() < self.loss
            or (sender in self.cut) is not (message.recipient in self.cut)
        ):
            return
        for _ in range(2 if self.rng.random() < self.double else 1):
            max_delay_us = 4 * SECOND if self.rng.random() < self.late else 40_000
            self.in_flight.append(
                (now + self.rng.randrange(max_delay_us), self.rng.randrange(10**9), sender, message)
            )

    def inject_fault(self, now: int) -> None:
        self.cut = frozenset(self.rng.choice(("", "", "a", "ab", "d")))
        name, what = self.rng.choice(NAMES), self.rng.random()
        if what < 0.15:
            self.nodes[name] = TokenNode(name, self.now_of(name, now))
        elif what < 0.3:
            self.nodes[name].awake_at = now + self.rng.randrange(4 * SECOND)
        elif what < 0.6:
            self.change_holder(now)

    def change_holder(self, now: int) -> None:
        """Give the role to a random node, with a new lease, as if the previous lease had ended."""
        self.holder, self.lease = self.rng.choice(NAMES), self.lease + 1
        self.held_until = now + 10**12

    def run(self, span_s: int) -> Played:
        for now in range(START, START + span_s * SECOND, STEP_US):
            if self.faults and now % (2 * SECOND) == 0:
                self.inject_fault(now)
            if self.changes and now % (2 * SECOND) == 0:
                self.change_holder(now)
            due = sorted(entry[:2] for entry in self.in_flight if entry[0] <= now)
            going = {entry[:2]: entry for entry in self.in_flight if entry[0] <= now}
            self.in_flight = [entry for entry in self.in_flight if entry[0] > now]
            for key in due:
                _, _, _, message = going[key]
                node = self.nodes[message.recipient]
                if now >= node.awake_at:
                    lag = self.lag()
                    own = self.now_of(message.recipient, now)
                    self.send(
                        now,
                        message.recipient,
                        node.receive(own, message, self.order_permit(message.recipient, now), lag),
                    )
            for name, node in self.nodes.items():
                if now >= node.awake_at:
                    self.act(now, name, node)
        return self

    def act(self, now: int, name: str, node: TokenNode) -> None:
        own = self.now_of(name, now)
        lease, _ = self.order_permit(name, now)
        if now % HEARTBEAT_US == 0:
            node.tokens.issuer.hold(own, lease)
            request, notice = node.tokens.requester.tick(own, node.origin(now), self.holder)
            node.queue_notice(own, notice, self.lag())
            self.send_request(now, own, name, request)
        node.apply_notices(own)
        # A session with a token is sent at a random step before the token ends; an ended token is dropped.
        for number, at in list(node.token_ends_at.items()):
            if own >= at or self.rng.random() < 0.7:
                del node.token_ends_at[number]
                if own < at:
                    self.by_leave.append(now)
        if self.rng.random() < 0.5:
            self.sessions += 1
            self.session(now, own, name, node)

    def send_request(self, now: int, own: int, name: str, request: TokenRequest | None) -> None:
        """Send a request to the issuer, which may be the sending node itself."""
        if request is None or request.recipient != name:
            self.send(now, name, request)
            return
        grant = self.nodes[name].tokens.issuer.answer(own, request, self.order_permit(name, now))
        if grant is not None:
            self.nodes[name].receive(own, grant, NO_PERMIT, self.lag())

    def session(self, now: int, own: int, name: str, node: TokenNode) -> None:
        """Start a session, which requests a token, is sent in its node's turn, or is not sent."""
        if own < node.handed_over_until:
            candidates = [(UPSTREAM, TokenCandidate(UPSTREAM, BUDGET, 1.0))]
            request = node.tokens.requester.request_token(own, node.origin(now), self.sessions, candidates)
            self.send_request(now, own, name, request)
        elif now // WINDOW % len(NAMES) == NAMES.index(name):
            self.by_turn += 1
            for other, other_node in self.nodes.items():
                if self.order_permit(other, now)[0] and other_node.tokens.issuer.lease:
                    promised_until = other_node.tokens.issuer.promised_until.get(name, 0)
                    self.taken_twice += self.now_of(other, now) < promised_until

    @property
    def most(self) -> int:
        """Greatest number of sessions that were sent with tokens within one window."""
        sent, first, most = self.by_leave, 0, 0
        for place, at in enumerate(sent):
            while sent[first] <= at - WINDOW:
                first += 1
            most = max(most, place - first + 1)
        return most

    @property
    def sound(self) -> bool:
        """Whether tokens kept to the budget and no session used a turn that was handed over."""
        return self.most <= BUDGET and not self.taken_twice
