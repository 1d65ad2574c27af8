"""Tests of the simulator adapter: decoding of batches, the replies to them, and errors on invalid input."""

from __future__ import annotations

import subprocess
import sys
from typing import Any

import orjson
import pytest

from larchlatch.errors import ProtocolError
from larchlatch.policy.balancer import Balancer
from larchlatch.policy.types import EndpointState, Outcome, ProbeResult
from larchlatch.simulator_adapter.main import BatchProcessor
from larchlatch.simulator_adapter.messages import (
    AttemptEnded,
    DelayMeasured,
    DiscoveryFailed,
    EndpointListDefined,
    EndpointListKind,
    EndpointListReceived,
    EndpointRow,
    LoadMeasured,
    ProbeEnded,
    SessionDescription,
    SessionInherited,
    SessionRequested,
)
from larchlatch.simulator_adapter.protocol import decode_message, endpoint_state
from tests.support.configuration import node_configuration

NOW_US = 1_000_000
START = ["POWER_ON", 7, node_configuration([], 1)["settings"]]
ENTRIES = [["h0", "a", None, 1, "SERVING", 1.0, 0], ["h1", "b", None, 2, "SERVING", 1.0, 0]]
ENDPOINT_LIST = [["INVENTORY", 0, ENTRIES], ["TOPOLOGY", 0, "snapshot", 1]]
REQUEST = ["ASK", "q1", "rerun", None, 5, "acme", 9, NOW_US + 3_000_000, 0]


def reply_to(processor: BatchProcessor, *messages: list[Any], now: int = NOW_US) -> list[list[Any]]:
    """Return the actions of node n0 in reply to these messages, except its requests to be woken."""
    batch = {"sim_time_us": now, "parts": [{"i": "n0", "msgs": list(messages)}]}
    parts: list[dict[str, Any]] = orjson.loads(processor.process(orjson.dumps(batch)))["parts"]
    return [action for part in parts for action in part["actions"] if action[0] != "WAKE_ME"]


def test_request_is_forwarded_to_a_listed_upstream() -> None:
    actions = reply_to(BatchProcessor(), START, *ENDPOINT_LIST, REQUEST)
    assert [action[:2] for action in actions] == [["TRANSMIT", "q1"]]
    assert actions[0][2] in ("h0", "h1")
    assert NOW_US < actions[0][3] <= NOW_US + 3_000_000


def test_rejected_attempt_is_repeated_until_it_establishes_the_session() -> None:
    """A session would be lost if the outcome of its attempt did not lead to a further attempt."""
    processor = BatchProcessor()
    [[_, _, upstream, _]] = reply_to(processor, START, *ENDPOINT_LIST, REQUEST)
    rejected = ["ATTEMPT_END", "q1", 0, upstream, "no_room", 100, False, None]
    assert reply_to(processor, rejected, now=NOW_US + 1000) == []
    [[action, handle, second, _]] = reply_to(processor, ["ELAPSED", 0], now=NOW_US + 1_000_000)
    assert (action, handle) == ("TRANSMIT", "q1")
    assert reply_to(processor, ["UNDER_WAY", "q1", 100, second, 1], now=NOW_US + 1_001_000) == []
    completed = ["ATTEMPT_END", "q1", 1, second, "pass", 100, True, None]
    assert reply_to(processor, completed, now=NOW_US + 1_002_000) == []


def test_messages_on_a_session_that_is_over_are_ignored() -> None:
    """Messages that were under way when the client left would otherwise refer to an unknown session."""
    processor = BatchProcessor()
    [[_, _, upstream, _]] = reply_to(processor, START, *ENDPOINT_LIST, REQUEST)
    late_messages = [
        ["UNDER_WAY", "q1", 100, upstream, 0],
        ["ATTEMPT_END", "q1", 0, upstream, "cut", 100, False, None],
        ["INTERIM", "q1", upstream, 0, 1, 2.0],
        ["CLIENT_GONE", "q1"],
    ]
    assert reply_to(processor, ["CLIENT_GONE", "q1"], *late_messages, now=NOW_US + 1000) == []


def test_killed_node_takes_no_action_and_needs_a_new_start() -> None:
    """A node that was killed in the same batch would otherwise act on the messages before that."""
    processor = BatchProcessor()
    assert reply_to(processor, START, *ENDPOINT_LIST, REQUEST, ["KILLED"]) == []
    with pytest.raises(ProtocolError, match="ASK: node n0 has received no POWER_ON, or was killed since"):
        reply_to(processor, REQUEST)


def test_endpoint_list_serves_all_nodes_of_the_process() -> None:
    """The simulator defines a list in the messages to one node; the others would lack it if kept by node."""
    processor = BatchProcessor()
    defined = {"sim_time_us": NOW_US, "parts": [{"i": "n1", "msgs": [START, ENDPOINT_LIST[0]]}]}
    processor.process(orjson.dumps(defined))
    assert reply_to(processor, START, ENDPOINT_LIST[1], REQUEST)[0][0] == "TRANSMIT"


def test_fault_in_the_decisions_is_reported_and_the_process_goes_on(monkeypatch: pytest.MonkeyPatch) -> None:
    """An exception in the decisions of one node would otherwise end the other nodes of the process too."""

    def fail(*args: object) -> None:
        raise KeyError("planted")

    monkeypatch.setattr(Balancer, "record_probe", fail)
    processor = BatchProcessor()
    probe = ["ECHO", "pass", 100, "h0", None]
    assert reply_to(processor, START, *ENDPOINT_LIST, probe)[0][0] == "CRASH"
    assert reply_to(processor, REQUEST)[0][0] == "TRANSMIT"


