"""Ballot requests and votes, as nodes send them to each other."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from larchlatch.cluster.exchange.context import ExchangeContext
    from larchlatch.cluster.exchange.results import ExchangeResult
    from larchlatch.cluster.protocol.messages import BallotRequest, Vote


class BallotExchange:
    """Answer the ballot requests of other nodes, and count the votes on this node's own."""

    def __init__(self, context: ExchangeContext) -> None:
        self._election = context.state.election
        self._pack = context.pack

    def handle_request(self, request: BallotRequest, now: int, result: ExchangeResult) -> None:
        """Vote on a candidate's ballot, if this node is an elector and may answer now."""
        vote = self._election.answer_ballot(now, request)
        if vote is not None:
            result.datagrams.append(self._pack(vote))

    def handle_vote(self, vote: Vote, *, now: int, wall: int, result: ExchangeResult) -> None:
        """Count a vote, and send the ballot requests that follow from it."""
        result.datagrams += map(self._pack, self._election.count_vote(now, wall, vote))
