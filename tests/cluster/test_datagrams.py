"""Datagrams between nodes: reasons for dropping them, signatures, and records that are repeated or late."""

from __future__ import annotations

from itertools import count

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from larchlatch.cluster.election.electorate import QUOTA_ALLOCATOR, TOKEN_ISSUER, Electorate
from larchlatch.cluster.membership.member import MemberState
from larchlatch.cluster.membership.membership import MAX_CLOCK_DIFFERENCE_US
from larchlatch.cluster.protocol.codec import (
    MAX_DATAGRAM_BYTES,
    VERSION,
    decode_datagram,
    decode_message,
    decode_record,
    encode_body,
    encode_datagram,
)
from larchlatch.cluster.protocol.messages import (
    MAX_VALUE,
    Datagram,
    DropReason,
    NodeRecord,
    SignedMessage,
)
from larchlatch.cluster.protocol.signing import Signer
from larchlatch.cluster.quota.settings import Quota, QuotaSettings
from tests.support.cluster import (
    HEARTBEAT_US,
    LOAN_TERMS,
    SECRETS,
    WALL_US,
    ManualNode,
    run_heartbeats,
)

QUOTAS = QuotaSettings((Quota("all", 8, ("t",)),), ("a", "b", "c", "d"), 0.5, LOAN_TERMS, 3)
ROLES = Electorate(("a", "b", "c"), ("a", "b", "c", "d"), (QUOTA_ALLOCATOR, TOKEN_ISSUER), digest=4)


def test_invalid_datagram_is_dropped_and_counted_by_reason() -> None:
    """Anyone can send to the UDP port: an invalid datagram must change nothing and show up in its counter."""
    good = ManualNode("b").next_datagram()
    body = encode_body(NodeRecord("b", WALL_US, 1, WALL_US, False, b""))
    forged = encode_datagram([SignedMessage(body, Signer(SECRETS["c"]).sign(body))])
    unknown_member = encode_body(NodeRecord("x", WALL_US, 1, WALL_US, False, b""))
    cases = [
        (b"", DropReason.EMPTY),
        (bytes(MAX_DATAGRAM_BYTES + 1), DropReason.TOO_LONG),
        (bytes([VERSION + 1]) + good[1:], DropReason.UNKNOWN_VERSION),
        (bytes([VERSION]) + b"\xc1", DropReason.MALFORMED),
        (encode_datagram([SignedMessage(b"", bytes(64))]), DropReason.MALFORMED),
        (encode_datagram([SignedMessage(body, b"short")]), DropReason.MALFORMED),
        (encode_datagram([]), DropReason.MALFORMED),
        (encode_datagram([SignedMessage(unknown_member, bytes(64))]), DropReason.UNKNOWN_MEMBER),
        (forged, DropReason.INVALID_SIGNATURE),
        (
            ManualNode("b", wall=WALL_US - 86_400_000_000).next_datagram(wall=WALL_US - 86_400_000_000),
            DropReason.TOO_OLD,
        ),
        (ManualNode("b").next_datagram(wall=WALL_US + 2 * MAX_CLOCK_DIFFERENCE_US), DropReason.IN_THE_FUTURE),
    ]
    node = ManualNode("a")
    for data, reason in cases:
        before = node.drop_count(reason)
        assert node.exchange.receive(data, now=0, wall=WALL_US).changes == []
        assert node.drop_count(reason) == before + 1, reason
    assert node.members.is_alone, "no invalid datagram may make a member present"
    assert node.exchange.unknown_version == VERSION + 1, "the unknown version is kept for the log"
    assert node.exchange.receive(good, now=0, wall=WALL_US).changes != []


def test_repeated_or_older_record_is_not_accepted() -> None:
    """A repeated or delayed record that counted as news would keep a member present that no longer runs."""
    node, other = ManualNode("a"), ManualNode("b")
    first, second = other.next_datagram(), other.next_datagram()
    node.exchange.receive(second, now=0, wall=WALL_US)
    for data in (first, second):
        assert node.exchange.receive(data, now=0, wall=WALL_US).changes == []
    assert node.counts["cluster_records_accepted"] == 1 and node.counts["cluster_records_known"] == 2


def test_record_signed_by_another_member_is_dropped() -> None:
    """A faulty member signs with its own key a record of another member that says that it shuts down."""
    signer, node = Signer(SECRETS["b"]), ManualNode("a")
    run_heartbeats([node, ManualNode("c", seed=2)], 0, 4)
    before = node.members.members["c"].record
    forged = encode_body(NodeRecord("c", WALL_US + 9, 99, WALL_US, True, b""))
    own_record = encode_body(NodeRecord("b", WALL_US, 1, WALL_US, False, b""))
    data = encode_datagram(
        [SignedMessage(own_record, signer.sign(own_record)), SignedMessage(forged, signer.sign(forged))]
    )
    node.exchange.receive(data, now=0, wall=WALL_US)
    assert node.members.members["c"].record == before and node.state("c") is MemberState.PRESENT
    assert node.drop_count(DropReason.INVALID_SIGNATURE) == 1 and node.state("b") is MemberState.PRESENT


