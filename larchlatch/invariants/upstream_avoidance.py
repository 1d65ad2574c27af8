"""How long nodes took to find that a host was gone: judged from outside. No I/O."""

from __future__ import annotations

BACK_US = 1_000_000  # a host that came back so lately may still be spoken of as gone


class Avoidance:
    def __init__(self) -> None:
        self.came_back: dict[int, int] = {}
        self.heeded = 0  # how often a node left a host out on others' word
        self.wrong = 0  # and that host was sound
        self.died: dict[int, int] = {}  # hosts that are gone, and since when
        self.said: dict[tuple[int, int], int] = {}  # when each node has found each host gone, since then
        self.since: dict[int, int] = {}  # when a node's process began or went on; not there: it does not run
        self.took_us: list[int] = []
        self.missed = 0  # nodes that never found it, though they ran for long enough

    def runs(self, now: int, node: int, running: bool) -> None:
        if not running:
            self.since.pop(node, None)
        else:
            self.since.setdefault(node, now)

    def gone(self, now: int, upstream: int) -> None:
        self.died.setdefault(upstream, now)

    def back(self, now: int, upstream: int) -> None:
        """It is there again, or the day is over."""
        died = self.died.pop(upstream, None)
        if died is None:
            return
        self.came_back[upstream] = now
        for node, since in self.since.items():
            if since <= died:
                at = self.said.get((node, upstream))
                self.missed += at is None
                if at is not None:
                    self.took_us.append(at - died)
        self.said = {key: at for key, at in self.said.items() if key[1] != upstream}

    def found(self, now: int, node: int, upstream: int) -> None:
        """A node has found that it is gone."""
        if upstream in self.died:
            self.said.setdefault((node, upstream), now)

    def left_out(self, now: int, upstream: int, reached: bool = True) -> None:
        """A node leaves a host out on others' word; reached: whether it could have been, were it there."""
        self.heeded += 1
        lately = self.came_back.get(upstream, -BACK_US) + BACK_US > now
        self.wrong += reached and upstream not in self.died and not lately

    def row(self, now: int) -> dict[str, float | int | None]:
        """The longest that a node took that ran all the time; how many never found it."""
        for upstream in list(self.died):
            self.back(now, upstream)
        return {
            "avoided_s": max(self.took_us, default=0) / 1e6,
            "avoided_not": self.missed,
            "hearsay": self.heeded,
            "hearsay_wrong": self.wrong,
        }
