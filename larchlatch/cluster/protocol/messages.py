"""Messages between nodes.

Each type is encoded as a msgpack array. The order of its fields, inherited ones first, and its tag are part
of the protocol and don't change within one protocol version. Names of types and fields are not sent. Times in
`*_us` are whole microseconds.
"""

from __future__ import annotations

from enum import Enum

import msgspec


class QuotaReport(msgspec.Struct, array_like=True, frozen=True):
    """What a node reports of one quota.

    Attributes:
        spent: sessions admitted since the node started.
        spare: sessions per quota window that it could lend.

    """

    spent: int
    spare: int


class HealthObservation(msgspec.Struct, array_like=True, frozen=True):
    """An upstream to which a node could not connect, without a successful connection since.

    Attributes:
        upstream: hash of the upstream's name.
        failures: failed checks in a row.
        age_us: age of the last of them when the record was created.

    """

    upstream: int
    failures: int
    age_us: int


class Suspicion(msgspec.Struct, array_like=True, frozen=True):
    """A member that one of its watchers no longer hears directly.

    Attributes:
        member_index: the member's index in the order of names.
        incarnation: incarnation of the newest record of it that the watcher has received.
        sequence: sequence number of that record.

    """

    member_index: int
    incarnation: int
    sequence: int


class Promise(msgspec.Struct, array_like=True, frozen=True):
    """An elector's promise of one role.

    Attributes:
        role_index: the role's index in the order of the cluster file.
        lease: the lease's fencing token.
        holder_index: the holder's index in the order of names.
        remaining_us: what was left of the promise when the record was created.

    """

    role_index: int
    lease: int
    holder_index: int
    remaining_us: int


class NodeRecord(msgspec.Struct, array_like=True, frozen=True):
    """What a node reports about itself; other nodes forward it, signed by its origin.

    Attributes:
        name: the node's name.
        incarnation: Unix time at which the node started.
        sequence: number of the record; it only grows within an incarnation.
        created_us: Unix time at which the record was created.
        shutting_down: whether the node is leaving the cluster.
        direct_contacts: one bit for each member, in the order of names: whether it was heard directly
            within the last rounds. In a large cluster there are bits only for the members that this node
            watches.
        config_digest: digest of the cluster file by which the node divides the quotas; 0: none.
        quota_reports: one for each quota, in the order of the file.
        health_observations: upstreams that the node can't reach.
        suspicions: members that the node watches and no longer hears.
        promises: what the node, as an elector, has promised.

    """

    name: str
    incarnation: int
    sequence: int
    created_us: int
    shutting_down: bool
    direct_contacts: bytes
    config_digest: int = 0
    quota_reports: list[QuotaReport] = []
    health_observations: list[HealthObservation] = []
    suspicions: list[Suspicion] = []
    promises: list[Promise] = []

    @property
    def version(self) -> tuple[int, int]:
        """Return the sort key of the records of one node; the newest record has the greatest."""
        return self.incarnation, self.sequence


class SignedMessage(msgspec.Struct, array_like=True, frozen=True):
    """An encoded record or direct message with its sender's signature."""

    body: bytes
    signature: bytes


class Request(msgspec.Struct, array_like=True, frozen=True):
    """The fields with which each request to another node begins.

    Attributes:
        sender: name of the node that sends it.
        incarnation: the sender's incarnation.
        request_id: number of the request; it only grows within an incarnation.
        created_us: Unix time.
        recipient: name of the node that it is sent to.
        config_digest: digest of the sender's settings for this kind of request.

    """

    sender: str
    incarnation: int
    request_id: int
    created_us: int
    recipient: str
    config_digest: int

    @property
    def bounded_values(self) -> tuple[int, ...]:
        """Return the values that have to be within the bounds of the protocol."""
        return self.incarnation, self.request_id


class Response(msgspec.Struct, array_like=True, frozen=True):
    """The fields with which each response to a request begins.

    Attributes:
        sender: name of the node that responds.
        recipient: name of the node that sent the request.
        incarnation: incarnation of that node, from its request.
        request_id: number of the request.

    """

    sender: str
    recipient: str
    incarnation: int
    request_id: int

    @property
    def bounded_values(self) -> tuple[int, ...]:
        """Return the values that have to be within the bounds of the protocol."""
        return self.incarnation, self.request_id


class LoanRequest(Request, array_like=True, frozen=True, tag=0):
    """A node asks to borrow a part of a quota; `config_digest` is that of its quota settings.

    Attributes:
        quota: the quota's name.
        amount: sessions per quota window.
        renews: the request by which the sender has the loan already; 0: a new loan.

    """

    quota: str
    amount: int
    renews: int

    @property
    def bounded_values(self) -> tuple[int, ...]:
        """Return the values that have to be within the bounds of the protocol."""
        return self.incarnation, self.request_id, self.amount


