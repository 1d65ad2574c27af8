"""One node's part as an elector of all roles."""

from __future__ import annotations

from typing import TYPE_CHECKING

from larchlatch.cluster.election.elector import Elector
from larchlatch.cluster.protocol.messages import Promise

if TYPE_CHECKING:
    from larchlatch.cluster.election.ballots import Answer, Ballot, CandidateId
    from larchlatch.cluster.election.electorate import Electorate


class ElectorSide:
    """The electors of one node: one for each role, or none if the node is no elector by the cluster file.

    Attributes:
        electorate: roles, electors and lease terms of the present cluster file.
        electors: this node's elector of each role.
        silent_until: end of the promises under former cluster files, before which no ballot is answered.

    """

    def __init__(self, own_name: str, electorate: Electorate, now: int) -> None:
        self.electorate = electorate
        self.silent_until = 0
        self._own_name = own_name
        self._last_with_electors = electorate
        # By the files that were read since this process took over the node's part, or since its start.
        self._longest_promise_us = electorate.lease_terms.promise_us
        self.electors = self._started_electors(now)

    def _started_electors(self, now: int) -> dict[str, Elector]:
        roles = self.electorate.roles if self._own_name in self.electorate.electors else ()
        electors = {role: Elector.started(self.electorate.lease_terms, now) for role in roles}
        for elector in electors.values():
            elector.opens_at = max(elector.opens_at, self.silent_until)
        return electors

    def open(self, now: int) -> None:
        """Start over when this process takes over the node's part in elections from another process.

        The promises of the other process are unknown. It may have made them until now, and under a file that
        this process has replaced since its start.
        """
        self.silent_until = max(self.silent_until, now + self._longest_promise_us)
        self._longest_promise_us = self.electorate.lease_terms.promise_us
        self.electors = self._started_electors(now)

    def follow(self, electorate: Electorate, now: int) -> None:
        """Start over with the electorate of a changed cluster file, after all promises under former files.

        The holder of such a promise may not have read the new file, and goes on using its lease, whose length
        may be another one. The lease ends before the promise does, whatever the new file says. If an elector
        is replaced, its promises, which are unknown here, may be the ones that matter.
        """
        former = self.electors
        ends = [elector.promises_end_at for elector in former.values()]
        if set(electorate.electors) != set(self._last_with_electors.electors):
            ends.append(now + self._last_with_electors.lease_terms.promise_us)
        self.silent_until = max([self.silent_until, *ends])
        self.electorate = electorate
        if electorate.electors:
            self._last_with_electors = electorate
        self._longest_promise_us = max(self._longest_promise_us, electorate.lease_terms.promise_us)
        self.electors = self._started_electors(now)
        for role, elector in self.electors.items():
            if role in former:
                elector.highest_lease = former[role].highest_lease

    def answer(self, now: int, role: str, candidate: CandidateId, ballot: Ballot) -> Answer | None:
        """Return the answer to a ballot for a role; None if this node is no elector or gives no answer."""
        elector = self.electors.get(role)
        return elector.answer(now, candidate, ballot) if elector is not None else None

    def promises(self, now: int) -> list[Promise]:
        """Return the promises of all roles that have not ended, for the node's record."""
        promises = []
        for index, role in enumerate(self.electorate.roles):
            elector = self.electors.get(role)
            promise = elector.promise if elector is not None else None
            if promise is None or now >= promise.ends_at:
                continue
            if promise.holder.name in self.electorate.names:
                holder_index = self.electorate.names.index(promise.holder.name)
                promises.append(Promise(index, promise.lease, holder_index, promise.ends_at - now))
        return promises
