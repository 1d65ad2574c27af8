"""Handles the ballot requests and votes that nodes send to each other."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from larchlatch.cluster.exchange.context import ExchangeContext
    from larchlatch.cluster.exchange.results import ExchangeResult
    from larchlatch.cluster.protocol.messages import BallotRequest, Vote


class BallotExchange:
    """Answers the ballot requests of other nodes, and counts the votes on this node's own ballots."""

    def __init__(self, context: ExchangeContext) -> None:
        self._election = context.state.election
        self._pack = context.pack

    def handle_request(self, request: BallotRequest, now: int, result: ExchangeResult) -> None:
        """Answer a candidate's ballot request with a vote, if this node is an elector and may vote now."""
        vote = self._election.answer_ballot(now, request)
        if vote is not None:
            result.datagrams.append(self._pack(vote))

    def handle_vote(self, vote: Vote, *, now: int, wall: int, result: ExchangeResult) -> None:
        """Count a vote, and add the ballot requests that follow from it to the datagrams to send."""
        result.datagrams += map(self._pack, self._election.count_vote(now, vote, wall=wall))
