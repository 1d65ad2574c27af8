"""Compatibility tests: compares packets, datagrams, file keys and results with recorded ones.

Other versions, users' files and stored results depend on these formats. The fixture was recorded by the
version before the identifiers of this program were renamed. It must not be recorded anew to make a test pass,
since a difference is a break of compatibility.
"""

from __future__ import annotations

import json
import random
from pathlib import Path
from typing import Any

import msgspec
import orjson
import pytest
from msgspec import inspect

from larchlatch.broker.contracts import Contracts, read_contracts
from larchlatch.cluster.cluster_file import ClusterTable, parse_cluster, read_cluster_file
from larchlatch.cluster.election.ballots import BallotKind
from larchlatch.cluster.election.electorate import QUOTA_ALLOCATOR, TOKEN_ISSUER, Electorate
from larchlatch.cluster.election.lease_terms import LeaseTerms
from larchlatch.cluster.exchange.exchange import Exchange
from larchlatch.cluster.exchange.state import SharedState
from larchlatch.cluster.membership.member import MemberState
from larchlatch.cluster.membership.membership import Membership
from larchlatch.cluster.protocol import codec, messages
from larchlatch.cluster.protocol.signing import Signer, Verifier
from larchlatch.cluster.quota.loan_terms import LoanTerms
from larchlatch.cluster.quota.settings import Quota, QuotaSettings
from larchlatch.config.endpoints import EndpointEntry, EndpointList
from larchlatch.emulator.simulation import Simulation
from larchlatch.node.hot_restart import packets as hot_restart
from larchlatch.node.hot_restart.channel import HEADER, frame
from larchlatch.policy.balancer import Balancer
from larchlatch.policy.state_export import export_state, restore_state
from larchlatch.policy.types import (
    DedupScope,
    Endpoint,
    EndpointState,
    Forward,
    Idempotency,
    Outcome,
    ProbeResult,
    Session,
    TokenCandidate,
)
from larchlatch.scenario.scenario import Scenario
from larchlatch.scenario.scenario_file import read_scenario_file
from tests.support.balancer_harness import SETTINGS

ROOT = Path(__file__).parents[1]
FIXTURE = Path(__file__).parent / "fixtures" / "compatibility.json"
SECOND_US = 1_000_000
WALL_US = 1_800_000_000 * SECOND_US
NOW_US = 5_000 * SECOND_US
NODES = ("a", "b", "c")
SIGNERS = {name: Signer(bytes([place]) * 32) for place, name in enumerate(NODES, 1)}
SMALL_SCENARIOS = (("calm", 3), ("eight", 4), ("half", 5), ("duties", 6), ("hosts", 7))
# Keys of result rows whose values depend on the speed of the machine.
MACHINE_DEPENDENT_KEYS = {"cluster_cpu"}


def recorded() -> dict[str, Any]:
    formats: dict[str, Any] = json.loads(FIXTURE.read_text())
    return formats


# Hot restart packets.


def packets() -> list[hot_restart.Packet]:
    entry = EndpointEntry(
        "s-1", ("127.0.0.1", 3000), "a", 2, EndpointState.DRAINING, 1.5, 1_700_000_000 * SECOND_US
    )
    return [
        hot_restart.Hello("n1", "127.0.0.1:3000"),
        hot_restart.Welcome(EndpointList(41, True, [entry])),
        hot_restart.Serving(),
        hot_restart.StateHandover(
            hot_restart.BalancerState({"hosts": {}, "asked": [1], "noted": 0.5}),
            ["id-1", "id-2"],
            60,
            1.25,
            123456,
        ),
        hot_restart.StateHandover(hot_restart.BalancerState({}), [], 0, None, 0),
        hot_restart.SessionHandover(
            b"OPEN 1 2 c=chat,d=2000\r\n", "s-1", 0.25, 99, int(Outcome.RESET), b"\xff", b"x"
        ),
    ]


def packet_bytes() -> list[str]:
    return [frame(packet, number % 3).hex() for number, packet in enumerate(packets())]


