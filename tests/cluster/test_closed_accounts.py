"""Quota accounts of a process that has handed over to its successor in a hot restart: they give no order."""

from __future__ import annotations

import random

from larchlatch.cluster.election.fencing import NO_PERMIT
from larchlatch.cluster.protocol.headers import RequestOrigin
from larchlatch.cluster.quota.shared_quotas import SharedQuotas
from larchlatch.invariants.observations import SessionAdmitted, SessionRequested
from larchlatch.invariants.quota_safety import QuotaSafety
from tests.support.cluster_network import HEARTBEAT_US, LIMIT, SECOND_US, START_US, cluster_file

STEP_US = 20_000


def test_closed_lender_renews_no_loan_while_its_successor_spends_the_whole_share() -> None:
    """In a hot restart the successor counts on the end of all loans a term and a window later."""
    checker, now = QuotaSafety(LIMIT, SECOND_US), START_US + 60 * SECOND_US
    quota_settings = cluster_file("ab").quota_settings
    lender, successor, borrower = (
        SharedQuotas(name, quota_settings, HEARTBEAT_US, START_US, random.Random(1)) for name in "aab"
    )
    for node in (lender, borrower):
        node.open(START_US)
    first = borrower.request_loan(now, RequestOrigin("b", 1, now), lender="a", quota="all", amount=6)
    grant = lender.answer(now, first, NO_PERMIT)
    assert grant is not None and borrower.accept_grant(now, grant)
    successor.take_over(now, lender.close(now))
    account = lender.accounts["all"]
    assert not any((account.limit(now), account.spare(now), account.shortfall(now)))
    taken_over_at, ends_at = now, now + 4 * quota_settings.loan_terms.recovery_us
    for now in range(taken_over_at, ends_at, STEP_US):
        spare = {"a": [0]}
        if now % HEARTBEAT_US == 0:
            for request in borrower.loan_requests(now, RequestOrigin("b", 1, now), spare):
                answer = lender.answer(now, request, NO_PERMIT) if lender.expects(request) else None
                if answer is not None and borrower.expects(answer):
                    borrower.accept_grant(now, answer)
        for name, node in (("a", successor), ("b", borrower)):
            for number in range(3):
                ident = f"{name} {now} {number}"
                checker.observe(SessionRequested(now, ident))
                if not node.admit(now, "all"):
                    checker.observe(SessionAdmitted(now, ident))
    assert checker.verdict().holds


def test_closed_borrower_asks_for_no_renewal() -> None:
    """Guards against requests without end for a loan that the successor process can't spend."""
    quota_settings = cluster_file("ab").quota_settings
    lender, borrower = (
        SharedQuotas(name, quota_settings, HEARTBEAT_US, START_US, random.Random(1)) for name in "ab"
    )
    now = START_US + 60 * SECOND_US
    for node in (lender, borrower):
        node.open(START_US)
    request = borrower.request_loan(now, RequestOrigin("b", 1, now), lender="a", quota="all", amount=6)
    grant = lender.answer(now, request, NO_PERMIT)
    assert grant is not None and borrower.accept_grant(now, grant)
    borrower.close(now)
    later = now + quota_settings.loan_terms.term_us - HEARTBEAT_US
    assert borrower.loan_requests(later, RequestOrigin("b", 1, later), {"a": [0]}) == []
