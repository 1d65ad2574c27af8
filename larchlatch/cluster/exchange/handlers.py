"""Groups the handlers of direct messages, one for each pair of request and response."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from larchlatch.cluster.exchange.ballots import BallotExchange
from larchlatch.cluster.exchange.loans import LoanExchange
from larchlatch.cluster.exchange.tokens import TokenExchange

if TYPE_CHECKING:
    from larchlatch.cluster.exchange.context import ExchangeContext


class MessageHandlers(NamedTuple):
    """The handlers of direct messages.

    Attributes:
        loans: handles requests and grants of quota loans.
        tokens: handles requests and grants of slow-start tokens.
        ballots: handles ballot requests and votes.

    """

    loans: LoanExchange
    tokens: TokenExchange
    ballots: BallotExchange

    @classmethod
    def create(cls, context: ExchangeContext) -> MessageHandlers:
        """Return the handlers of one node."""
        return cls(LoanExchange(context), TokenExchange(context), BallotExchange(context))
