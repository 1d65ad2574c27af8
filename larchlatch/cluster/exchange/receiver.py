"""The receiving side: check datagrams and hand their messages to the parts that they are for."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from larchlatch.cluster import counters
from larchlatch.cluster.exchange.results import ExchangeResult, OutgoingDatagram
from larchlatch.cluster.membership.membership import RecordNovelty
from larchlatch.cluster.protocol.codec import decode_datagram, decode_message, decode_record
from larchlatch.cluster.protocol.messages import (
    BallotRequest,
    DirectMessage,
    DropReason,
    LoanGrant,
    LoanRequest,
    NodeRecord,
    SignedMessage,
    TokenGrant,
    TokenRequest,
    Vote,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from larchlatch.cluster.exchange.loans import LoanExchange
    from larchlatch.cluster.exchange.state import SharedState
    from larchlatch.cluster.exchange.tokens import TokenExchange
    from larchlatch.cluster.membership.membership import Membership


class SignatureVerifier(Protocol):
    """What verifies signatures; the emulator has one that costs nothing."""

    def verify(self, key: bytes, body: bytes, signature: bytes) -> bool:
        """Return whether the signature was made by the owner of this key for this body."""


class DatagramReceiver:
    """Check what comes from other nodes, cheap checks first, and act on it.

    Attributes:
        keys: public key of each member.
        unknown_version: the first protocol version met that this node does not speak.

    """

    def __init__(
        self,
        membership: Membership,
        state: SharedState,
        keys: Mapping[str, bytes],
        verifier: SignatureVerifier,
        loans: LoanExchange,
        tokens: TokenExchange,
        pack: Callable[[DirectMessage], OutgoingDatagram],
        count: Callable[[str], None],
    ) -> None:
        self.keys = keys
        self.unknown_version: int | None = None
        self._membership = membership
        self._state = state
        self._verifier = verifier
        self._loans = loans
        self._tokens = tokens
        self._pack = pack
        self._count = count

    def receive(self, data: bytes, *, now: int, wall: int) -> ExchangeResult:
        """Handle one datagram; what can't be used is dropped and counted by its reason.

        Args:
            data: the datagram.
            now: monotonic time in microseconds.
            wall: Unix time in microseconds.

        """
        result = ExchangeResult()
        datagram = decode_datagram(data)
        if isinstance(datagram, DropReason):
            self._count_drop(datagram)
            if datagram is DropReason.UNKNOWN_VERSION and self.unknown_version is None:
                self.unknown_version = data[0]
            return result
        for index, signed in enumerate(datagram.records):
            if not self._receive_record(signed, wall=wall, direct=index == 0, result=result):
                return result
        for signed in datagram.messages:
            if not self._receive_message(signed, now=now, wall=wall, result=result):
                break
        return result

    def _receive_record(
        self, signed: SignedMessage, *, wall: int, direct: bool, result: ExchangeResult
    ) -> bool:
        """Handle one record; return False where the rest of the datagram is not worth a check."""
        record = decode_record(signed.body)
        if record is None:
            self._count_drop(DropReason.MALFORMED)
            return False
        news = self._membership.classify(record, wall)
        if isinstance(news, DropReason):
            self._count_drop(news)
            return True
        if news is RecordNovelty.KNOWN:
            self._count(counters.RECORDS_KNOWN)
            if direct:
                self._membership.receive_again(record.name, signed)
            return True
        if not self._is_signed_by(record.name, signed):
            # The sender is no member, or is broken: its other messages are not worth the cost of a check.
            self._count_drop(DropReason.INVALID_SIGNATURE)
            return False
        self._accept_record(record, signed, direct=direct, result=result)
        return True

    def _accept_record(
        self, record: NodeRecord, signed: SignedMessage, *, direct: bool, result: ExchangeResult
    ) -> None:
        self._count(counters.RECORDS_ACCEPTED)
        self._state.quota_usage.receive(record)
        change = self._membership.receive(record, signed, direct=direct)
        if change is not None:
            result.changes.append(change)

    def _receive_message(self, signed: SignedMessage, *, now: int, wall: int, result: ExchangeResult) -> bool:
        """Handle one direct message; return False where the rest of the datagram is not worth a check."""
        message = decode_message(signed.body)
        if message is None:
            self._count_drop(DropReason.MALFORMED)
            return False
        reason = self._drop_reason(message, wall)
        if reason is not None:
            self._count_drop(reason)
            return True
        if not self._is_expected(message):
            self._count(counters.MESSAGES_UNEXPECTED)
            return True
        if not self._is_signed_by(message.sender, signed):
            self._count_drop(DropReason.INVALID_SIGNATURE)
            return False
        self._dispatch(message, now=now, wall=wall, result=result)
        return True

    def _drop_reason(self, message: DirectMessage, wall: int) -> DropReason | None:
        """Return why a message can't be for this node now; None where it may be."""
        if message.sender not in self._membership.members:
            return DropReason.UNKNOWN_MEMBER
        if message.recipient != self._membership.own_name:
            return DropReason.WRONG_RECIPIENT
        if isinstance(message, LoanRequest | BallotRequest | TokenRequest):
            return self._membership.check_time(message.created_us, wall)
        return None  # an answer carries no time: it is expected by its request, or not at all

    def _is_expected(self, message: DirectMessage) -> bool:
        """Return whether a message that can't be trusted yet is worth a check of its signature."""
        match message:
            case Vote():
                return self._state.election.expects_vote(message)
            case TokenRequest():
                return self._state.tokens.issuer.is_new(message)
            case TokenGrant():
                return self._state.tokens.requester.expects(message)
            case BallotRequest():
                return True
            case LoanRequest() | LoanGrant():
                return self._state.quotas.expects(message)

    def _dispatch(self, message: DirectMessage, *, now: int, wall: int, result: ExchangeResult) -> None:
        """Hand a message that is genuine to the part that it is for."""
        match message:
            case LoanRequest():
                self._loans.handle_request(message, now, result)
            case LoanGrant():
                self._loans.handle_grant(message, now, result)
            case TokenRequest():
                self._tokens.handle_request(message, now, result)
            case TokenGrant():
                self._tokens.handle_grant(message, now, result)
            case BallotRequest():
                self._handle_ballot(message, now, result)
            case Vote():
                self._handle_vote(message, now=now, wall=wall, result=result)

    def _handle_ballot(self, ballot: BallotRequest, now: int, result: ExchangeResult) -> None:
        vote = self._state.election.answer_bid(now, ballot)
        if vote is not None:
            result.datagrams.append(self._pack(vote))

    def _handle_vote(self, vote: Vote, *, now: int, wall: int, result: ExchangeResult) -> None:
        result.datagrams += map(self._pack, self._state.election.count_vote(now, wall, vote))

    def _is_signed_by(self, name: str, signed: SignedMessage) -> bool:
        return self._verifier.verify(self.keys[name], signed.body, signed.signature)

    def _count_drop(self, reason: DropReason) -> None:
        self._count(counters.DROPPED + reason.value)
