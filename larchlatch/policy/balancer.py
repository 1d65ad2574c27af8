"""Every decision of a larchlatch node, and nothing else.

How to call it: build one Brain for each node from its Terms and a seeded random.Random, then ask

    place(now, link)            where to send this link: a host, or not yet, or never (shed, given up)
    outcome(now, link, what)    what to do after this outcome of its setup try: the same answers, or nothing
    wait(now)                   how long to wait, and what is due now: probes, a request for the list, moves,
                                tries to be given up

What the node observes goes in by hosts_listed, list_failed, report, load_note, delay_note, quiet, standing
and left, which return nothing. The types of all of these are in larchlatch/links.py. Times are whole
microseconds of the clock that the caller hands in; nothing here reads a clock or shares state with another
node. docs/design.md says where each choice comes from.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import deque
from itertools import chain, islice
from typing import TYPE_CHECKING

from xxhash import xxh3_64_intdigest

from larchlatch.policy.types import (
    DONE,
    FAILED,
    NEVER_RAN,
    NOT_YET,
    SHED,
    Answer,
    DedupScope,
    DeploymentSettings,
    DueActions,
    Endpoint,
    EndpointState,
    Idempotency,
    Outcome,
    Session,
    TokenCandidate,
    UpstreamStatus,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator
    from random import Random

SECOND = 1_000_000  # microseconds
# Outcomes that tell of what all setups depend on; no connection tells of one host or its links alone.
TELLING = frozenset({Outcome.COMPLETED, Outcome.REJECTED, Outcome.ERROR, Outcome.TIMED_OUT, Outcome.RESET})

LOW = 0xFFFFFF  # low bits of a point on the ring that hold its host: more hosts than a node meets in its life
TOKENS = 32  # ring points for a host of size 1: arcs then differ by about an eighth, for sizes are two to six
MOST_TOKENS = 512  # ring points, whatever the size: keeps a rebuild under a few milliseconds
FEW = 3  # outcomes by which a host is judged: two failures in a row tell, one does not
REST_US = 100_000  # first rest of a host after a failure: a full queue has moved on by then
DROP_REST_US = 1 * SECOND  # and after it dropped a link that stood: piled-up work takes longer
LONGEST_REST_US = 6 * SECOND  # rests double up to this: a host that has returned is found within it
TRIAL_US = 250_000  # a host that drops links is tried by all nodes together no more than about once in this
HOLD_US = 50_000  # a link that no host may have now is looked at again after this
BACK_US = 200_000  # the least wait advised to a shed client: longer than one round of further tries
SETTLE_US = SECOND  # a link has to stand so long to count as a success: hosts drop new links within that
MANY = 8  # outcomes over all hosts by which the node judges what all setups depend on
NODE_REST_US = 20_000  # first pause between two setup tries of a node when most fail everywhere
LONGEST_NODE_REST_US = 1 * SECOND  # the longest: a few tries a second find out when it is over
ENTRY_US = 2 * SECOND  # a rest by which all nodes together set up one link a host in this, when most are slow
SLOW_US = 2 * SECOND  # a delay note counts this long: notes come once a second while it lasts
STRAIN = 1.5  # what each second of drops or late messages multiplies a host's load by: two make it double
MOST_STRAIN = 8.0  # and the most: a host never counts for less than an eighth of its size
STRAIN_US = 20 * SECOND  # until that is forgotten: some link lives later, for its load has changed by then
NEAR = 0.34  # share of the strictest wanted message time above which a host counts as slow: notes start there
MOVE_US = SECOND  # between two rounds of moves off a slow host: the next note tells what the last ones did
MOVE_SHARE = 0.1  # of a slow host's own links in one round: a host just over the edge comes back in one
PRIOR = 8.0  # links at the mean counted with a host's own: small counts differ by so much by chance
MOST_LATE = 4.0  # times that share at the most, for a host whose messages take so many wanted times
LATELY = 64  # links by whose groups a node tells large groups: a twentieth of all shows among as many
TIE = 1.2  # the master must be so many times as loaded as the second for that to be chosen
HOT = 2.0  # times the mean load above which both candidates count as crowded
FULL = 0.9  # probed load over capacity from which a host counts as crowded: messages are late soon after
SPARE = 0.5  # probed load up to which any host takes links: its mean is under that of most full days
EDGE = 0.75  # probed load over capacity from which messages are late now and then: bursts find no room above
ROOM = 0.6  # mean probed load of the hosts that are well below which they can take the others' links
UNEVEN = 1.5  # times the mean probed load from which a host is relieved: others have room for what it loses
PROBE_US = 2 * SECOND  # a probed load serves this long: about as long as load takes to shift between hosts
WATCH_US = 5 * SECOND  # a host with own links is probed so often: that costs little beside links served late
GREW = 4  # own links more than at its last probe before that figure is doubted: fewer differ by chance
FRESH_US = 500_000  # between two probes for that: reports lag by a few tenths of a second
GLANCE_US = 25_000  # a new link waits this long for its candidates' probes: a round trip between zones
STALE_US = 10 * SECOND  # a probed load older than this is forgotten
UTILIZATION_WEIGHT = 0.5  # weight of probed load against own links for each node: it sees every node's
SOUGHT = 4  # cold hosts that a link asks for: with half of a fleet cold a budget is left at one of them
TOLD = 0.1  # probed load from which a host's links tell how many fill it: below, a few of them decide
SAFE = 0.75  # of the stated multiple of a cold host's capacity: the rest is for what is guessed of it
GUESSED = 0.5  # the same where not even what fills it is told, but guessed from own links on warm hosts
NOTED = 0.1  # weight of a new figure in the running mean of a link's load
ASK_US = SECOND  # the longest first pause after a failed list request; doubles
LOOK_US = 250_000  # between two looks for tries that later ones have overtaken: short against expected times
LOST_US = 10 * SECOND  # a list request without an answer for so long is taken for lost


class Pace:
    """How fast setup tries may go out, by the successes among the last few; to one host, or to all."""

    def __init__(self, few: int, first: int, longest: int) -> None:
        self.recent: deque[bool] = deque(maxlen=few)
        self.first, self.longest = first, longest
        self.rest = self.rest_until = 0  # rest above 0: on probation, a try only once in so long
        self.rested_at = -1  # when it was last doubled

    def judge(self, now: int, good: bool, sent_at: int) -> None:
        self.recent.append(good)
        if not good and 2 * sum(self.recent) < len(self.recent):
            self.relieve(now, sent_at, self.first, self.longest)
        elif good:
            # Each success halves the wait: what comes back after a failure must not come back all at once.
            self.rest = self.rest // 2 if self.rest >= 2 * self.first else 0
            self.rest_until = min(self.rest_until, now + self.rest)

    def relieve(self, now: int, sent_at: int, least: int, longest: int) -> None:
        """Rest; twice as long each time that a try fails which was sent after the last such failure."""
        if sent_at >= self.rested_at:
            self.rest = min(longest, max(least, 2 * self.rest))
            self.rested_at = now
        self.rest = max(self.rest, least)
        self.rest_until = max(self.rest_until, now + self.rest)


class Upstream(Pace):
    """All that this node knows of one host."""

    def __init__(self, line: Endpoint) -> None:
        super().__init__(FEW, REST_US, LONGEST_REST_US)
        self.number, self.tokens = line.upstream, 0  # its points on the ring
        self.open: dict[int, Session] = {}  # own links that stand there or are being set up
        self.known_load, self.unknown = 0.0, 0  # sum of their loads where known, and the count of the others
        self.strain, self.strain_at = 1.0, 0  # above 1: it was short of capacity lately, at so much less
        self.wanted = self.unreached = False  # a link waits to know its load; no connection at all was had
        self.slow_until = self.move_at = 0
        self.late = 1.0  # what a message took there by the last note, in wanted message times
        self.quiet_until = 0  # no message is answered there, on no link
        self.utilization, self.utilization_at = 0.0, -STALE_US
        self.able = self.fills = 0.0  # links that fill it, by its last probe; by that, if it was warm
        self.probed_at, self.seen = -STALE_US, 0  # when it was last probed, and its own links there then
        self.turn, self.spent = -1, 0.0  # the turn at a fresh host in which that was spent
        self.leaves: dict[int, int] = {}  # of a pacer, by the link that each is for: until when it holds
        self.started_at = 0
        self.follow(line)

    def add(self, session: Session) -> None:
        if session.number not in self.open:
            self.open[session.number] = session
            self.known_load += session.load
            self.unknown += not session.load

    def remove(self, session: Session) -> None:
        if self.open.pop(session.number, None) is not None:
            self.known_load -= session.load
            self.unknown -= not session.load

    def outgrown(self) -> bool:
        """Whether it may have filled up since its last probe, by the own links that it has taken since."""
        if self.seen < GREW:  # empty, it showed nothing of what a link takes there
            return len(self.open) >= 2 * GREW
        return len(self.open) >= self.seen + GREW and self.utilization * len(self.open) > EDGE * self.seen

    def spots(self) -> list[int]:
        """Its points on the ring."""
        name = self.name.encode().rjust(4, b"#")  # hosts with shorter names share their points
        return [xxh3_64_intdigest(name, token) for token in range(self.tokens)]

    def follow(self, line: Endpoint) -> None:
        """Take over what the list says."""
        if line.started_at > self.started_at and line.state is EndpointState.READY:
            self.recent.clear()  # a new start: what the old process did says nothing of it
            self.rest = self.rest_until = self.slow_until = self.quiet_until = 0
            self.able = self.fills = 0.0
        self.name, self.zone, self.cell, self.state = line.name, line.zone, line.cell, line.state
        self.size, self.started_at = line.size, line.started_at


class Balancer:
    def __init__(self, settings: DeploymentSettings, chance: Random) -> None:
        self.settings = settings
        self.uniform = chance.uniform
        self.upstreams: dict[int, Upstream] = {}
        self.attempt_count: dict[
            int, Session
        ] = {}  # links whose setup tries are out, in the order of their sending
        self.overtaken_by = self.overtaken_at = 0  # when the last that stands was sent; the next look
        self.settling: deque[Session] = deque()  # links that have just come to stand, oldest first
        # Of the last links, not of the open ones alone: one node of hundreds holds too few to tell by.
        self.lately: deque[int] = deque(maxlen=LATELY)  # what the last links that came to stand were kin to
        self.asked: deque[int] = deque()  # when links were first asked for within a cold host's window
        self.ring: list[int] = []  # its points in order, each with its host's number in the low bits
        self.look_at = 0  # when a host may next have something due
        self.pace = Pace(MANY, NODE_REST_US, LONGEST_NODE_REST_US)
        self.noted = self.takes = 0.0  # running means of noted loads, and of what a setup takes
        self.listening = self.asking = False  # a list subscription stands; a list request is out
        self.ask_at, self.ask_gap = 0, ASK_US
        self.paced_until = 0  # until then cold hosts take links by a pacer's leave, not in turns
        self.ceded = False  # another process of this node places what is new
        self.strictest = min(
            (t.message_objective_us for t in settings.traffic_classes if t.message_objective_us), default=0
        )

    # Where to send this link.

    def place(self, now: int, session: Session) -> Answer:
        """The host for a link; or not yet; or its final answer."""
        if session.out or session.open:
            return Answer(DONE)
        self.settle(now)
        # A link held too long would miss its final answer: it gets it while there is still time.
        if now + HOLD_US >= session.deadline or session.attempt_count >= self.settings.max_attempts:
            return self.final(now, session)
        # When setups fail everywhere, what they all depend on is overrun: every further try then feeds the
        # storm, and it does not end with its cause. Tries go out one by one until they succeed again.
        if now < self.pace.rest_until and not session.sought:
            return self.hold(now, session, self.pace.rest_until)
        while self.asked and now >= self.asked[0] + self.settings.overload_window_us:
            self.asked.popleft()
        if now >= session.asked_at + self.settings.overload_window_us:
            session.asked_at = now
            self.asked.append(now)
        order: Iterable[Upstream] = self.walk(session)
        if (
            session.mid_flow and not session.attempt_count
        ):  # it was placed when the ring had no host that is cold still
            upstreams = list(order)
            warm = [upstream for upstream in upstreams if self.warmth(now, upstream) >= 1.0]
            order = (
                warm if 2 * len(warm) >= len(upstreams) else upstreams
            )  # or a few would get all the others' links
        walk = (upstream for upstream in order if self.may_repeat(now, session, upstream))
        pair, others = self.pair(now, session, walk)
        if not pair and session.maybe_executed_at >= 0:
            return self.final(now, session)
        sought = self.seek(now, session, pair + others, walk)
        if self.glance(now, session, pair) or sought:
            return Answer(NOT_YET, now + GLANCE_US, sought)
        upstream = self.choose(now, session, pair, others, walk)
        if upstream is None:
            session.sought = False  # asked for again: what had no room for it may have some by then
            free = [max(h.rest_until, h.slow_until) for h in pair if self.warmth(now, h) >= 1.0]
            return self.hold(now, session, min(free, default=now))
        self.sent(now, session, upstream)
        # A host that is gone shows as no connection, soon. A set-up that takes long stands in a queue with
        # everybody's, and one given up there is served all the same: time-outs would fill it with dead work.
        return Answer(upstream.number, session.deadline)

    def hold(self, now: int, session: Session, until: int) -> Answer:
        """Not yet; spread a little, or all that wait would come back at once."""
        at = max(until, now + HOLD_US) + int(self.uniform(0, HOLD_US))
        # No hope before its cut-off: the client is told at once, and when to come back, not held until then.
        if until > now and at + HOLD_US >= session.deadline:
            return self.final(now, session, until - now)
        return Answer(NOT_YET, min(session.deadline - HOLD_US, at))

    def glance(self, now: int, session: Session, pair: list[Upstream]) -> bool:
        """Whether a new link had better wait for a look at its candidates' loads."""
        if not self.settings.probes_report_load or session.mid_flow or session.attempt_count:
            return False
        # In a crowd the last probe shows a host empty that is full by now.
        stale = [h for h in pair if now >= h.probed_at + (FRESH_US if h.outgrown() else PROBE_US)]
        for upstream in stale:
            upstream.wanted = True
            self.look_at = now
        return bool(stale)

    def seek(
        self, now: int, session: Session, near: list[Upstream], beyond: Iterable[Upstream]
    ) -> tuple[TokenCandidate, ...]:
        """Cold hosts, the next first, for one of which a link had better have the pacer's leave."""
        if (
            now >= self.paced_until
            or session.sought
            or all(self.in_budget(now, h, session) for h in near[:2])
        ):
            return ()
        # Where tries go out one by one this is the one: another that went meanwhile would waste the leave.
        session.sought, self.pace.rest_until = True, now + self.pace.rest
        there = near if self.wide_trouble(now) else chain(near, beyond)
        cold = [h for h in there if self.fit(now, h) and self.warmth(now, h) < 1.0][:SOUGHT]
        budgets = [self.turn_budget(now, h, self.warmth(now, h), self.fills(h)) for h in cold]
        weight = self.weight(session)
        return tuple(
            TokenCandidate(h.number, budget, weight) for h, budget in zip(cold, budgets, strict=True)
        )

    def choose(
        self,
        now: int,
        session: Session,
        pair: list[Upstream],
        others: list[Upstream],
        beyond: Iterable[Upstream],
    ) -> Upstream | None:
        """The less loaded of the key's master and second candidate; past them only where both are unfit."""
        open_to = [upstream for upstream in pair if self.in_budget(now, upstream, session)]
        if session.mid_flow and session.attempt_count == 0:
            return open_to[0] if open_to else None
        if session.attempt_count and len(open_to) > 1:
            open_to = [upstream for upstream in open_to if upstream.number != session.upstream]
        # Many nodes read one figure and would all act on it at once: each draws where a crowd begins. Where
        # those told of have no room, a link that strays only makes one more host pay for its group.
        mean, told = self.mean_load(), [h.utilization for h in self.told(now)]
        # What strays from a lower bar would want a cold host's small budget.
        room = sum(told) < EDGE * len(told) and all(self.warmth(now, h) >= 1.0 for h in self.ready())
        bar = self.uniform(SPARE, FULL) if room else FULL
        fit = [upstream for upstream in open_to if self.fit(now, upstream)]
        best = [upstream for upstream in fit if not self.crowded(now, upstream, mean, bar)]
        if len(best) == 2:
            master, second = (self.gauge(now, upstream, mean) for upstream in best)
            return best[1] if TIE * second < master else best[0]
        if best:
            return best[0]
        # Both candidates are out of the question: on along the ring to the next host that is not. But in
        # trouble that hits most hosts a link that strays from its group's hosts adds the group's own work to
        # one more host, until all drown in it; and one put on a slow host is one more that earns nothing.
        for upstream in others if self.wide_trouble(now) else chain(others, beyond):
            if (
                not self.absent(now, upstream)
                and self.fit(now, upstream)
                and self.in_budget(now, upstream, session, 1.0)
            ):
                if not self.crowded(now, upstream, mean, bar):
                    return upstream
                fit.append(upstream)
        # Where none is below what was drawn, its own candidates come first while they are not full.
        worst = {h: self.crowded(now, h, mean) or -(h in pair) for h in fit}
        return min(fit, key=lambda upstream: (worst[upstream], self.gauge(now, upstream, mean)), default=None)

    def wide_trouble(self, now: int) -> bool:
        """Whether more than a quarter of the reachable hosts is slow or at rest, and the others lack room."""
        there = [upstream for upstream in self.ready() if not self.absent(now, upstream)]
        fit = [upstream for upstream in there if self.fit(now, upstream)]
        told = [upstream.utilization for upstream in fit if now < upstream.utilization_at + STALE_US]
        room = bool(told) and sum(told) < ROOM * len(told)
        return 4 * len(fit) <= 3 * len(there) and not room

    def absent(self, now: int, upstream: Upstream) -> bool:
        """Whether no connection to a host can be had: it is as good as gone until its next trial."""
        return upstream.unreached and now < upstream.rest_until

    def pair(
        self, now: int, session: Session, walk: Iterable[Upstream]
    ) -> tuple[list[Upstream], list[Upstream]]:
        """The master and the second candidate on a walk, and the others that a large group spreads to."""
        reach = self.reach(session)
        pool = list(islice((upstream for upstream in walk if not self.absent(now, upstream)), reach))
        if reach > 2:
            key = (session.key or 0) % 2**64
            pool.sort(key=lambda upstream: xxh3_64_intdigest(upstream.name.encode(), key))
        return pool[:2], pool[2:]

    def reach(self, session: Session) -> int:
        """Over how many hosts a link's group spreads."""
        # Two hosts cannot bear a group that makes up a tenth of a large fleet's links: they would drop them
        # over and over. It spreads along the ring so that none gets more of it than a mean host bears in all,
        # each of its links with a pair of its own among these. Nodes that see it differ only in the last few.
        return max(2, int(self.share(session) * len(self.ready())))

    def share(self, session: Session) -> float:
        """Of the last links, how many were kin to this one."""
        kin = self.kin(session)
        return self.lately.count(kin) / (len(self.lately) + PRIOR) if kin else 0.0

    def ready(self) -> list[Upstream]:
        return [upstream for upstream in self.upstreams.values() if upstream.state is EndpointState.READY]

    def kin(self, session: Session) -> int:
        """What a link shares a place on the ring with others by: its group, else its key; 0: nothing."""
        return (session.group if self.settings.uses_groups and session.group else session.key) or 0

    def spot(self, session: Session) -> int:
        """Where on the ring a link's group, else its key, lies; anywhere where it has neither."""
        kin = self.kin(session)
        return xxh3_64_intdigest(kin.to_bytes(8, "big")) if kin else int(self.uniform(0, 2**64))

    def walk(self, session: Session) -> Iterator[Upstream]:
        """The distinct ready hosts clockwise from the link's key."""
        # Nearly every link needs the first two alone: a large fleet must not be walked round for each.
        ring, seen = self.ring, set()
        start = bisect_right(ring, self.spot(session))
        for place in range(start - len(ring), start):
            number = ring[place] & LOW
            if number not in seen:
                seen.add(number)
                if self.upstreams[number].state is EndpointState.READY:
                    yield self.upstreams[number]

    def may_repeat(self, now: int, session: Session, upstream: Upstream) -> bool:
        """Whether one more try of this link at this host cannot make its effect happen twice."""
        traffic_class = self.settings.traffic_classes[session.traffic_class]
        if session.maybe_executed_at < 0 or traffic_class.idempotency is Idempotency.IDEMPOTENT:
            return True
        # An earlier try may have run: a second run elsewhere, or after the group forgets, would count twice.
        if traffic_class.idempotency is Idempotency.NON_IDEMPOTENT or now >= session.repeat_until:
            return False
        first = self.upstreams[session.maybe_executed_upstream]
        alike = {DedupScope.ZONE: upstream.zone == first.zone, DedupScope.CELL: upstream.cell == first.cell}
        return alike.get(traffic_class.dedup_scope, True)

    def final(self, now: int, session: Session, back: int = BACK_US) -> Answer:
        """The one final answer of a link that will not be delivered."""
        traffic_class = self.settings.traffic_classes[session.traffic_class]
        # Shed says that a retry is harmless: never of a link whose second run would count twice.
        discarded = (
            traffic_class.idempotency is Idempotency.KEYED
            and traffic_class.dedup_scope is DedupScope.ALL
            and now < session.repeat_until
        )
        if not (
            session.maybe_executed_at < 0 or traffic_class.idempotency is Idempotency.IDEMPOTENT or discarded
        ):
            return Answer(FAILED)
        advice = min(self.settings.max_retry_after_us, int(self.uniform(back, 2 * back)))
        return Answer(SHED, advice)

    # What a host can take.

    def warmth(self, now: int, upstream: Upstream) -> float:
        """The share of its work that a host can do at least, by the time since it started."""
        if not upstream.started_at or now >= upstream.started_at + self.settings.slow_start_us:
            return 1.0
        age = max(0, now - upstream.started_at) / self.settings.slow_start_us
        return self.settings.slow_start_min_share + (1 - self.settings.slow_start_min_share) * age

    def in_budget(self, now: int, upstream: Upstream, session: Session, share: float = 0.0) -> bool:
        """Whether a host that may still be cold can take one more link from this node now; share: of all
        links, those that may want it too, where it is not one of the link's own candidates.
        """
        warmth = self.warmth(now, upstream)
        # What another process of this node spends of its budget is not seen here: only one of them has it.
        if warmth >= 1.0 or self.ceded:
            return warmth >= 1.0
        if now < self.paced_until:
            return now < upstream.leaves.get(session.number, 0)
        # A crowd at a cold host tips it over for good, and no node sees what the others send: so the nodes
        # take turns at it by their own number, one window each, and each keeps the whole budget of its turn,
        # or one link where what fills a host is known.
        turn = (now - upstream.started_at) // self.settings.overload_window_us
        full, spent = self.fills(upstream), upstream.spent if upstream.turn == turn else 0.0
        budget = self.turn_budget(now, upstream, warmth, full)
        if turn % self.settings.nodes == self.settings.me and spent < (1.0 if full else max(1.0, budget)):
            return True
        if not full or spent >= budget - 1:
            return False
        # Where each of many nodes sees few links most turns pass unused, and others fill up beside an empty
        # host. What fills it, told by probes, is the same for all: so other links have it by chance,
        # by so much that it holds should every node have as many in hand as this one; room for chance is kept
        # by a root. The chance is the link's own for the window: asked again, or come again at another node,
        # it draws no second time.
        share = share or min(1.0, 2 / max(1, len(self.ready())) + self.share(session))
        wanted = self.settings.nodes * max(1, len(self.asked)) * share * self.weight(session)
        draw = xxh3_64_intdigest(upstream.name.encode(), ((session.key or session.number) + turn) % 2**64)
        return bool(draw * wanted < (budget**0.5 - 1) ** 2 * 2**64)

    def turn_budget(self, now: int, upstream: Upstream, warmth: float, full: float) -> float:
        """Links for one turn, of the stated multiple of what fills a host or brings it level with others."""
        settings, safe, borne = self.settings, SAFE, full
        if not full:
            safe = GUESSED
            warm = [h for h in self.ready() if self.warmth(now, h) >= 1.0]
            size = sum(h.size for h in warm)
            borne = settings.nodes * sum(len(h.open) for h in warm) / size * upstream.size if size else 0.0
        # The stated warm-up is the slowest: what a probe has shown of this host holds on, as it only grows.
        able = max(warmth * borne, min(upstream.able, borne))
        return safe * settings.overload_multiple * able * settings.overload_window_us / settings.slow_start_us

    def fills(self, upstream: Upstream) -> float:
        """How many links fill a host of this size, by what probes of others told; 0 where none did."""
        told = [h.fills / h.size for h in self.upstreams.values() if h.fills]
        return sum(told) / len(told) * upstream.size if told else 0.0

    def weight(self, session: Session) -> float:
        """A link's load in usual links."""
        return session.load / self.noted if session.load and self.noted else 1.0

    def sessions_at(self, upstream: Upstream) -> float:
        """Own open links, in usual links."""
        return (upstream.known_load / self.noted if self.noted else 0.0) + upstream.unknown

    def own(self, now: int, upstream: Upstream, mean: float) -> float:
        """Own open links over what the mean would give a host that can do what this one has shown to."""
        # Where each node has a few links, none or two on a host say nothing of its load: the mean stands in.
        share = mean * upstream.size
        sessions = (self.sessions_at(upstream) if upstream.open else share) + PRIOR
        return sessions / (share + PRIOR) * self.strained(now, upstream) / self.warmth(now, upstream)

    def mean_load(self) -> float:
        """Own open links per unit of size over all ready hosts."""
        ready = self.ready()
        size = sum(upstream.size for upstream in ready)
        return sum(self.sessions_at(upstream) for upstream in ready if upstream.open) / size if size else 0.0

    def strained(self, now: int, upstream: Upstream) -> float:
        """How much less than its size a host could do of late; forgotten evenly over STRAIN_US."""
        left = 1 - (now - upstream.strain_at) / STRAIN_US
        return 1 + (upstream.strain - 1) * left if left > 0 else 1.0

    def overdriven(self, now: int, upstream: Upstream) -> None:
        """A host has shown that it bears more than it can."""
        # Sizes are registered, not measured, and other nodes' links are not seen: a host that drops links
        # would get the same clients back at once, and drop them again, while the gauge calls it idle.
        if now >= upstream.strain_at + SLOW_US // 2:
            upstream.strain = min(MOST_STRAIN, self.strained(now, upstream) * STRAIN)
            upstream.strain_at = now

    def gauge(self, now: int, upstream: Upstream, mean: float) -> float:
        """A host's load over the mean host's: own links, and probed load in the same unit where known."""
        own = self.own(now, upstream, mean)
        if now >= upstream.utilization_at + STALE_US:
            return own
        fresh = self.told(now)
        total = sum(h.utilization for h in fresh)
        # The more nodes there are, the less of a host's load is this node's own.
        weight = UTILIZATION_WEIGHT * self.settings.nodes
        return (own + weight * upstream.utilization * len(fresh) / total) / (1 + weight) if total else own

    def told(self, now: int) -> list[Upstream]:
        """The ready hosts that told their load when probed of late."""
        return [upstream for upstream in self.ready() if now < upstream.utilization_at + STALE_US]

    def crowded(self, now: int, upstream: Upstream, mean: float, bar: float = FULL) -> bool:
        """Whether a host bears far more of this node's links than the others: a hot key, or bad luck."""
        # What a cold host can't do yet is its budget's matter: it would be crowded for half its warm-up.
        own = self.own(now, upstream, mean) * self.warmth(now, upstream)
        return (now < upstream.utilization_at + PROBE_US and upstream.utilization > bar) or own > HOT

    def fit(self, now: int, upstream: Upstream) -> bool:
        return now >= upstream.slow_until and now >= upstream.rest_until

    def sent(self, now: int, session: Session, upstream: Upstream) -> None:
        turn = (now - upstream.started_at) // self.settings.overload_window_us
        upstream.spent = self.weight(session) + (upstream.spent if upstream.turn == turn else 0.0)
        upstream.turn = turn
        upstream.leaves.pop(session.number, None)
        # On probation one link at a time tries it: a crowd would all wait for a host that may be silent, or
        # push over one that has just come back to its senses.
        upstream.rest_until = now + upstream.rest
        self.pace.rest_until = now + self.pace.rest
        upstream.add(session)
        session.upstream, session.out, session.sent_at, session.sought = upstream.number, True, now, False
        self.attempt_count[session.number] = session
        session.attempt_count += 1

    # What to do after this outcome.

    def outcome(self, now: int, session: Session, what: Outcome, done: bool = False) -> Answer:
        """After an outcome of the link's setup try; done: the client has its final answer already."""
        upstream = self.upstreams[session.upstream]
        self.attempt_count.pop(session.number, None)
        if what is Outcome.ESTABLISHED:
            self.overtaken_by = max(self.overtaken_by, session.sent_at)
            self.takes += (now - session.sent_at - self.takes) * (NOTED if self.takes else 1.0)
            session.open, session.out, session.established_at = True, False, now
            upstream.unreached = False
            self.settling.append(session)
            self.lately.append(self.kin(session))
            return Answer(DONE)
        self.look_at = now
        # Refused, failed or dropped: no longer counted, or the host would look busier than it is.
        upstream.remove(session)
        if what is Outcome.RESET:
            self.overdriven(now, upstream)
            # Every node tries it again after its own rest: what is slow for one is a crowd from hundreds.
            upstream.relieve(
                now, session.sent_at, DROP_REST_US, max(upstream.longest, TRIAL_US * self.settings.nodes)
            )
        elif what is Outcome.REJECTED:
            upstream.relieve(now, session.sent_at, REST_US, upstream.longest)
        elif not session.open and what is not Outcome.NOT_SENT and what is not Outcome.CANCELLED:
            upstream.unreached = what is Outcome.CONNECT_FAILED
            upstream.judge(now, what is Outcome.COMPLETED, session.sent_at)
        if what in TELLING and not (session.open and self.settled(now, session)):
            self.pace.judge(now, what is Outcome.COMPLETED, session.sent_at)
        if what not in NEVER_RAN and session.maybe_executed_at < 0:
            session.maybe_executed_at, session.maybe_executed_upstream = session.sent_at, upstream.number
            session.repeat_until = self.settings.traffic_classes[session.traffic_class].repeat_until(
                session.sent_at
            )
        session.out = session.open = False
        return Answer(DONE) if done else self.place(now, session)

    def settled(self, now: int, session: Session) -> bool:
        return now >= session.established_at + SETTLE_US

    def settle(self, now: int) -> None:
        """Credit the links that have stood for a while."""
        # A host over its capacity lets links stand and drops them at once: were that a success, every node
        # would go on setting up links there as fast as they are dropped.
        while self.settling and self.settled(now, self.settling[0]):
            session = self.settling.popleft()
            if session.open:
                upstream = self.upstreams[session.upstream]
                good = now >= upstream.slow_until
                upstream.judge(now, good, session.established_at)
                self.pace.judge(now, good, session.established_at)

    # What the node observes.

    def update_endpoints(self, now: int, lines: Iterable[Endpoint], whole: bool, asked: bool) -> None:
        """A list, or the changes to it."""
        lines = list(lines)
        for line in lines:
            if line.upstream in self.upstreams:
                self.upstreams[line.upstream].follow(line)
            else:
                self.upstreams[line.upstream] = Upstream(line)
        if whole:
            named = {line.upstream for line in lines}
            for upstream in self.upstreams.values():
                if upstream.number not in named:
                    upstream.state = EndpointState.GONE
        # However many nodes there are, all together then set up about one link a host in this time.
        self.pace.longest = max(
            LONGEST_NODE_REST_US, ENTRY_US * self.settings.nodes // (len(self.ready()) or 1)
        )
        if asked and self.settings.polls_discovery:
            self.listening, self.asking, self.ask_gap = True, False, ASK_US
        listed = [
            upstream
            for line in lines
            if (upstream := self.upstreams[line.upstream]).state is not EndpointState.GONE
        ]
        came = [upstream for upstream in listed if upstream.tokens != self.tokens(upstream)]
        if came:
            self.reshape(came)

    def reshape(self, came: list[Upstream]) -> None:
        """The ring with these hosts, and without those gone."""
        # Walks pass over the gone, so that the ring is touched, and hashed, for newcomers alone: building it
        # anew for each list, on hundreds of nodes, costs more than all placements.
        off = {
            upstream.number
            for upstream in self.upstreams.values()
            if upstream.state is EndpointState.GONE or upstream in came
        }
        ring = [spot for spot in self.ring if spot & LOW not in off]
        for number in off:
            self.upstreams[number].tokens = 0
        for upstream in came:
            upstream.tokens = self.tokens(upstream)
            ring += [spot & ~LOW | upstream.number for spot in upstream.spots()]
        self.ring = sorted(ring)

    def tokens(self, upstream: Upstream) -> int:
        """Ring points of a host; its own line alone sets them, so that a change remaps locally."""
        return min(MOST_TOKENS, max(1, round(TOKENS * upstream.size))) if self.settings.weighted else TOKENS

    def discovery_failed(self, now: int) -> None:
        """A list request failed, or the subscription was lost."""
        # Without a subscription a drain is never heard of, yet held to be known: ask on, ever more slowly.
        self.listening = self.asking = False
        self.ask_at = now + int(self.uniform(0, self.ask_gap))
        self.ask_gap = min(2 * self.settings.poll_within_us, 2 * self.ask_gap)

    def report(
        self, now: int, number: int, good: bool, utilization: float | None, held: float | None = None
    ) -> None:
        """A probe's result; good: answered, x0: load over what it can do, held: links there, where told."""
        upstream = self.upstreams[number]
        upstream.unreached = not good
        if upstream.unreached and now < upstream.quiet_until:
            self.look_at = now
        if not good or upstream.rest:
            upstream.judge(now, good, upstream.probed_at)
        if utilization is not None:
            upstream.utilization, upstream.utilization_at = utilization, now
            if held and utilization >= TOLD:
                upstream.able = held / utilization
                upstream.fills = upstream.able if self.warmth(now, upstream) >= 1.0 else 0.0
            # Asked for more than it can do, a host may answer at once and yet serve nobody in time.
            # But where all are as full it would only hand them round.
            level = [h.utilization for h in self.told(now)] or [0.0]
            bar = min(sum(level) / len(level) * UNEVEN, max(1.0, UNEVEN * self.others(now, upstream)))
            if utilization > max(EDGE, bar) and not self.settings.reports_delay:
                # It has to lose what it is over by, and a little more; then it is looked at again.
                self.slow(now, upstream, 1 + (utilization - EDGE) / MOVE_SHARE, MOVE_US)

    def others(self, now: int, upstream: Upstream) -> float:
        """What the other hosts bear by their sizes, as told of late: a large one with room takes much."""
        told = [h for h in self.told(now) if h is not upstream]
        size = sum(h.size for h in told)
        return sum(h.utilization * h.size for h in told) / size if size else upstream.utilization

    def record_load(self, now: int, session: Session, load: float) -> None:
        """A link's load as it is now, in microseconds of work a second."""
        upstream = self.upstreams[session.upstream] if session.upstream >= 0 else None
        if upstream and session.number in upstream.open:
            upstream.remove(session)
            session.load = load
            upstream.add(session)
        self.noted += (load - self.noted) * (NOTED if self.noted else 1.0)

    def record_delay(self, now: int, session: Session, delay_us: int) -> None:
        """What a message takes on this link's host now."""
        upstream = self.upstreams[session.upstream]
        if self.strictest and delay_us > NEAR * self.strictest:
            self.slow(now, upstream, delay_us / self.strictest, SLOW_US)
        else:
            upstream.slow_until = upstream.quiet_until = 0

    def quiet(self, now: int, number: int) -> None:
        """Messages wait on a host's links, and for a while none of them has been answered."""
        upstream = self.upstreams[number]
        upstream.quiet_until = now + SLOW_US
        self.slow(now, upstream, MOST_LATE, SLOW_US)

    def slow(self, now: int, upstream: Upstream, late: float, span: int) -> None:
        """A host's messages are late now, or about to be."""
        upstream.slow_until = now + span
        upstream.late = min(MOST_LATE, max(1.0, late))
        self.look_at = now
        self.overdriven(now, upstream)
        # Where most hosts that a node can judge are slow, what it moves off one fills the next: links
        # have to come in more slowly than they go until the hosts have worked off what has piled up.
        bearing = [h for h in self.upstreams.values() if h.open and not h.unreached]
        if 2 * sum(now < h.slow_until for h in bearing) > len(bearing) > 1:
            self.pace.judge(now, False, now)

    def paced(self, now: int, until: int, number: int = -1, session: int = -1, at: int = 0) -> None:
        """A pacer speaks for all nodes until then; it lets a link go to a host until `at`."""
        self.paced_until = until
        if number in self.upstreams:
            leaves = {old: upto for old, upto in self.upstreams[number].leaves.items() if now < upto}
            # Danger: for that link alone. A heavy one that was refused would take the leave of a light one.
            self.upstreams[number].leaves = {**leaves, session: at}

    def standing(self, now: int, session: Session, number: int) -> None:
        """A link that stood on a host before this node started."""
        session.upstream, session.open = number, True
        if number not in self.upstreams:  # a link may outlive its host's line in an old list
            self.upstreams[number] = Upstream(Endpoint(number, "", -1, -1, EndpointState.GONE, 1.0, 0))
        self.upstreams[number].add(session)
        self.lately.append(self.kin(session))

    def left(self, now: int, session: Session) -> None:
        """The client is gone, or its link is no longer this node's."""
        self.attempt_count.pop(session.number, None)
        if session.upstream >= 0:
            self.upstreams[session.upstream].remove(session)

    def upstream_statuses(self, now: int) -> list[UpstreamStatus]:
        """What this node takes its hosts to be."""
        mean, rows = self.mean_load(), []
        for upstream in self.upstreams.values():
            stand = sum(session.open for session in upstream.open.values())
            told = upstream.utilization if upstream.utilization_at > 0 else None
            why, out = self.left_out(now, upstream, mean), len(upstream.open) - stand
            rows.append(
                UpstreamStatus(
                    upstream.number, upstream.state, out, stand, told, now - upstream.utilization_at, why
                )
            )
        return rows

    def left_out(self, now: int, upstream: Upstream, mean: float) -> str:
        """Why no new link goes to a host in the first place, by what place and choose ask in their order."""
        reasons = (
            (upstream.state is not EndpointState.READY, upstream.state.value),
            (self.absent(now, upstream), "no connection"),
            (now < upstream.quiet_until, "quiet"),
            (now < upstream.slow_until, "slow"),
            (now < upstream.rest_until, "rests"),
            (self.crowded(now, upstream, mean), "crowded"),
            (self.warmth(now, upstream) < 1.0, "cold"),
        )
        return next((why for holds, why in reasons if holds), "")

    def cede(self, on: bool) -> None:
        """Another process of this node places what is new, or does no more."""
        self.ceded = on

    # How long to wait.

    def wait(self, now: int) -> DueActions:
        """What falls due now, and how long until the next does."""
        probes, moves, withdrawn = [], [], []
        # Asked after every event: all hosts are looked at only when one of them may have something due.
        if now >= self.look_at:
            self.look_at = now + SECOND
            probes, moves = self.probes(now), self.moves(now)
        wait = self.look_at - now
        if self.attempt_count and self.settings.can_cancel:
            if now >= self.overtaken_at:
                self.overtaken_at = now + LOOK_US
                withdrawn = self.overtaken(now)
            wait = min(wait, self.overtaken_at - now)
        ask = False
        if self.settings.polls_discovery and not self.listening:
            if self.asking and now >= self.ask_at + LOST_US:
                self.asking = False
            if not self.asking and now >= self.ask_at:
                ask = self.asking = True
                self.ask_at = now
            elif not self.asking:
                wait = min(wait, self.ask_at - now)
        return DueActions(wait, probes, ask, moves, withdrawn, int(self.takes))

    def overtaken(self, now: int) -> list[int]:
        """Links that had better be tried elsewhere: tries sent an expected time after theirs have stood."""
        # What all setups depend on would hold those up as well. A host that has lost one never answers it:
        # its client would wait till the cut-off, and fail.
        late = []
        for session in self.attempt_count.values():
            traffic_class = self.settings.traffic_classes[session.traffic_class]
            if session.sent_at >= self.overtaken_by:
                break
            # By less than that a queue may hand them over in another order than they came.
            ahead = self.overtaken_by - session.sent_at >= traffic_class.latency_objective_us
            if (
                ahead
                and traffic_class.idempotency is Idempotency.IDEMPOTENT
                and session.attempt_count < self.settings.max_attempts
            ):
                late.append(session)
        for session in late:
            del self.attempt_count[session.number]
            self.upstreams[session.upstream].judge(now, False, session.sent_at)
        return [session.number for session in late]

    def probes(self, now: int) -> list[int]:
        """Hosts to be probed: a link waits to know its load, it is on probation, or it is watched."""
        if not self.settings.probes:
            return []
        gaps = {h: gap for h in self.ready() if (gap := self.probe_gap(h))}
        due = [upstream for upstream, gap in gaps.items() if now >= upstream.probed_at + gap]
        for upstream in due:
            upstream.probed_at, upstream.wanted, upstream.seen = now, False, len(upstream.open)
        self.look_at = min([self.look_at, *(upstream.probed_at + gap for upstream, gap in gaps.items())])
        return [upstream.number for upstream in due]

    def probe_gap(self, upstream: Upstream) -> int:
        """How long after the last probe the next one is wanted; 0 for never."""
        if upstream.wanted or upstream.rest:
            return FRESH_US if upstream.wanted and upstream.outgrown() else PROBE_US
        # Where load shows in no delay, a host that has filled up with links would keep them, and serve none.
        if self.settings.probes_report_load and not self.settings.reports_delay and upstream.open:
            return (
                MOVE_US if upstream.slow_until > upstream.utilization_at or upstream.outgrown() else WATCH_US
            )
        return 0

    def moves(self, now: int) -> list[int]:
        """Links to be moved off hosts whose messages have grown slow."""
        moved: list[Session] = []
        ready = self.ready()
        vanished = [upstream for upstream in ready if upstream.unreached and now < upstream.quiet_until]
        for upstream in vanished:
            # It resets nothing: a link left there earns nothing, and one sent to try it waits for nothing.
            moved += [session for session in upstream.open.values() if session.open]
            upstream.relieve(now, now, upstream.longest, upstream.longest)
        # Nor does it tell of the others, which its links may fill up: those have to be relieved.
        slow = [upstream for upstream in ready if now < upstream.slow_until and upstream not in vanished]
        for upstream in slow:
            if now < upstream.move_at:
                self.look_at = min(self.look_at, upstream.move_at)
                continue
            upstream.move_at = now + MOVE_US
            # Whole groups go, and on every node the same ones first: a group left in part on a host still
            # costs that host the group's own work. Groups strayed from both their candidates go before all.
            groups: dict[tuple[int, int], list[Session]] = {}
            for session in upstream.open.values():
                if session.open:
                    pair, _ = self.pair(now, session, self.walk(session))
                    place = pair.index(upstream) if upstream in pair else -1
                    groups.setdefault((place, self.kin(session)), []).append(session)
            # A share of the fleet's links goes only if a node with few of them moves none in most rounds:
            # one at least from each of hundreds of nodes empties the host and fills the next, on and on.
            room = int(MOVE_SHARE * upstream.late * len(upstream.open) + self.uniform(0, 1))
            for (place, _), members in sorted(groups.items()):
                # A slowdown of everything is not cured by moving, unless it is the strays that cause it.
                if room <= 0 or (place >= 0 and 2 * len(slow) > len(ready) - len(vanished)):
                    break
                if place < 0 or any(
                    self.fit(now, h) and self.in_budget(now, h, members[0])
                    for h in self.pair(now, members[0], self.walk(members[0]))[0]
                ):
                    moved += members[:room]
                    room -= len(members)
        for session in moved:
            self.upstreams[session.upstream].remove(session)
        return [session.number for session in moved]