# Exported state of the balancer.


def used_balancer(observed: bool) -> Balancer:
    """Return a balancer of two upstreams.

    With `observed`, it has recorded outcomes, so that each exported value differs from its default.
    """
    balancer = Balancer(SETTINGS, random.Random(1))
    rows = [
        Endpoint(number, f"host-{number}", 0, 0, EndpointState.READY, 1.0, 7 * number) for number in range(2)
    ]
    balancer.update_endpoints(NOW_US, rows, whole=True, from_discovery=True)
    if observed:
        session = Session(1, 0, 5, 5, NOW_US + 2 * SECOND_US, load=100.0)
        answer = balancer.place(NOW_US, session)
        assert isinstance(answer, Forward)
        balancer.record_probe(NOW_US, answer.upstream, ProbeResult(True, 0.5, 10.0))
        balancer.record_load(NOW_US, session, 2000.0)
        balancer.outcome(NOW_US + 1000, session, Outcome.RESET, answered=True)
        balancer.record_unresponsive(NOW_US + 2000, answer.upstream)
        balancer.record_probe(NOW_US + 3000, 1 - answer.upstream, ProbeResult(False))
        balancer.record_probe(NOW_US + 4000, 1 - answer.upstream, ProbeResult(False))
    return balancer


def exported_state() -> Any:
    return orjson.loads(orjson.dumps(export_state(used_balancer(observed=True))))


# Datagrams.


def quota_settings(with_allocator: bool) -> QuotaSettings:
    return QuotaSettings(
        (Quota("all", 30, ("t",)),), NODES, 0.5, LoanTerms(SECOND_US, 3 * SECOND_US, 0.01), 77, with_allocator
    )


def electorate() -> Electorate:
    return Electorate(
        NODES, NODES, (QUOTA_ALLOCATOR, TOKEN_ISSUER), LeaseTerms(3 * SECOND_US, 0.01, 200_000), 88
    )


def exchange(name: str, started: int, with_allocator: bool) -> Exchange:
    """Return the exchange of a node that has just started and has heard of no other node."""
    sites = dict.fromkeys(NODES, "")
    members = Membership(
        name, sites, heartbeat_us=200_000, wall_us=WALL_US, now_us=started, rng=random.Random(2)
    )
    shared = SharedState.create(
        name,
        quota_settings(with_allocator),
        electorate(),
        max_clock_difference_us=200_000,
        heartbeat_us=200_000,
        now=started,
        random=random.Random(2),
    )
    shared.open(started)
    keys = {other: key.public_key for other, key in SIGNERS.items()}
    return Exchange(members, shared, sites, keys, SIGNERS[name], Verifier(), lambda kind: None)


def records() -> list[messages.NodeRecord]:
    return [
        messages.NodeRecord(
            "a",
            WALL_US,
            7,
            WALL_US + 1,
            False,
            b"\x05",
            77,
            [messages.QuotaReport(3, 4)],
            [messages.HealthObservation(2**63 + 1, 2, 500)],
            [messages.Suspicion(2, WALL_US, 9)],
            [messages.Promise(0, 11, 1, 900)],
        ),
        messages.NodeRecord("b", WALL_US, 1, WALL_US, True, b""),
    ]


def direct_messages() -> list[messages.DirectMessage]:
    return [
        messages.LoanRequest("a", WALL_US, 1, WALL_US, "b", 77, "all", 5, 0),
        messages.LoanGrant("b", "a", WALL_US, 1, "all", 5, 12, 400),
        messages.BallotRequest("a", WALL_US, 1, WALL_US, "b", 88, 0, WALL_US + 3, 0, "c"),
        messages.Vote("b", "a", WALL_US, 1, 0, True, 0, 300),
        messages.TokenRequest(
            "a", WALL_US, 1, WALL_US, "b", 88, 0, 0, [messages.TokenDemand(99, 5000, 1000)]
        ),
        messages.TokenGrant("b", "a", WALL_US, 1, 13, 400, 50, 99),
    ]


