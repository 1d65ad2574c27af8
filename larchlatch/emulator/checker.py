"""The four rules, checked from what is seen from outside. It knows nothing of how decisions are made."""

from __future__ import annotations

from dataclasses import dataclass, field

from larchlatch.links import Outcome, Repeat, State

GRACE_US = 500_000  # a node may send to a host so long after it was told not to
SLACK_US = 16_000  # an answer may come so long after the cut-off
MOST_TOLD = 20  # breaks that are told in words; all are counted

# What a try has come to that its host has never seen. Written down here anew: the decisions have a table of
# their own, which must not be what judges them.
NEVER_SEEN = (Outcome.REFUSED, Outcome.UNREACHED, Outcome.UNSENT)


@dataclass(slots=True)
class Case:
    """One link, from its coming to its end."""

    cut_off: int
    repeat: Repeat
    memory_us: int
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

    def came(self, link: int, cut_off: int, repeat: Repeat, memory_us: int) -> None:
        self.cases[link] = Case(cut_off, repeat, memory_us)

    def told(self, now: int, node: int, host: int, state: State) -> None:
        """A node has been told of a host's state."""
        if state is State.READY:
            self.told_of.pop((node, host), None)
        else:
            self.told_of.setdefault((node, host), now)

    def forgot(self, node: int) -> None:
        """A node has died: what it had been told is void."""
        for key in [key for key in self.told_of if key[0] == node]:
            del self.told_of[key]

    def sent(self, now: int, link: int, node: int, host: int) -> None:
        case = self.cases.get(link)
        if case is None:
            self.breaks("lost", now, f"link {link}: a try after its end")
            return
        if case.out:
            self.breaks("twice", now, f"link {link}: two tries out at once")
        if case.answered or case.over:
            self.breaks("lost", now, f"link {link}: a try after its end")
        if case.seen:
            first_at, first_host = case.seen[0]
            if case.repeat is Repeat.EXCLUSIVE:
                self.breaks("twice", now, f"link {link}: exclusive, and host {first_host} may have run it")
            elif case.repeat is Repeat.TICKETED and now >= first_at + case.memory_us:
                self.breaks("twice", now, f"link {link}: its group had forgotten its ticket")
        since = self.told_of.get((node, host))
        if since is not None and now > since + GRACE_US:
            self.breaks(
                "drain", now, f"node {node}: link {link} to host {host}, told {now - since} us before"
            )
        case.out = True
        case.seen.append((now, host))

    def ended(self, now: int, link: int, what: Outcome) -> None:
        """What a try has come to."""
        case = self.cases.get(link)
        if case is None:
            return
        case.out = False
        if what in NEVER_SEEN and case.seen:
            case.seen.pop()

    def answered(self, now: int, link: int, shed: bool) -> None:
        """The final answer has reached the client."""
        case = self.cases.get(link)
        if case is None or case.answered or case.over:
            self.breaks("lost", now, f"link {link}: an answer after its end")
            return
        if now > case.cut_off + SLACK_US:
            self.breaks("lost", now, f"link {link}: answered {now - case.cut_off} us after its cut-off")
        if shed and case.out:
            self.breaks("twice", now, f"link {link}: shed with a try out")
        if shed and case.seen and case.repeat is Repeat.EXCLUSIVE:
            self.breaks("twice", now, f"link {link}: shed though it may have run")
        case.answered = True

    def due(self, now: int, link: int) -> None:
        """Its cut-off and the slack are over."""
        case = self.cases.pop(link, None)
        if case is not None and not case.answered and not case.over:
            self.breaks("lost", now, f"link {link}: no answer by its cut-off")

    def over(self, link: int) -> None:
        """Nothing more is owed: its client or its node is gone, or it has had its whole life."""
        case = self.cases.get(link)
        if case is not None:
            case.over = True

    def tipped(self, now: int, host: int) -> None:
        self.breaks("cold", now, f"host {host}: more than it bears while it warms up")
