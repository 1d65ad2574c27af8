"""The adapter's process, which reads batches of messages from standard input and writes a reply to each.

A batch and its reply are one line of JSON each. Replies go to standard output, errors to standard error.
"""

from __future__ import annotations

import logging
import sys
from typing import TYPE_CHECKING, Any

import orjson

from larchlatch.config.reading import required
from larchlatch.errors import InvalidInputError, ProtocolError
from larchlatch.simulator_adapter import protocol
from larchlatch.simulator_adapter.messages import (
    EndpointListDefined,
    EndpointRow,
    NodeKilled,
    NodeStarted,
)
from larchlatch.simulator_adapter.node_instance import NodeInstance

if TYPE_CHECKING:
    from larchlatch.simulator_adapter.protocol import Action

EXIT_INVALID_INPUT = 2

log = logging.getLogger("larchlatch")


class BatchProcessor:
    """Processes batches of messages to all nodes of this process, which share the defined endpoint lists."""

    def __init__(self) -> None:
        self._instances: dict[str, NodeInstance] = {}
        self._endpoint_lists: dict[int, list[EndpointRow]] = {}

    def process(self, line: bytes) -> bytes:
        """Return the reply to a batch, both as lines of JSON.

        Raises:
            InvalidInputError: The batch is not valid, so that there is no reply.
        """
        try:
            batch = orjson.loads(line)
        except orjson.JSONDecodeError as error:
            raise ProtocolError("batch", f"not valid JSON ({error})") from None
        if not isinstance(batch, dict):
            raise ProtocolError("batch", f"must be a JSON object, not {type(batch).__name__}")
        now = required(batch, "sim_time_us", int, "batch", error=ProtocolError)
        parts = required(batch, "parts", list, "batch", error=ProtocolError)
        replies = [self._process_part(now, part) for part in parts]
        return orjson.dumps({"parts": [reply for reply in replies if reply is not None]})

    def _process_part(self, now: int, part: Any) -> dict[str, Any] | None:
        """Return one node's reply to its part of a batch; None if it has no action to take."""
        if not isinstance(part, dict):
            raise ProtocolError(
                "batch", f"each of its parts must be a JSON object, not {type(part).__name__}"
            )
        name = required(part, "i", str, "batch: part", error=ProtocolError)
        rows = required(part, "msgs", list, "batch: part", error=ProtocolError)
        try:
            actions = self._handle_messages(now, name, rows)
        except InvalidInputError:
            raise
        except Exception as error:
            # A fault of the program while one node decides must not end the process or its other nodes, but
            # must be visible: it is logged and reported as an action.
            log.exception("%s: the decisions failed", name)
            actions = [protocol.crash_action(error)]
        return {"i": name, "actions": actions} if actions else None

    def _handle_messages(self, now: int, name: str, rows: list[Any]) -> list[Action]:
        """Handle the messages of a batch to one node, and return the actions that the node takes.

        There are no actions if the node has been killed or if the messages only define endpoint lists.
        """
        instance = None
        for row in rows:
            message = protocol.decode_message(row)
            if isinstance(message, EndpointListDefined):
                self._endpoint_lists[message.slot] = message.endpoints
            elif isinstance(message, NodeStarted):
                instance = self._instances[name] = NodeInstance(message, self._endpoint_lists)
            elif isinstance(message, NodeKilled):
                self._instances.pop(name, None)
                instance = None
            elif name not in self._instances:
                raise ProtocolError(row[0], f"node {name} has received no POWER_ON, or was killed since")
            else:
                instance = self._instances[name]
                instance.handle(now, message)
        if instance is None:
            return []
        instance.due(now)
        return instance.take_actions()


def main() -> None:
    """Reply to batches until standard input ends; an invalid batch ends the process with exit code 2."""
    logging.basicConfig(stream=sys.stderr, level=logging.WARNING, format="larchlatch: %(message)s")
    processor = BatchProcessor()
    for line in sys.stdin.buffer:
        try:
            reply = processor.process(line)
        except InvalidInputError as error:
            sys.stderr.write(f"larchlatch: {error}\n")
            sys.exit(EXIT_INVALID_INPUT)
        sys.stdout.buffer.write(reply + b"\n")
        sys.stdout.buffer.flush()
