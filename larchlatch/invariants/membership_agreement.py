"""Who could hear of whom, and what each node took the others for: judged from outside. No I/O.

It knows nothing of how nodes decide. News is passed on: a node can hear of another wherever a way leads from
that one to it over nodes that run.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

SETTLED_US = 5_000_000  # who could be heard of for so long and is taken for silent is taken so wrongly


class Agreement:
    def __init__(self, count: int, now: int) -> None:
        self.count = count
        self.running = [False] * count
        self.views = [[False] * count for _ in range(count)]  # whom each takes for present
        self.truth = [[False] * count for _ in range(count)]
        self.since = [[now] * count for _ in range(count)]  # when that truth began
        self.apart = 0  # pairs in which view and truth differ
        self.changed_at = now
        self.took_us: list[int] = []  # from each change of the truth until all views were right
        self.wrong = 0
        self.pending = False

    # What is so.

    def is_so(self, now: int, running: Iterable[bool], stops: Callable[[int, int], bool]) -> None:
        """Which nodes run, and between which of them nothing goes directly."""
        self.running = list(running)
        reached = self.reached(stops)
        for one in range(self.count):
            truth, since, row = self.truth[one], self.since[one], reached[one]
            for other in range(self.count):
                if truth[other] is not (other in row):
                    truth[other], since[other] = other in row, now
        self.changed_at, self.pending = now, True
        self.apart = sum(self.views[one][other] is not self.truth[one][other] for one, other in self.pairs())
        self.look(now)

    def pairs(self) -> Iterable[tuple[int, int]]:
        """Each node that runs, and each other node."""
        for one in range(self.count):
            if self.running[one]:
                yield from ((one, other) for other in range(self.count) if other != one)

    def reached(self, stops: Callable[[int, int], bool]) -> list[set[int]]:
        """Of whom each node can hear, by whatever way."""
        # Nodes that are cut alike are one: days have a few parts, and a thousand nodes.
        kinds: dict[tuple[bool, ...], list[int]] = {}
        runs = [node for node in range(self.count) if self.running[node]]
        for node in runs:
            alike = tuple(stops(node, k) for k in runs) + tuple(stops(k, node) for k in runs)
            kinds.setdefault(alike, []).append(node)
        groups = list(kinds.values())
        hears: list[set[int]] = []
        for place in range(len(groups)):
            found, ahead = {place}, [place]
            while ahead:
                at = ahead.pop()
                for other, members in enumerate(groups):
                    if other not in found and not stops(members[0], groups[at][0]):
                        found.add(other)
                        ahead.append(other)
            hears.append(found)
        reached: list[set[int]] = [set() for _ in range(self.count)]
        for place, members in enumerate(groups):
            whole = {node for other in hears[place] for node in groups[other]}
            for node in members:
                reached[node] = whole - {node}
        return reached

    # What nodes say.

    def began(self, now: int, node: int) -> None:
        """A node has started, and knows of nobody."""
        self.views[node] = [False] * self.count

    def said(self, now: int, node: int, other: int, present: bool) -> None:
        """A node takes another for present, or no longer."""
        if self.views[node][other] is present:
            return
        self.views[node][other] = present
        truth, since = self.truth[node][other], self.since[node][other]
        if not present and truth and now >= since + SETTLED_US:
            self.wrong += 1
        if self.running[node]:
            self.apart += 1 if present is not truth else -1
        self.look(now)

    def look(self, now: int) -> None:
        if self.pending and not self.apart:
            self.pending = False
            self.took_us.append(now - self.changed_at)

    def row(self) -> dict[str, float | int | None]:
        """The longest that it took to agree, None where they did not at the end, and wrong verdicts."""
        agreed = None if self.pending else max(self.took_us, default=0) / 1e6
        return {
            "agreed_s": agreed,
            "agreed_start_s": self.took_us[0] / 1e6 if self.took_us else None,
            "agreed_later_s": max(self.took_us[1:], default=0) / 1e6 if not self.pending else None,
            "pairs_apart": self.apart,
            "members_wrong": self.wrong,
        }
