"""Whether the node serves, drains or stops, and how fast its links leave: no I/O, in seconds handed in."""

from __future__ import annotations

DRAIN_S = 4.0  # after so long no client's connection may be held that was not sent away
CLOSE_S = 1.0  # a client that does not read takes so long to be rid of, a loop that lags included
PASS_S = 1.5  # standing links are handed to the next process within this: each costs both some work
STILL_S = 1.0  # a front still sends new links for a moment after the drain has begun; later ones are shed


class Phase:
    """Asked by PING, by the operators' door, by the stop and by an upgrade."""

    def __init__(self, stop_s: float, passes_through: bool) -> None:
        self.stop_s = stop_s  # all links are to have left so long after the stop began
        self.passes_through = passes_through  # a standing link outlives this node: it need not leave
        self.ready = False
        self.drained_at: float | None = None  # when the drain began that is on
        self.stopped_at: float | None = None
        self.ending = False  # nothing more is taken: whoever comes is turned away at once
        self.ceded = False  # another process of this node takes what is new
        self.looked_at = 0.0  # when links were last asked to leave
        self.share = 0.0  # the part of a link that is due by now

    @property
    def draining(self) -> bool:
        return self.drained_at is not None

    @property
    def welcome(self) -> bool:
        """Whether clients may be sent here."""
        return self.ready and not self.draining

    @property
    def leaving(self) -> bool:
        return self.draining or self.stopped_at is not None

    @property
    def hands_over(self) -> bool:
        """Whether links that leave go to another process of this node, which goes on with them."""
        return self.ceded and self.stopped_at is not None

    def drain(self, now: float) -> None:
        """Send clients away; told twice, the first time counts: the links' time runs from there."""
        if self.drained_at is None:
            self.begin(now)
            self.drained_at = now

    def end_drain(self) -> None:
        self.drained_at = None

    def stop(self, now: float) -> None:
        if self.stopped_at is None:
            self.begin(now)
            self.stopped_at = now

    def begin(self, now: float) -> None:
        if not self.leaving:
            self.looked_at, self.share = now, 0.0

    def ends_in(self, now: float) -> float | None:
        """How long until all that is in hand is to be over; None where no end is in sight."""
        return None if self.stopped_at is None else self.stopped_at + self.stop_s - now

    def turns_away(self, now: float) -> bool:
        """Whether a new link is shed: it would have to leave at once."""
        return self.drained_at is not None and now >= self.drained_at + STILL_S

    def gone_at(self) -> float | None:
        """When the last link is to have left; None where none has to."""
        ends = []
        if self.drained_at is not None:
            ends.append(self.drained_at + DRAIN_S - CLOSE_S)
        if self.stopped_at is not None:
            ends.append(self.stopped_at + self.stop_s)
        if self.hands_over and self.stopped_at is not None:  # a drain goes on over there
            return min([*ends, self.stopped_at + PASS_S])
        return min(ends) if ends and not self.passes_through else None

    def leave(self, now: float, standing: int) -> int:
        """How many of the links that stand are to leave now."""
        end = self.gone_at()
        if end is None:
            return 0
        # All at once they would come back as one crowd at the other nodes: spread evenly, by the time that
        # has really passed, or a loop that lags would hold them all until the end.
        passed, self.looked_at = now - self.looked_at, now
        if now >= end:
            return standing
        self.share += standing * passed / (passed + end - now)
        whole = int(self.share)
        self.share -= whole
        return min(whole, standing)
