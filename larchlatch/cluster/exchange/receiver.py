"""Checks received datagrams, and dispatches their records and messages."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from larchlatch.cluster.counters import ClusterCounter, drop_counter
from larchlatch.cluster.exchange.results import ExchangeResult
from larchlatch.cluster.membership.membership import RecordNovelty
from larchlatch.cluster.protocol.codec import decode_datagram, decode_message, decode_record
from larchlatch.cluster.protocol.messages import (
    BallotRequest,
    DirectMessage,
    DropReason,
    LoanGrant,
    LoanRequest,
    NodeRecord,
    Request,
    SignedMessage,
    TokenGrant,
    TokenRequest,
    Vote,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from larchlatch.cluster.exchange.context import ExchangeContext
    from larchlatch.cluster.exchange.handlers import MessageHandlers


class SignatureVerifier(Protocol):
    """Verifies signatures; the emulator has an implementation without cryptography."""

    def verify(self, key: bytes, body: bytes, signature: bytes) -> bool:
        """Return whether the signature was made by the owner of this key for this body."""


class DatagramReceiver:
    """Checks what other nodes send, with the cheap checks first, and dispatches what passes them.

    Attributes:
        keys: public key of each member.
        unknown_version: the first unknown protocol version that was received; None if there was none.

    """

    def __init__(
        self,
        context: ExchangeContext,
        handlers: MessageHandlers,
        keys: Mapping[str, bytes],
        verifier: SignatureVerifier,
    ) -> None:
        self.keys = keys
        self.unknown_version: int | None = None
        self._membership = context.membership
        self._state = context.state
        self._handlers = handlers
        self._verifier = verifier
        self._count = context.count

    def receive(self, data: bytes, *, now: int, wall: int) -> ExchangeResult:
        """Handle one datagram; records and messages that can't be used are dropped and counted by reason.

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
        """Handle one record; return False if the rest of the datagram is to be ignored."""
        record = decode_record(signed.body)
        if record is None:
            self._count_drop(DropReason.MALFORMED)
            return False
        novelty = self._membership.classify(record, wall)
        if isinstance(novelty, DropReason):
            self._count_drop(novelty)
            return True
        if novelty is RecordNovelty.KNOWN:
            self._count(ClusterCounter.RECORDS_KNOWN)
            if direct:
                self._membership.receive_again(record.name, signed)
            return True
        if not self._is_signed_by(record.name, signed):
            # The sender is no member or is faulty: verifying the rest of its datagram would waste CPU time.
            self._count_drop(DropReason.INVALID_SIGNATURE)
            return False
        self._accept_record(record, signed, direct=direct, result=result)
        return True

    def _accept_record(
        self, record: NodeRecord, signed: SignedMessage, *, direct: bool, result: ExchangeResult
    ) -> None:
        self._count(ClusterCounter.RECORDS_ACCEPTED)
        self._state.quota_usage.receive(record)
        change = self._membership.receive(record, signed, direct=direct)
        if change is not None:
            result.changes.append(change)

    def _receive_message(self, signed: SignedMessage, *, now: int, wall: int, result: ExchangeResult) -> bool:
        """Handle one direct message; return False if the rest of the datagram is to be ignored."""
        message = decode_message(signed.body)
        if message is None:
            self._count_drop(DropReason.MALFORMED)
            return False
        reason = self._drop_reason(message, wall)
        if reason is not None:
            self._count_drop(reason)
            return True
        if not self._is_expected(message):
            self._count(ClusterCounter.MESSAGES_UNEXPECTED)
            return True
        if not self._is_signed_by(message.sender, signed):
            self._count_drop(DropReason.INVALID_SIGNATURE)
            return False
        self._dispatch(message, now=now, wall=wall, result=result)
        return True

    def _drop_reason(self, message: DirectMessage, wall: int) -> DropReason | None:
        """Return why this node has to drop a message; None if it may accept the message."""
        if message.sender not in self._membership.members:
            return DropReason.UNKNOWN_MEMBER
        if message.recipient != self._membership.own_name:
            return DropReason.WRONG_RECIPIENT
        if isinstance(message, Request):
            return self._membership.check_time(message.created_us, wall_us=wall)
        return None  # a response has no creation time; `_is_expected` compares it with the pending requests

    def _is_expected(self, message: DirectMessage) -> bool:
        """Return whether this node could use a message; if not, its signature need not be verified."""
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
        """Pass a message with a valid signature to its handler."""
        match message:
            case LoanRequest():
                self._handlers.loans.handle_request(message, now, result)
            case LoanGrant():
                self._handlers.loans.handle_grant(message, now, result)
            case TokenRequest():
                self._handlers.tokens.handle_request(message, now, result)
            case TokenGrant():
                self._handlers.tokens.handle_grant(message, now, result)
            case BallotRequest():
                self._handlers.ballots.handle_request(message, now, result)
            case Vote():
                self._handlers.ballots.handle_vote(message, now=now, wall=wall, result=result)

    def _is_signed_by(self, name: str, signed: SignedMessage) -> bool:
        return self._verifier.verify(self.keys[name], signed.body, signed.signature)

    def _count_drop(self, reason: DropReason) -> None:
        self._count(drop_counter(reason))
