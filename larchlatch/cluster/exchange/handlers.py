"""The parts of an exchange that handle direct messages, one part for each subject."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from larchlatch.cluster.exchange.ballots import BallotExchange
from larchlatch.cluster.exchange.loans import LoanExchange
from larchlatch.cluster.exchange.tokens import TokenExchange

if TYPE_CHECKING:
    from larchlatch.cluster.exchange.context import ExchangeContext


class MessageHandlers(NamedTuple):
    """What handles direct messages.

    Attributes:
        loans: requests and grants of quota loans.
        tokens: requests and grants of slow-start tokens.
        ballots: ballot requests and votes.

    """

    loans: LoanExchange
    tokens: TokenExchange
    ballots: BallotExchange

    @classmethod
    def create(cls, context: ExchangeContext) -> MessageHandlers:
        """Return the handlers of one node."""
        return cls(LoanExchange(context), TokenExchange(context), BallotExchange(context))
