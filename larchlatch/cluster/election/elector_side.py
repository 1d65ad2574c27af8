"""One node's part as an elector of all roles."""

from __future__ import annotations

from typing import TYPE_CHECKING

from larchlatch.cluster.election.elector import Elector
from larchlatch.cluster.protocol.messages import Promise

if TYPE_CHECKING:
    from larchlatch.cluster.election.ballots import Answer, Ballot, CandidateId
    from larchlatch.cluster.election.electorate import Electorate


class ElectorSide:
    """The electors of one node: one for each role, or none if the node is no elector by the cluster file."""

    def __init__(self, own_name: str, electorate: Electorate, now: int) -> None:
        self.electorate = electorate
        roles = electorate.roles if own_name in electorate.electors else ()
        self.electors = {role: Elector.started(electorate.lease_terms, now) for role in roles}

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
