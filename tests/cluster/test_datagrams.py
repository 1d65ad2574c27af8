"""Datagrams between nodes: reasons for dropping them, signatures, and records that are repeated or late."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

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
from larchlatch.cluster.protocol.messages import Datagram, DropReason, NodeRecord, SignedMessage
from larchlatch.cluster.protocol.signing import Signer
from tests.support.cluster import (
    SECRETS,
    WALL_US,
    ManualNode,
    run_heartbeats,
)


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
