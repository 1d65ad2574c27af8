"""Defines the messages between nodes.

Each type is encoded as a msgpack array. The order of its fields, inherited ones first, and its tag are part
of the protocol and don't change within one protocol version. Names of types and fields are not sent. Times in
`*_us` are whole microseconds. Each `*_index` counts from 0. No number is negative.
"""

from __future__ import annotations

from enum import Enum
from typing import Annotated

import msgspec

MAX_VALUE = 2**62  # exclusive bound of numbers in messages: the sum of two fits into 64 bits

# The decoder rejects a message with a value outside these bounds. A member's message may have any value: its
# signature proves who sent it, not that it is sound.
Number = Annotated[int, msgspec.Meta(ge=0, lt=MAX_VALUE)]
Hash = Annotated[int, msgspec.Meta(ge=0)]  # of 64 bits


class QuotaReport(msgspec.Struct, array_like=True, frozen=True):
    """A node's report on one quota, as part of its record.

    Attributes:
        spent: sessions admitted since the node started.
        spare: sessions per quota window that the node could lend.

    """

    spent: Number
    spare: Number


class HealthObservation(msgspec.Struct, array_like=True, frozen=True):
    """A node's report on an upstream: its last attempts to connect to the upstream have failed.

    Attributes:
        upstream: hash of the upstream's name.
        failures: number of failed attempts and probes in a row.
        age_us: age of the last of these failures when the record was created.

    """

    upstream: Hash
    failures: Number
    age_us: Number


class Suspicion(msgspec.Struct, array_like=True, frozen=True):
    """A watcher's report on a member from which it no longer receives datagrams directly.

    Attributes:
        member_index: the member's index in the sorted names of all members.
        incarnation: incarnation of the member's newest record that the watcher has received.
        sequence: sequence number of that record.

    """

    member_index: Number
    incarnation: Number
    sequence: Number


class Promise(msgspec.Struct, array_like=True, frozen=True):
    """An elector's promise of a role to a candidate, as part of the elector's record.

    Attributes:
        role_index: the role's index among the roles of the cluster file.
        lease: fencing token of the lease.
        holder_index: index of the node to which the role is promised, in the sorted names of all members.
        remaining_us: remaining time of the promise when the record was created.

    """

    role_index: Number
    lease: Number
    holder_index: Number
    remaining_us: Number


class NodeRecord(msgspec.Struct, array_like=True, frozen=True):
    """A node's report on itself, which it signs; other nodes forward it unchanged.

    Attributes:
        name: the node's name.
        incarnation: Unix time of the node's start; greater if an earlier start used a greater incarnation.
        sequence: number of the record; it increases within an incarnation.
        created_us: Unix time at which the record was created.
        shutting_down: whether the node is leaving the cluster.
        direct_contacts: one bit for each member, in the order of their names: whether this node received a
            datagram from that member itself within the last rounds. In a large cluster there are bits only
            for the members that this node watches.
        config_digest: digest of the quota settings in the node's cluster file; 0: it has no such file.
        quota_reports: a report on each quota, in the order of the cluster file.
        health_observations: reports on upstreams that the node can't reach.
        suspicions: reports on members that the node watches and from which it no longer receives datagrams.
        promises: promises that the node has made as an elector.

    """

    name: str
    incarnation: Number
    sequence: Number
    created_us: Number
    shutting_down: bool
    direct_contacts: bytes
    config_digest: Number = 0
    quota_reports: list[QuotaReport] = []
    health_observations: list[HealthObservation] = []
    suspicions: list[Suspicion] = []
    promises: list[Promise] = []

    @property
    def version(self) -> tuple[int, int]:
        """Return the version of the record; among records of one node the newest has the greatest."""
        return self.incarnation, self.sequence


class SignedMessage(msgspec.Struct, array_like=True, frozen=True):
    """An encoded record or direct message with its sender's signature."""

    body: bytes
    signature: bytes


class Request(msgspec.Struct, array_like=True, frozen=True):
    """The leading fields of each request to another node.

    Attributes:
        sender: name of the node that sends the request.
        incarnation: the sender's incarnation.
        request_id: number of the request; it increases within an incarnation.
        created_us: Unix time at which the request was created.
        recipient: name of the node that the request is sent to.
        config_digest: digest of the sender's settings for this kind of request.

    """

    sender: str
    incarnation: Number
    request_id: Number
    created_us: Number
    recipient: str
    config_digest: Number


class Response(msgspec.Struct, array_like=True, frozen=True):
    """The leading fields of each response to a request.

    Attributes:
        sender: name of the node that responds.
        recipient: name of the node that sent the request.
        incarnation: the recipient's incarnation, copied from the request.
        request_id: number of the request, copied from it.

    """

    sender: str
    recipient: str
    incarnation: Number
    request_id: Number


