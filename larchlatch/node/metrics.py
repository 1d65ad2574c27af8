"""Counters of what the node has received, sent and answered, and the names they are reported by."""

from __future__ import annotations

from collections import Counter
from enum import StrEnum


class CounterName(StrEnum):
    """The counters of discovery and of the admin API; operators' alert rules refer to these values."""

    ENDPOINT_LIST_FULL = "endpoint_list_full"  # a whole endpoint list was received
    ENDPOINT_LIST_CHANGE = "endpoint_list_change"  # a change to the endpoint list was received
    ENDPOINT_LIST_INVALID = "endpoint_list_invalid"  # an answer was no endpoint list
    ENDPOINT_LIST_WENT_BACK = "endpoint_list_went_back"  # its revision was lower than the one before
    ENDPOINT_ENTRY_INVALID = "endpoint_entry_invalid"  # entries of a list that could not be read
    DISCOVERY_CALL_FAILED = "discovery_call_failed"  # no connection, no answer, a refusal, or a broken watch
    ADMIN_CALLER_EVICTED = "admin_caller_evicted"  # the oldest caller made way for a new one
    ADMIN_CALL_UNFINISHED = "admin_call_unfinished"  # evicted, or not complete within its time
    ADMIN_CALL_ERROR = "admin_call_error"  # a fault of the node in answering
    ADMIN_RESPONSE = "admin_response"  # prefix: the HTTP status follows


class Counters:
    """Counts events by name, from the start of the process.

    Attributes:
        counts: the number of events by counter name.

    """

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    def add(self, name: str, amount: int = 1) -> None:
        """Count `amount` more events under this name."""
        self.counts[name] += amount

    def snapshot(self) -> dict[str, int]:
        """Return all counts so far, sorted by name, for a report."""
        # The names become plain strings: a JSON renderer need not know this module's enumeration.
        return {str(name): count for name, count in sorted(self.counts.items())}
