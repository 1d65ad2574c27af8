"""Calls to the admin API of a node."""

from __future__ import annotations

import asyncio

import anyio

from larchlatch.loadtest.streams import CONNECTION_ERRORS, close_writer

CALL_TIMEOUT_S = 5.0  # after which the node itself ends a call
READINESS = "GET /ops/readiness"
START_DRAIN = "POST /ops/drain/start"
STOP_DRAIN = "POST /ops/drain/stop"
OK = 200
NO_ANSWER = 0  # in place of a status


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of an address."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def request_head(call: str) -> bytes:
    """Return the head of the request for a call, such as `READINESS`."""
    return f"{call} HTTP/1.1\r\nHost: admin\r\n\r\n".encode()


async def call_admin_api(address: str, call: str) -> int:
    """Make a call, and return the status of the response; `NO_ANSWER` if there is none."""
    with anyio.move_on_after(CALL_TIMEOUT_S):
        try:
            reader, writer = await asyncio.open_connection(*split_address(address))
        except OSError:
            return NO_ANSWER
        try:
            writer.write(request_head(call))
            status_line = (await reader.readline()).split()
            return int(status_line[1]) if len(status_line) > 1 else NO_ANSWER
        except CONNECTION_ERRORS:
            return NO_ANSWER
        finally:
            close_writer(writer)
    return NO_ANSWER
