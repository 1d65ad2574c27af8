"""The four rules, checked from what is seen from outside. It knows nothing of how decisions are made."""

from __future__ import annotations

from dataclasses import dataclass, field

from larchlatch.policy.types import EndpointState, Idempotency, Outcome

GRACE_US = 500_000  # a node may send to a host so long after it was told not to
SLACK_US = 16_000  # an answer may come so long after the cut-off
MOST_TOLD = 20  # breaks that are told in words; all are counted

# What a try has come to that its host has never seen. Written down here anew: the decisions have a table of
# their own, which must not be what judges them.
NEVER_SEEN = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


@dataclass(slots=True)
class Case:
    """One link, from its coming to its end."""

    deadline: int
    idempotency: Idempotency
    dedup_window_us: int
    out: bool = False
    answered: bool = False
    over: bool = False  # its client or its node is gone: nothing is owed any more
    seen: list[tuple[int, int]] = field(default_factory=list)  # tries that may have run: when sent, where


class Checker:
    def __init__(self) -> None:
        self.cases: dict[int, Case] = {}
        self.told_of: dict[tuple[int, int], int] = {}  # node and host: since when it must send nothing there
        self.broken: dict[str, int] = {"lost": 0, "twice": 0, "drain": 0, "cold": 0}
        self.words: list[str] = []

    def breaks(self, rule: str, now: int, what: str) -> None:
        self.broken[rule] += 1
        if len(self.words) < MOST_TOLD:
            self.words.append(f"{now / 1e6:.6f} s: {rule}: {what}")

    @property
    def kept(self) -> bool:
        return not any(self.broken.values())

    # Told of as it happens.

    def came(self, session: int, deadline: int, idempotency: Idempotency, dedup_window_us: int) -> None:
        self.cases[session] = Case(deadline, idempotency, dedup_window_us)

    def told(self, now: int, node: int, upstream: int, state: EndpointState) -> None:
        """A node has been told of a host's state."""
        if state is EndpointState.READY:
            self.told_of.pop((node, upstream), None)
        else:
            self.told_of.setdefault((node, upstream), now)

    def forgot(self, node: int) -> None:
        """A node has died: what it had been told is void."""
        for key in [key for key in self.told_of if key[0] == node]:
            del self.told_of[key]

    def sent(self, now: int, session: int, node: int, upstream: int) -> None:
        case = self.cases.get(session)
        if case is None:
            self.breaks("lost", now, f"link {session}: a try after its end")
            return
        if case.out:
            self.breaks("twice", now, f"link {session}: two tries out at once")
        if case.answered or case.over:
            self.breaks("lost", now, f"link {session}: a try after its end")
        if case.seen:
            first_at, first_upstream = case.seen[0]
            if case.idempotency is Idempotency.NON_IDEMPOTENT:
                self.breaks(
                    "twice", now, f"link {session}: exclusive, and host {first_upstream} may have run it"
                )
            elif case.idempotency is Idempotency.KEYED and now >= first_at + case.dedup_window_us:
                self.breaks("twice", now, f"link {session}: its group had forgotten its ticket")
        since = self.told_of.get((node, upstream))
        if since is not None and now > since + GRACE_US:
            self.breaks(
                "drain", now, f"node {node}: link {session} to host {upstream}, told {now - since} us before"
            )
        case.out = True
        case.seen.append((now, upstream))

    def ended(self, now: int, session: int, what: Outcome) -> None:
        """What a try has come to."""
        case = self.cases.get(session)
        if case is None:
            return
        case.out = False
        if what in NEVER_SEEN and case.seen:
            case.seen.pop()

    def answered(self, now: int, session: int, shed: bool) -> None:
        """The final answer has reached the client."""
        case = self.cases.get(session)
        if case is None or case.answered or case.over:
            self.breaks("lost", now, f"link {session}: an answer after its end")
            return
        if now > case.deadline + SLACK_US:
            self.breaks("lost", now, f"link {session}: answered {now - case.deadline} us after its cut-off")
        if shed and case.out:
            self.breaks("twice", now, f"link {session}: shed with a try out")
        if shed and case.seen and case.idempotency is Idempotency.NON_IDEMPOTENT:
            self.breaks("twice", now, f"link {session}: shed though it may have run")
        case.answered = True

    def due(self, now: int, session: int) -> None:
        """Its cut-off and the slack are over."""
        case = self.cases.pop(session, None)
        if case is not None and not case.answered and not case.over:
            self.breaks("lost", now, f"link {session}: no answer by its cut-off")

    def over(self, session: int) -> None:
        """Nothing more is owed: its client or its node is gone, or it has had its whole life."""
        case = self.cases.get(session)
        if case is not None:
            case.over = True

    def tipped(self, now: int, upstream: int) -> None:
        self.breaks("cold", now, f"host {upstream}: more than it bears while it warms up")