def test_probe_of_an_upstream_that_is_not_known_is_ignored() -> None:
    """Its answer may come after the upstream has been forgotten."""
    processor = BatchProcessor()
    probe_of_unlisted = ["ECHO", "pass", 100, "h7", None]
    assert reply_to(processor, START, *ENDPOINT_LIST, probe_of_unlisted) == []


def test_upstreams_in_turn_leave_nothing_behind_in_the_adapter() -> None:
    """Guards against a name and a record for each upstream that ever was in a list."""
    processor = BatchProcessor()
    reply_to(processor, START, *ENDPOINT_LIST, REQUEST)
    for step in range(1, 100):
        entries = [
            [f"h{step}", "a", None, 1, "SERVING", 1.0, 0],
            [f"h{step + 1}", "b", None, 2, "SERVING", 1.0, 0],
        ]
        whole_list = [["INVENTORY", step, entries], ["TOPOLOGY", step, "snapshot", 1 + step]]
        reply_to(processor, *whole_list, now=NOW_US + step * 2_000_000)
    [node] = processor._instances.values()
    assert len(node._upstream_names) == len(node._upstream_numbers) == len(node.balancer.fleet.upstreams)
    # Those of the last 20 s, for which cold upstreams take to become warm, and the one with the session.
    assert len(node._upstream_names) <= 2 + 10 + 1 + 1


@pytest.mark.parametrize(
    ("row", "message"),
    [
        (
            ENDPOINT_LIST[0],
            EndpointListDefined(
                0,
                [EndpointRow("h0", "a", 1, "SERVING", 1.0, 0), EndpointRow("h1", "b", 2, "SERVING", 1.0, 0)],
            ),
        ),
        (["TOPOLOGY", 3, "diff", 8], EndpointListReceived(3, EndpointListKind.CHANGES)),
        (["TOPOLOGY", None, "error"], DiscoveryFailed()),
        (
            ["ASK", "q", "c", 40, 5, "t", 9, 100, 1],
            SessionRequested(SessionDescription("q", "c", 5, 9, 100, mid_flow=False, load=40.0)),
        ),
        (
            ["ASK", "q", "c", 40, 5, "t", 9, 100, 8],
            SessionRequested(SessionDescription("q", "c", 5, 9, 100, mid_flow=True, load=0.0)),
        ),
        (
            ["EXISTING", "q", "c", "t", 5, None, 40, 9, 9, "h0"],
            SessionInherited(SessionDescription("q", "c", 5, 9, 0, mid_flow=True, load=40.0), "h0"),
        ),
        (["ATTEMPT_END", "q", 0, "h0", "cut", 5, False], AttemptEnded("q", Outcome.RESET, answered=False)),
        (["INTERIM", "q", "h0", 0, 1, 3], LoadMeasured("q", 3.0)),
        (["INTERIM", "q", "h0", 0, 2, 1.5], DelayMeasured("q", 1500)),
        (["ECHO", "pass", 5, "h0", {"x0": 1}], ProbeEnded("h0", ProbeResult(True, 1.0, None))),
        (["ECHO", "fault", 5, "h0"], ProbeEnded("h0", ProbeResult(False, None, None))),
    ],
)
def test_row_is_decoded_to_its_message(row: list[Any], message: object) -> None:
    assert decode_message(row) == message


def test_state_of_an_entry_is_checked_when_the_list_is_used() -> None:
    """A list with an unknown state would otherwise end the process even if no node receives it."""
    draining = EndpointRow("h0", None, None, "DRAINING", None, None)
    assert endpoint_state(draining) is EndpointState.DRAINING
    processor = BatchProcessor()
    unknown_state = ["INVENTORY", 1, [["h0", None, None, None, "SLEEPING"]]]
    assert reply_to(processor, START, unknown_state) == []
    with pytest.raises(ProtocolError, match="INVENTORY: lifecycle: unknown value 'SLEEPING'"):
        reply_to(processor, ["TOPOLOGY", 1, "snapshot", 1])


@pytest.mark.parametrize(
    ("line", "complaint"),
    [
        (b"nonsense", "batch: not valid JSON ("),
        (b"[]", "batch: must be a JSON object, not list"),
        (b'{"parts":[]}', "batch: sim_time_us is missing"),
        (b'{"sim_time_us":1,"parts":[{"i":"a"}]}', "batch: part: msgs is missing"),
        (
            b'{"sim_time_us":1,"parts":[{"i":"a","msgs":[[]]}]}',
            "message: must be an array that begins with the name of a message",
        ),
        (
            b'{"sim_time_us":1,"parts":[{"i":"a","msgs":[["NOPE"]]}]}',
            "message: unknown name 'NOPE', expected one of POWER_ON, KILLED, ",
        ),
        (
            b'{"sim_time_us":1,"parts":[{"i":"a","msgs":[["ASK",1]]}]}',
            "ASK: handle has the wrong type (int), expected str",
        ),
        (
            b'{"sim_time_us":1,"parts":[{"i":"a","msgs":[["ASK","q"]]}]}',
            "ASK: grade is missing, expected str",
        ),
        (
            b'{"sim_time_us":1,"parts":[{"i":"a","msgs":[["TOPOLOGY",1,"new"]]}]}',
            "TOPOLOGY: unknown mode 'new', expected one of diff, snapshot, disk, error",
        ),
    ],
)
def test_wrong_batch_ends_the_process_with_one_line(line: bytes, complaint: str) -> None:
    """An invalid batch would otherwise end the process with a traceback that does not name the wrong key."""
    command = [sys.executable, "-B", "-m", "larchlatch.simulator_adapter"]
    completed = subprocess.run(command, input=line + b"\n", capture_output=True)
    assert completed.returncode == 2
    assert completed.stdout == b""
    lines = completed.stderr.decode().splitlines()
    assert len(lines) == 1 and lines[0].startswith(f"larchlatch: {complaint}")
