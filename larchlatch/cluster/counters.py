"""Defines the names of the cluster's counters; docs/operating-cluster.md explains them to operators."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from larchlatch.cluster.membership.member import MemberState
    from larchlatch.cluster.protocol.messages import DropReason


class ClusterCounter(StrEnum):
    """Counters of a node's cluster service; the values are the names that operators see."""

    DATAGRAMS_RECEIVED = "cluster_datagrams_received"
    DATAGRAMS_SENT = "cluster_datagrams_sent"
    BYTES_RECEIVED = "cluster_bytes_received"
    BYTES_SENT = "cluster_bytes_sent"
    RECEIVE_FAILED = "cluster_receive_failed"
    SEND_FAILED = "cluster_send_failed"
    RECORDS_ACCEPTED = "cluster_records_accepted"
    RECORDS_KNOWN = "cluster_records_known"
    MESSAGES_UNEXPECTED = "cluster_messages_unexpected"

    LOANS_GRANTED = "cluster_loans_granted"
    LOANS_DECLINED = "cluster_loans_declined"
    LOANS_RECEIVED = "cluster_loans_received"
    LOANS_TOO_LATE = "cluster_loans_too_late"
    SESSIONS_OVER_QUOTA = "cluster_sessions_over_quota"

    ORDERS_EXECUTED = "cluster_orders_executed"
    ORDERS_OUTDATED = "cluster_orders_outdated"
    TOKENS_RECEIVED = "cluster_tokens_received"
    TOKENS_TOO_LATE = "cluster_tokens_too_late"

    EJECTIONS_ADVISED = "cluster_ejections_advised"
    PROBES_ADVISED = "cluster_probes_advised"

    DATAGRAM_FAILED = "cluster_datagram_failed"
    HEARTBEAT_FAILED = "cluster_heartbeat_failed"
    RECIPIENT_UNKNOWN = "cluster_recipient_unknown"

    FILE_READ = "cluster_file_read"
    FILE_REJECTED = "cluster_file_rejected"


def drop_counter(reason: DropReason) -> str:
    """Return the name of the counter of datagrams and messages dropped for this reason."""
    return f"cluster_dropped_{reason.value}"


def member_state_counter(state: MemberState) -> str:
    """Return the name of the counter of changes of a member's state to this one."""
    return f"cluster_member_{state.value}"
