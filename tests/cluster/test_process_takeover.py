"""A process that reads a cluster file before it takes over from the node's other process in a hot restart.

Until it takes over, the other process promises and lends, perhaps under the file that this one has replaced.
"""

from __future__ import annotations

import random

import pytest

from larchlatch.cluster.election.ballots import BallotKind
from larchlatch.cluster.election.election import Election
from larchlatch.cluster.protocol.headers import RequestOrigin
from larchlatch.cluster.protocol.messages import BallotRequest
from larchlatch.cluster.quota.shared_quotas import SharedQuotas
from larchlatch.cluster.slow_start.requester import TokenRequester
from tests.support.cluster_network import ELECTORS, HEARTBEAT_US, SECOND_US, START_US, cluster_file

LONG_MS, SHORT_MS = 30_000, 3000
LATER_US = (
    START_US + 120 * SECOND_US
)  # long after all that was promised at the start of the process has ended
LONG = cluster_file("abc", electors=ELECTORS, role_term_ms=LONG_MS, term_ms=LONG_MS)
SHORT = cluster_file("abc", electors=ELECTORS, role_term_ms=SHORT_MS, term_ms=SHORT_MS)


def grant_request(digest: int) -> BallotRequest:
    return BallotRequest("b", 1, 1, START_US, "a", digest, 0, LATER_US, BallotKind.GRANT.value, "")


def test_elector_that_takes_over_outlasts_promises_under_a_file_that_it_has_replaced() -> None:
    """Guards against a second holder while the lease by the former, longer term is in use."""
    election = Election("a", LONG.electorate, HEARTBEAT_US, START_US, random.Random(1))
    election.follow(SHORT.electorate, START_US + SECOND_US)
    election.open(LATER_US)
    request = grant_request(SHORT.electorate.digest)
    long_promise_us = LONG.electorate.lease_terms.promise_us
    assert election.answer_ballot(LATER_US + long_promise_us - 1, request) is None
    assert election.answer_ballot(LATER_US + long_promise_us, request) is not None


@pytest.mark.parametrize("predecessor_is_running", [False, True])
def test_node_that_takes_over_spends_its_floor_until_loans_by_a_replaced_file_have_ended(
    predecessor_is_running: bool,
) -> None:
    """Guards against an amount that is spent here while a borrower has it by the former, longer term."""
    long_settings = cluster_file("abc", term_ms=LONG_MS).quota_settings
    quotas = SharedQuotas("a", long_settings, HEARTBEAT_US, START_US, random.Random(1))
    short_settings = cluster_file("abc", term_ms=SHORT_MS).quota_settings
    quotas.apply_settings(short_settings, START_US + SECOND_US)
    if predecessor_is_running:
        quotas.take_over(LATER_US, {"all": 0})
    else:
        quotas.open(LATER_US)
    account = quotas.accounts["all"]
    quotas.compare_digests(LATER_US, [short_settings.digest])
    long_recovery_us = long_settings.loan_terms.recovery_us
    assert account.limit(LATER_US + long_recovery_us - 1) == account.share.floor
    assert account.limit(LATER_US + long_recovery_us) == account.share.own


def test_turns_stay_handed_over_for_the_longer_term_of_a_replaced_file() -> None:
    """Guards against turns that are used here while the former issuer counts on them for its own term."""
    requester = TokenRequester(LONG.electorate, START_US)
    requester.open(START_US)
    requester.follow(SHORT.electorate)
    notice = requester.open(LATER_US)
    assert notice is not None
    assert notice.handed_over_until >= LATER_US + LONG.electorate.lease_terms.promise_us


def test_present_terms_alone_count_for_a_later_takeover() -> None:
    """Guards against a wait for terms of long ago each time that a hot restart is aborted."""
    election = Election("a", LONG.electorate, HEARTBEAT_US, START_US, random.Random(1))
    election.follow(SHORT.electorate, START_US)
    election.open(START_US)
    election.open(LATER_US)
    silence_us = SHORT.electorate.lease_terms.startup_silence_us
    assert election.answer_ballot(LATER_US + silence_us, grant_request(SHORT.electorate.digest)) is not None
    requester = TokenRequester(SHORT.electorate, START_US)
    requester.follow(LONG.electorate)
    requester.follow(SHORT.electorate)
    requester.open(START_US)
    notice = requester.open(LATER_US)
    assert notice is not None
    assert notice.handed_over_until == LATER_US + SHORT.electorate.lease_terms.promise_us
    assert requester.tick(LATER_US, RequestOrigin("a", 1, LATER_US), "").notice is None