class LoanGrant(Response, array_like=True, frozen=True, tag=1):
    """The response of a lender that lends; a declined request gets no response.

    Attributes:
        quota: the quota's name.
        amount: sessions per quota window.
        lease: fencing token of the role by which it is lent; 0: from the lender's own share.
        remaining_us: what was left of that role's lease when the loan was granted.

    """

    quota: str
    amount: int
    lease: int = 0
    remaining_us: int = 0

    @property
    def bounded_values(self) -> tuple[int, ...]:
        """Return the values that have to be within the bounds of the protocol."""
        return self.incarnation, self.request_id, self.amount, self.lease, self.remaining_us


class BallotRequest(Request, array_like=True, frozen=True, tag=2):
    """A candidate asks an elector for a role, or releases it.

    `request_id` is the number of the candidate's ballot round, and `config_digest` that of its electorate.

    Attributes:
        role_index: the role's index in the order of the cluster file.
        lease: fencing token that the candidate asks for.
        kind: kind of the ballot, a value of the election's ballot kinds.
        successor: with a release, the node for which the role is reserved; empty: none.

    """

    role_index: int
    lease: int
    kind: int
    successor: str

    @property
    def bounded_values(self) -> tuple[int, ...]:
        """Return the values that have to be within the bounds of the protocol."""
        return self.incarnation, self.request_id, self.role_index, self.lease, self.kind


class Vote(Response, array_like=True, frozen=True, tag=3):
    """An elector's response to a ballot.

    Attributes:
        role_index: the role's index in the order of the cluster file.
        granted: whether the elector agrees.
        highest_lease: greatest fencing token that the elector knows of.
        remaining_us: how long a promise to another candidate still holds.

    """

    role_index: int
    granted: bool
    highest_lease: int
    remaining_us: int

    @property
    def bounded_values(self) -> tuple[int, ...]:
        """Return the values that have to be within the bounds of the protocol."""
        return self.incarnation, self.request_id, self.role_index, self.highest_lease, self.remaining_us


class TokenDemand(msgspec.Struct, array_like=True, frozen=True):
    """A warming upstream to which a node would send one session.

    Attributes:
        upstream: hash of the upstream's name.
        budget_milli: what all nodes together may send in the upstream's overload window, in thousandths of a
            session, as the sender calculates it.
        weight_milli: the weight of the session, in the same unit.

    """

    upstream: int
    budget_milli: int
    weight_milli: int


class TokenRequest(Request, array_like=True, frozen=True, tag=4):
    """A node asks the token issuer for permission to send one session to a warming upstream.

    Without demands it asks only for the issuer's response, with which it hands its slow-start turns over
    again. `config_digest` is that of the sender's electorate.

    Attributes:
        lease: fencing token of the issuer's last response that the sender has; with it and `issued_us` the
            sender hands its own slow-start turns over for a term. 0: it does not.
        issued_us: time of that response, by the issuer's clock.
        demands: upstreams, any one of which the session may go to.

    """

    lease: int
    issued_us: int
    demands: list[TokenDemand]

    @property
    def bounded_values(self) -> tuple[int, ...]:
        """Return the values that have to be within the bounds of the protocol."""
        demanded = [value for demand in self.demands for value in (demand.budget_milli, demand.weight_milli)]
        return self.incarnation, self.request_id, self.lease, self.issued_us, *demanded


class TokenGrant(Response, array_like=True, frozen=True, tag=5):
    """The token issuer's response.

    Attributes:
        lease: fencing token of the issuer.
        remaining_us: what was left of that lease when the response was given.
        issued_us: time of the response, by the issuer's clock.
        upstream: hash of the name of the upstream to which one session may be sent; 0: none.

    """

    lease: int
    remaining_us: int
    issued_us: int
    upstream: int

    @property
    def bounded_values(self) -> tuple[int, ...]:
        """Return the values that have to be within the bounds of the protocol."""
        return self.incarnation, self.request_id, self.lease, self.remaining_us, self.issued_us


DirectMessage = LoanRequest | LoanGrant | BallotRequest | Vote | TokenRequest | TokenGrant
"""A message for its recipient alone; unlike a record it is not forwarded."""


class Datagram(msgspec.Struct, array_like=True, frozen=True):
    """The content of one UDP datagram.

    Attributes:
        records: encoded node records; the sender's own comes first, then those that it forwards.
        messages: encoded direct messages.

    """

    records: list[SignedMessage]
    messages: list[SignedMessage] = []


class DropReason(Enum):
    """Why a datagram, or a message in it, was dropped; the value is the end of a counter's name."""

    EMPTY = "empty"
    TOO_LONG = "too_long"
    UNKNOWN_VERSION = "unknown_version"
    MALFORMED = "malformed"
    UNKNOWN_MEMBER = "unknown_member"
    INVALID_SIGNATURE = "invalid_signature"
    WRONG_RECIPIENT = "wrong_recipient"
    TOO_OLD = "too_old"
    IN_THE_FUTURE = "in_the_future"