def datagram_bytes() -> list[str]:
    bodies = [codec.encode_body(message) for message in (*records(), *direct_messages())]
    signed = [messages.SignedMessage(body, SIGNERS["a"].sign(body)) for body in bodies]
    written = [codec.encode_datagram(signed[:2])]
    written += [codec.encode_datagram([], [each]) for each in signed[2:]]
    return [data.hex() for data in written]


def answers_to(data: bytes, name: str) -> list[list[str]]:
    """Return what a node sends in reply to a datagram an hour after its start, when it may vote and lend."""
    result = exchange(name, NOW_US - 3600 * SECOND_US, with_allocator=False).receive(
        data, now=NOW_US, wall=WALL_US
    )
    return [[to, answer.hex()] for to, answer in result.datagrams]


def heartbeat_bytes() -> list[list[str]]:
    """Return all that a single node sends in three heartbeats and one token request.

    This covers its records and its ballot requests for both roles.
    """
    node = exchange("a", NOW_US - 3600 * SECOND_US, with_allocator=True)
    sent = []
    for elapsed_us in (0, 200_000, 8 * SECOND_US):
        sent += node.heartbeat(now=NOW_US + elapsed_us, wall=WALL_US + elapsed_us).datagrams
    node.state.tokens.requester.issuer = "b"
    node.state.tokens.requester.answered_at = NOW_US + 8 * SECOND_US
    candidates = [(99, TokenCandidate(1, 5.0, 1.0))]
    sent += node.request_token(4, candidates, now=NOW_US + 8 * SECOND_US, wall=WALL_US).datagrams
    return [[to, data.hex()] for to, data in sent]


# Operators' files and result rows.


def keys_of(kind: Any, prefix: str = "") -> list[str]:
    """Return the keys of an operator's file as dotted paths, including the tags of faults."""
    info = inspect.type_info(kind) if not isinstance(kind, inspect.Type) else kind
    if isinstance(info, inspect.StructType):
        own = [f"{prefix}<{info.tag_field}={info.tag}>"] if info.tag is not None else []
        for each in info.fields:
            own += [f"{prefix}{each.encode_name}"]
            if prefix.count(f".{each.encode_name}.") == 0:  # a part may contain parts
                own += keys_of(each.type, f"{prefix}{each.encode_name}.")
        return own
    if isinstance(info, inspect.ListType):
        return keys_of(info.item_type, prefix)
    if isinstance(info, inspect.UnionType):
        return [key for each in info.types for key in keys_of(each, prefix)]
    if isinstance(info, inspect.LiteralType):
        return [f"{prefix}={value}" for value in info.values]
    return []


def file_keys() -> dict[str, list[str]]:
    return {"scenario": keys_of(Scenario), "cluster": keys_of(ClusterTable), "contracts": keys_of(Contracts)}


CLUSTER = {
    "nodes": [
        {"name": name, "address": f"127.0.0.1:{9000 + place}", "key": key.public_key.hex(), "site": "x"}
        for place, (name, key) in enumerate(SIGNERS.items())
    ],
    "budgets": [{"name": "all", "links_per_s": 12.5, "tariffs": ["t", "u"]}],
    "duties": {"electors": ["c", "a", "b"], "allot": True, "pace": True},
}


def cluster_digests() -> list[int]:
    """Return the digests by which nodes detect that their cluster files differ."""
    clusters = [
        read_cluster_file(ROOT / "deploy" / "cluster.example.toml"),
        parse_cluster(CLUSTER, "cluster"),
    ]
    return [
        digest
        for cluster in clusters
        for digest in (cluster.quota_settings.digest, cluster.electorate.digest)
    ]


def stored_values() -> dict[str, list[Any]]:
    """Return the enumeration values and constants that appear in files, packets, datagrams and traces."""
    return {
        "idempotency": [each.value for each in Idempotency],
        "dedup_scope": [each.value for each in DedupScope],
        "endpoint_state": [each.value for each in EndpointState],
        "outcome": [int(each) for each in Outcome],
        "member_state": [each.value for each in MemberState],
        "ballot_kind": [each.value for each in BallotKind],
        "roles": [QUOTA_ALLOCATOR, TOKEN_ISSUER],
    }