class LoanRequest(Request, array_like=True, frozen=True, tag=0):
    """A request to borrow a part of a quota; `config_digest` is that of the sender's quota settings.

    Attributes:
        quota: the quota's name.
        amount: sessions per quota window.
        renews: number of the request by which the loan to be renewed was first made; 0: the loan is new.

    """

    quota: str
    amount: Number
    renews: Number


class LoanGrant(Response, array_like=True, frozen=True, tag=1):
    """A lender's response that grants a loan; a declined request gets no response.

    Attributes:
        quota: the quota's name.
        amount: sessions per quota window.
        lease: fencing token of the quota allocator, if the loan is from a pool; 0: it is from the lender's
            own share.
        remaining_us: remaining time of the allocator's lease when the loan was granted.

    """

    quota: str
    amount: Number
    lease: Number = 0
    remaining_us: Number = 0


class BallotRequest(Request, array_like=True, frozen=True, tag=2):
    """A candidate's request to an elector for a role, or its release of a role.

    `request_id` is the number of the candidate's ballot round, and `config_digest` that of its electorate.

    Attributes:
        role_index: the role's index among the roles of the cluster file.
        lease: fencing token of the lease that the candidate asks for.
        kind: kind of the ballot, a value of `BallotKind`.
        successor: in a release, name of the node for which the role is reserved; empty: there is none.

    """

    role_index: Number
    lease: Number
    kind: Number
    successor: str


class Vote(Response, array_like=True, frozen=True, tag=3):
    """An elector's response to a ballot.

    Attributes:
        role_index: the role's index among the roles of the cluster file.
        granted: whether the elector grants what the ballot asks for.
        highest_lease: greatest fencing token of the role that the elector knows of.
        remaining_us: remaining time of the elector's promise to another candidate.

    """

    role_index: Number
    granted: bool
    highest_lease: Number
    remaining_us: Number


class TokenDemand(msgspec.Struct, array_like=True, frozen=True):
    """A warming upstream on which a node may place the session that it requests a token for.

    Attributes:
        upstream: hash of the upstream's name.
        budget_milli: weight of the sessions that all nodes together may send to the upstream within an
            overload window, in thousandths of a session, as calculated by the sender.
        weight_milli: weight of the session, in thousandths of a session.

    """

    upstream: Hash
    budget_milli: Number
    weight_milli: Number


class TokenRequest(Request, array_like=True, frozen=True, tag=4):
    """A request to the token issuer for permission to place one session on a warming upstream.

    A request without demands asks for no token, only for a response: the sender needs a recent one to hand
    its slow-start turns over again. `config_digest` is that of the sender's electorate.

    Attributes:
        lease: fencing token in the issuer's last response that the sender has received; by this token and
            `issued_us` the sender hands its own slow-start turns over for a term. 0: it does not.
        issued_us: time of that response, by the issuer's clock; 0 if the turns are not handed over.
        demands: the upstreams on any one of which the session may be placed.

    """

    lease: Number
    issued_us: Number
    demands: list[TokenDemand]


class TokenGrant(Response, array_like=True, frozen=True, tag=5):
    """The token issuer's response.

    Attributes:
        lease: fencing token of the issuer's lease.
        remaining_us: remaining time of that lease when the response was given.
        issued_us: time of the response, by the issuer's clock.
        upstream: hash of the name of the upstream on which one session may be placed; 0: no token is granted.

    """

    lease: Number
    remaining_us: Number
    issued_us: Number
    upstream: Hash


DirectMessage = LoanRequest | LoanGrant | BallotRequest | Vote | TokenRequest | TokenGrant
"""A message for its recipient alone; unlike a record, it is not forwarded."""


class Datagram(msgspec.Struct, array_like=True, frozen=True):
    """The content of one UDP datagram.

    Attributes:
        records: signed node records; the sender's own comes first, then those that it forwards.
        messages: signed direct messages.

    """

    records: list[SignedMessage]
    messages: list[SignedMessage] = []


class DropReason(Enum):
    """The reason why a datagram or a message in it was dropped; the value ends the counter's name."""

    EMPTY = "empty"
    TOO_LONG = "too_long"
    UNKNOWN_VERSION = "unknown_version"
    MALFORMED = "malformed"
    UNKNOWN_MEMBER = "unknown_member"
    INVALID_SIGNATURE = "invalid_signature"
    WRONG_RECIPIENT = "wrong_recipient"
    TOO_OLD = "too_old"
    IN_THE_FUTURE = "in_the_future"
