"""Handles the datagrams that one node exchanges with the other members. No I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from larchlatch.cluster.exchange.context import ExchangeContext
from larchlatch.cluster.exchange.handlers import MessageHandlers
from larchlatch.cluster.exchange.heartbeat import HeartbeatSender
from larchlatch.cluster.exchange.receiver import DatagramReceiver, SignatureVerifier
from larchlatch.cluster.exchange.results import OutgoingDatagram
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
    """Signs this node's messages; the emulator has an implementation without cryptography."""

    def sign(self, body: bytes) -> bytes:
        """Return the signature of a message's body."""


class Exchange:
    """Handles received datagrams and composes those to send.

    Every record and direct message that is sent is signed by `sign`, which a subclass may override.

    Attributes:
        membership: this node's view of the members.
        state: this node's copy of the state that the members share.

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
        """Create one node's exchange.

        Args:
            membership: this node's view of the members.
            state: this node's copy of the state that the members share.
            sites: site of each member.
            keys: public key of each member.
            signer: signs this node's messages.
            verifier: verifies other nodes' signatures.
            count: adds one to the counter of this name.

        """
        self.membership = membership
        self.state = state
        self._signer = signer
        context = ExchangeContext(membership, state, self.pack, count)
        self._handlers = MessageHandlers.create(context)
        self._receiver = DatagramReceiver(context, self._handlers, keys, verifier)
        self._heartbeats = HeartbeatSender(context, self._handlers, sites, self.sign)

    @property
    def unknown_version(self) -> int | None:
        """Return the first unknown protocol version that was received; None if there was none."""
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
        """Apply a cluster file that was loaded again.

        Members that are no longer in the file are removed, and the state of the others is kept. Quotas and
        roles start over only if the file changes them.

        Args:
            sites: site of each member.
            keys: public key of each member.
            quota_settings: the quotas of the cluster, and how they are divided among the nodes.
            electorate: the electors, and the roles that they elect nodes for.
            heartbeat_us: time between two heartbeats.
            now: monotonic time in microseconds.

        """
        self._heartbeats.sites, self._receiver.keys = sites, keys
        quotas, election = self.state.quotas, self.state.election
        self.membership.heartbeat_us = quotas.heartbeat_us = election.heartbeat_us = heartbeat_us
        self.membership.set_members(sites)
        if quota_settings.digest != quotas.settings.digest:
            quotas.apply_settings(quota_settings, now)
            self.state.quota_usage.set_quotas(quota_settings)
        if electorate.digest != election.electorate.digest:
            self.state.tokens.follow(electorate)
            election.follow(electorate, now)

    def receive(self, data: bytes, *, now: int, wall: int) -> ExchangeResult:
        """Handle one datagram; records and messages that can't be used are dropped and counted by reason.

        Args:
            data: the datagram.
            now: monotonic time in microseconds.
            wall: Unix time in microseconds.

        """
        return self._receiver.receive(data, now=now, wall=wall)

    def heartbeat(self, *, now: int, wall: int) -> HeartbeatResult:
        """Update the state at a heartbeat, and return what the caller has to send, log and pass on.

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
            candidates: warming upstreams that the session may be placed on, each with the hash of its name.
            now: monotonic time in microseconds.
            wall: Unix time in microseconds.

        """
        return self._handlers.tokens.request(now, wall=wall, session=session, candidates=candidates)

    def sign(self, message: NodeRecord | DirectMessage) -> SignedMessage:
        """Encode and sign a message."""
        body = encode_body(message)
        return SignedMessage(body, self._signer.sign(body))

    def pack(self, message: DirectMessage) -> OutgoingDatagram:
        """Return a signed datagram that carries only this message to its recipient."""
        return OutgoingDatagram(message.recipient, encode_datagram([], [self.sign(message)]))