def emulated(name: str, seed: int) -> dict[str, Any]:
    row = Simulation(read_scenario_file(ROOT / "scenarios" / f"{name}.toml", {"seed": seed})).run()
    return {key: value for key, value in row.items() if key not in MACHINE_DEPENDENT_KEYS}


def current_formats() -> dict[str, Any]:
    """Return everything that the fixture records, as this version writes it."""
    datagrams = datagram_bytes()
    return {
        "packets": packet_bytes(),
        "state": exported_state(),
        "datagrams": datagrams,
        "answers": [answers_to(bytes.fromhex(data), "b") for data in datagrams],
        "beats": heartbeat_bytes(),
        "file_keys": file_keys(),
        "cluster_marks": cluster_digests(),
        "values": stored_values(),
        "emulated": {f"{name} {seed}": emulated(name, seed) for name, seed in SMALL_SCENARIOS},
    }


def test_packets_of_a_hot_restart_are_written_as_before() -> None:
    assert packet_bytes() == recorded()["packets"]


def test_recorded_packets_decode_and_encode_to_the_same_bytes() -> None:
    for data, packet in zip(recorded()["packets"], packets(), strict=True):
        body = bytes.fromhex(data)[HEADER.size :]
        read = hot_restart.decode_packet(body)
        assert read == packet
        assert frame(read, 0)[HEADER.size :] == body


def test_learned_state_is_exported_as_before() -> None:
    assert exported_state() == recorded()["state"]


def test_recorded_state_is_restored_whole() -> None:
    restored = used_balancer(observed=False)
    restore_state(restored, recorded()["state"], 0)
    assert orjson.loads(orjson.dumps(export_state(restored))) == recorded()["state"]


def test_datagrams_of_each_kind_are_written_as_before() -> None:
    assert datagram_bytes() == recorded()["datagrams"]


def test_recorded_datagrams_are_read_and_answered_as_before() -> None:
    for data, answers in zip(recorded()["datagrams"], recorded()["answers"], strict=True):
        assert answers_to(bytes.fromhex(data), "b") == answers
    assert sum(map(len, recorded()["answers"])) == 2, "one loan grant and one vote"
    read = [codec.decode_datagram(bytes.fromhex(data)) for data in recorded()["datagrams"]]
    assert all(isinstance(each, messages.Datagram) for each in read)
    bodies = [signed.body for each in read if isinstance(each, messages.Datagram) for signed in each.records]
    assert [codec.decode_record(body) for body in bodies] == records()
    bodies = [signed.body for each in read if isinstance(each, messages.Datagram) for signed in each.messages]
    assert [codec.decode_message(body) for body in bodies] == direct_messages()


def test_a_single_node_sends_the_same_bytes_as_before() -> None:
    assert heartbeat_bytes() == recorded()["beats"]


def test_keys_of_operators_files_are_the_same() -> None:
    assert file_keys() == recorded()["file_keys"]


def test_stored_values_are_the_same() -> None:
    assert stored_values() == recorded()["values"]


@pytest.mark.parametrize("path", sorted((ROOT / "scenarios").glob("*.toml")), ids=lambda path: path.stem)
def test_example_scenarios_are_read(path: Path) -> None:
    assert read_scenario_file(path).name


def test_example_files_of_the_deployment_are_read_and_digested_as_before() -> None:
    assert cluster_digests() == recorded()["cluster_marks"]
    assert read_contracts(ROOT / "deploy" / "contracts.example.toml").teams


@pytest.mark.parametrize(("name", "seed"), SMALL_SCENARIOS)
def test_a_small_scenario_has_the_recorded_row_and_trace_digest(name: str, seed: int) -> None:
    expected = recorded()["emulated"][f"{name} {seed}"]
    actual = msgspec.json.decode(msgspec.json.encode(emulated(name, seed)))
    assert list(actual) == list(expected), "the keys of the row, in their recorded order"
    assert actual == expected