@settings(derandomize=True, max_examples=400, deadline=None)
@given(st.binary(max_size=MAX_DATAGRAM_BYTES + 2), st.integers(0, 400), st.integers(0, 255))
def test_no_bytes_at_all_end_a_reader(noise: bytes, place: int, change: int) -> None:
    good = bytearray(ManualNode("b").next_datagram())
    good[place % len(good)] = change
    for data in (noise, bytes([VERSION]) + noise, bytes(good), bytes(good[: place % len(good)])):
        node = ManualNode("a")
        node.exchange.receive(data, now=0, wall=WALL_US)
        found = decode_datagram(data)
        if isinstance(found, Datagram):
            for signed in found.records + found.messages:
                decode_record(signed.body)
                decode_message(signed.body)


ANY_VALUE = st.one_of(
    st.integers(-(2**63), 2**64 - 1),
    st.sampled_from([-1, 0, 1, 2, 3, MAX_VALUE - 1, MAX_VALUE, 2**63]),
    st.floats(allow_nan=True),
    st.booleans(),
    st.none(),
    st.text(max_size=4),
    st.binary(max_size=4),
    st.lists(st.integers(-1, 1), max_size=2),
)
SMALL = st.integers(0, 5)
EDGES = st.sampled_from([-(2**62), -100, -5, -1, 100, MAX_VALUE - 1])
FAULTY = st.one_of(EDGES, EDGES, ANY_VALUE)


@st.composite
def member_messages(draw: st.DrawFn) -> list[object]:
    """Draw the fields of a record (-1) or a direct message of each kind, as member b sends them to node a.

    One value at most is faulty: of a message with a value of another type, nothing is read.
    """
    faulty_place = draw(st.integers(0, 16))
    places = count()

    def number() -> object:
        return draw(FAULTY if next(places) == faulty_place else SMALL)

    def rows(length: int) -> list[list[object]]:
        return [[number() for _ in range(length)] for _ in range(draw(st.integers(0, 2)))]

    kind = draw(st.sampled_from([-1, -1, -1, 0, 1, 2, 3, 4, 5]))
    wall = draw(st.sampled_from([WALL_US, WALL_US, WALL_US + 1, -1]))
    if kind < 0:
        head: list[object] = ["b", draw(st.sampled_from([WALL_US, WALL_US + 7])), number(), wall]
        tail = [draw(st.booleans()), draw(st.binary(max_size=2)), number()]
        return [*head, *tail, rows(2), rows(3), rows(3), rows(4)]
    digest = draw(st.sampled_from([ROLES.digest, QUOTAS.digest, 5]))
    request = [kind, "b", WALL_US, number(), wall, "a", digest]
    response = [kind, "b", "a", draw(st.sampled_from([WALL_US, 1])), number()]
    quota = draw(st.sampled_from(["all", "none"]))
    name = draw(st.sampled_from(["", "a", "b", "x"]))
    numbers = [number() for _ in range(4)]
    return {
        0: [*request, quota, numbers[0], numbers[1]],
        1: [*response, quota, *numbers[:3]],
        2: [*request, *numbers[:3], name],
        3: [*response, numbers[0], draw(st.booleans()), *numbers[1:3]],
        4: [*request, *numbers[:2], rows(3)],
        5: [*response, *numbers],
    }[kind]


@settings(derandomize=True, max_examples=400, deadline=None)
@given(st.lists(member_messages(), min_size=1, max_size=6))
def test_no_message_of_a_member_with_a_valid_signature_raises(messages: list[list[object]]) -> None:
    """The signature of a faulty member proves nothing of its values: one negative index ended its receivers.

    All members must go on: the receiver, and those that it sends to afterwards.
    """
    nodes = [ManualNode(name, quota_settings=QUOTAS, electorate=ROLES) for name in "ac"]
    number = run_heartbeats(nodes, 0, 3)
    signer = Signer(SECRETS["b"])
    for fields in messages:
        body = msgspec.msgpack.encode(fields)
        signed = SignedMessage(body, signer.sign(body))
        is_record = isinstance(fields[0], str)
        data = encode_datagram([signed] if is_record else [], [] if is_record else [signed])
        nodes[0].exchange.receive(data, now=number * HEARTBEAT_US, wall=WALL_US)
    run_heartbeats(nodes, number, 2)


@pytest.mark.parametrize("value", [-1, MAX_VALUE, 2**64 - 1, 0.5, True, "1", None])
@pytest.mark.parametrize("place", ["suspicion", "promise", "report", "observation", "time"])
def test_record_with_an_impossible_value_is_dropped_and_counted(place: str, value: object) -> None:
    """Each value of a record is bounded, also those in its lists; a negative index would name a member."""
    reports = [[value, 0]] if place == "report" else []
    observations = [[1, value, 0]] if place == "observation" else []
    suspicions = [[value, 1, 1]] if place == "suspicion" else []
    promises = [[0, 1, value, 1]] if place == "promise" else []
    created_us = value if place == "time" else WALL_US
    body = msgspec.msgpack.encode(
        ["b", WALL_US, 1, created_us, False, b"", 1, reports, observations, suspicions, promises]
    )
    node = ManualNode("a")
    data = encode_datagram([SignedMessage(body, Signer(SECRETS["b"]).sign(body))])
    assert node.exchange.receive(data, now=0, wall=WALL_US).changes == []
    assert node.drop_count(DropReason.MALFORMED) == 1 and node.state("b") is MemberState.UNHEARD
