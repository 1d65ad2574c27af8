"""What nodes are made to do that no sound one does: wrong clocks, and lies. The same for both players."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import msgspec

from larchlatch.cluster.exchange import Beat, Exchange
from larchlatch.cluster.protocol.datagrams import Finding, Note, Record, Signed, Standing, datagram_of

ORDERS = "LARCHLATCH_PUPPET"  # the variable that names a puppet's orders, a file
FAR = 1_000_000  # links a window that a liar claims to have, or wants


class Drift:
    """A clock that may gain or lose; it never jumps."""

    def __init__(self, real: int) -> None:
        self.real = self.shown = real
        self.share = 0.0

    def at(self, real: int) -> int:
        return self.shown + int((real - self.real) * (1 + self.share))

    def run(self, real: int, share: float) -> None:
        """From now on it gains that share."""
        self.shown, self.real, self.share = self.at(real), real, share


class Lying(Exchange):
    """An exchange that can be made to tell what is not so."""

    about = ""
    upstreams: Sequence[int] = ()  # hashes of all hosts' names

    def signed(self, told: Record | Note) -> Signed:
        if isinstance(told, Record) and told.name == self.members.me:
            if self.about == "hosts":
                told = msgspec.structs.replace(
                    told, findings=[Finding(upstream, 9, 0) for upstream in self.upstreams]
                )
            if self.about == "budget":
                shares = [Standing(share.spent, FAR) for share in told.shares]
                told = msgspec.structs.replace(told, shares=shares)
        return super().signed(told)

    def beat(self, now: int, wall: int) -> Beat:
        beat = super().beat(now, wall)
        if self.about == "counts":
            beat.datagrams.extend(self.false_records(now, wall))
        if self.about == "budget":
            beat.datagrams.extend(self.greedy_asks(now, wall))
        return beat

    def false_records(self, now: int, wall: int) -> Iterable[tuple[str, bytes]]:
        """Others' records, newer than their own, with nothing spent and all to lend."""
        for record in self.members.there.values():
            shares = [Standing(0, FAR) for _ in record.shares]
            false = msgspec.structs.replace(
                record, number=record.number + 1000, made_us=wall, shares=shares, findings=[]
            )
            for other in self.members.members:
                yield other, datagram_of([self.signed(false)])

    def greedy_asks(self, now: int, wall: int) -> Iterable[tuple[str, bytes]]:
        """All that there is, of all budgets, from everybody."""
        for limit in self.budgets.settings.quotas:
            for other in self.members.members:
                ask = self.budgets.request_loan(
                    now, wall, self.members.incarnation, lender=other, quota=limit.name, amount=FAR
                )
                yield other, self.letter(ask)
