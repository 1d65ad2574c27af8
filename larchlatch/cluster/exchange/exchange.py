"""One node's exchange of datagrams with the other members; what does the I/O calls it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from larchlatch.cluster.exchange.heartbeat import HeartbeatSender
from larchlatch.cluster.exchange.loans import LoanExchange
from larchlatch.cluster.exchange.receiver import DatagramReceiver, SignatureVerifier
from larchlatch.cluster.exchange.results import OutgoingDatagram
from larchlatch.cluster.exchange.tokens import TokenExchange
from larchlatch.cluster.protocol.codec import encode_body, encode_datagram
from larchlatch.cluster.protocol.messages import DirectMessage, NodeRecord, SignedMessage

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from larchlatch.cluster.election.electorate import Electorate
    from larchlatch.cluster.exchange.results import ExchangeResult, HeartbeatResult
    from larchlatch.cluster.exchange.state import SharedState
    from larchlatch.cluster.membership.membership import Membership
    from larchlatch.cluster.quota.settings import QuotaSettings
    from larchlatch.policy.types import TokenCandidate


class MessageSigner(Protocol):
    """What signs this node's messages; the emulator has one that costs nothing."""

    def sign(self, body: bytes) -> bytes:
        """Return the signature of a message's body."""


class Exchange:
    """Receive datagrams and compose those to send.

    All that is sent is signed by `sign`, also in the parts: a subclass may override it.

    Attributes:
        membership: the members, as this node knows them.
        state: what the members share.

    """

    def __init__(
        self,
        membership: Membership,
        state: SharedState,
        sites: Mapping[str, str],
        keys: Mapping[str, bytes],
        signer: MessageSigner,
        verifier: SignatureVerifier,
        count: Callable[[str], None],
    ) -> None:
        """Wire up one node's exchange.

        Args:
            membership: the members, as this node knows them.
            state: what the members share.
            sites: site of each member.
            keys: public key of each member.
            signer: signs this node's messages.
            verifier: verifies other nodes' signatures.
            count: adds one to the counter of this name.

        """
        self.membership = membership
        self.state = state
        self._signer = signer
        self._loans = LoanExchange(membership, state, self.pack, count)
        self._tokens = TokenExchange(membership, state, self.pack, count)
        self._receiver = DatagramReceiver(
            membership, state, keys, verifier, self._loans, self._tokens, self.pack, count
        )
        self._heartbeats = HeartbeatSender(
            membership, state, sites, self._loans, self._tokens, self.sign, self.pack
        )

    @property
    def unknown_version(self) -> int | None:
        """Return the first protocol version met that this node does not speak."""
        return self._receiver.unknown_version

    def apply_configuration(
        self,
        sites: Mapping[str, str],
        keys: Mapping[str, bytes],
        quota_settings: QuotaSettings,
        electorate: Electorate,
        *,
        heartbeat_us: int,
        now: int,
    ) -> None:
        """Go by a new cluster file: members that it lacks are forgotten, those that stay are kept."""
        self._heartbeats.sites, self._receiver.keys = sites, keys
        quotas, election, tokens = self.state.quotas, self.state.election, self.state.tokens
        self.membership.heartbeat_us = quotas.heartbeat_us = election.heartbeat_us = heartbeat_us
        self.membership.set_members(sites)
        if quota_settings.digest != quotas.settings.digest:
            quotas.follow(quota_settings, now)
            self.state.quota_usage.set_quotas(quota_settings)
        if electorate.digest != tokens.digest:
            tokens.follow(electorate)
        election.follow(electorate, now)

    def receive(self, data: bytes, *, now: int, wall: int) -> ExchangeResult:
        """Handle one datagram; what can't be used is dropped and counted by its reason.

        Args:
            data: the datagram.
            now: monotonic time in microseconds.
            wall: Unix time in microseconds.

        """
        return self._receiver.receive(data, now=now, wall=wall)

    def heartbeat(self, *, now: int, wall: int) -> HeartbeatResult:
        """Do what falls due with one heartbeat.

        Args:
            now: monotonic time in microseconds.
            wall: Unix time in microseconds.

        """
        return self._heartbeats.heartbeat(now=now, wall=wall)

    def request_token(
        self, session: int, candidates: list[tuple[int, TokenCandidate]], *, now: int, wall: int
    ) -> ExchangeResult:
        """Request a slow-start token for one session.

        Args:
            session: the session's number.
            candidates: warming upstreams that it may go to, each with the hash of its name.
            now: monotonic time in microseconds.
            wall: Unix time in microseconds.

        """
        return self._tokens.request(now, wall=wall, session=session, candidates=candidates)

    def sign(self, message: NodeRecord | DirectMessage) -> SignedMessage:
        """Encode and sign a message."""
        body = encode_body(message)
        return SignedMessage(body, self._signer.sign(body))

    def pack(self, message: DirectMessage) -> OutgoingDatagram:
        """Return the datagram that brings this message alone to its recipient."""
        return OutgoingDatagram(message.recipient, encode_datagram([], [self.sign(message)]))
