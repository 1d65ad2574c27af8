"""Names of the cluster's counters; docs/operating-cluster.md says what to do about them."""

from __future__ import annotations

DATAGRAMS_RECEIVED = "cluster_datagrams_received"
DATAGRAMS_SENT = "cluster_datagrams_sent"
BYTES_RECEIVED = "cluster_bytes_received"
BYTES_SENT = "cluster_bytes_sent"
RECEIVE_FAILED = "cluster_receive_failed"
SEND_FAILED = "cluster_send_failed"
RECORDS_ACCEPTED = "cluster_records_accepted"
RECORDS_KNOWN = "cluster_records_known"
MESSAGES_UNEXPECTED = "cluster_messages_unexpected"
DROPPED = "cluster_dropped_"  # followed by the value of a DropReason
MEMBER_STATE = "cluster_member_"  # followed by the member's new state

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

FILE_READ = "cluster_file_read"
FILE_REJECTED = "cluster_file_rejected"
